//! The deterministic fold from log records to shared state.
