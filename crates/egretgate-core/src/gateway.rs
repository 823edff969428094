//! Decisions of the forwarding path: routing, limits, queueing, placing and refusing.
//!
//! An entry that forwards callers' requests byte for byte asks these modules what to do with each.
//! The load they answer is bursts over the capacity of engines that admit work in order of
//! arrival, while several entries share the same upstreams.

pub mod catalog;
pub mod decaying_count;
pub mod follow;
pub mod request_queue;
pub mod token_bucket;
pub mod traffic_move;
pub mod admission;
pub mod wait_limits;
pub mod peer;
pub mod broken_runs;
pub mod retry_limit;
pub mod scheduler;
pub mod share;
pub mod upstream;
pub mod refusals;

mod service_state;
mod room;
