//! Entries and side processes as separate processes, against fakes: the plain path and failures.

#[path = "processes/bad_input.rs"]
mod bad_input;
#[path = "processes/bed.rs"]
mod bed;
#[path = "processes/caller.rs"]
mod caller;
#[path = "processes/horizon.rs"]
mod horizon;
#[path = "processes/moving.rs"]
mod moving;
#[path = "processes/once.rs"]
mod once;
#[path = "processes/stopping.rs"]
mod stopping;
#[path = "processes/whole.rs"]
mod whole;
