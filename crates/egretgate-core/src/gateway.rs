//! Decisions of the forwarding path: routing, limits, queueing, placing and refusing.
//!
//! An entry that forwards callers' requests byte for byte asks these modules what to do with each.
//! The load they answer is bursts over the capacity of engines that admit work in order of
//! arrival, while several entries share the same upstreams.

pub mod catalog;
pub mod flow;
pub mod follow;
pub mod lane;
pub mod meter;
pub mod moving;
pub mod order;
pub mod patience;
pub mod peer;
pub mod poison;
pub mod repeat;
pub mod scheduler;
pub mod share;
pub mod standing;
pub mod strain;

mod backlog;
mod room;
