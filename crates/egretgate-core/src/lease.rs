//! Leases by log order and monotonic clocks.
