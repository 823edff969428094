//! Per-tier gates at an entry, raised and lowered from what side processes publish.
