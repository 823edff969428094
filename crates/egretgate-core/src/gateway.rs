//! Decisions of the forwarding path: routing, limits, queueing, placement and refusals.
//!
//! An entry that forwards callers' requests byte for byte asks these modules what to do with each
//! request. They are designed for bursts beyond the capacity of engines that admit work in order of
//! arrival, while several entries share the same upstreams.

pub mod admission;
pub mod bounded_time;
pub mod catalog;
pub mod cold_start;
pub mod counted_entries;
pub mod crash_quarantine;
pub mod decaying_count;
pub mod drained_zones;
pub mod ejection;
pub mod era;
pub mod follow;
pub mod held_bytes;
pub mod held_entries;
pub mod held_moves;
pub mod held_upstreams;
pub mod limit_tolerance;
pub mod panic_limit;
pub mod peer;
pub mod peer_addresses;
pub mod prompt_part;
pub mod rate_limit;
pub mod refusals;
pub mod regions;
pub mod report_schedule;
pub mod request_queue;
pub mod reserve;
pub mod retry_limit;
pub mod returns;
pub mod scheduler;
pub mod share;
pub mod silent_runs;
pub mod start_retry;
pub mod stated_load;
pub mod team_share;
pub mod token_bucket;
pub mod traffic_move;
pub mod upstream;
pub mod wait_limits;

mod bad_answers;
mod departed;
mod headroom;
mod service_state;
