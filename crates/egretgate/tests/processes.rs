//! Entries and side processes as separate processes, against fakes: the plain path and failures.

#[path = "processes/bed.rs"]
mod bed;
#[path = "processes/caller.rs"]
mod caller;
#[path = "processes/moving.rs"]
mod moving;
#[path = "processes/stopping.rs"]
mod stopping;
#[path = "processes/whole.rs"]
mod whole;
