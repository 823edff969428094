//! Admission queue of a side process.
