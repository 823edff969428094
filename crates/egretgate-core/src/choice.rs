//! Choice of an upstream for a request.
//!
//! A [`Fleet`] is one entry's view of the upstreams: its own requests in flight, the last load
//! report of each side process with its age, and the speed that the entry measures itself.
//! [`Fleet::choose`] compares a few candidates, so its cost does not grow with the fleet. The
//! exceptions are [`Policy::LeastInFlight`] and the scan after no eligible candidate was drawn:
//! both may read all upstreams.

mod fleet;
mod policy;
mod view;

use std::time::Duration;

use crate::ids::{ServiceId, Tier, UpstreamId, VersionId, ZoneId};

pub use fleet::Fleet;
pub use policy::Policy;
pub use view::{InFlightRequest, View};

slotmap::new_key_type! {
    /// Key of an upstream in a [`Fleet`]; never reused for another upstream.
    pub struct UpstreamKey;
}

/// An upstream as it joins the fleet.
#[derive(Debug, Clone)]
pub struct Upstream {
    /// Name of the upstream.
    pub id: UpstreamId,
    /// Availability zone in which it runs.
    pub zone: ZoneId,
    /// Service that it serves.
    pub service: ServiceId,
    /// Versions that its engines run.
    pub versions: Vec<VersionId>,
}

/// Load report of a side process.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct LoadReport {
    /// Queued requests.
    pub queued: u32,
    /// Running requests.
    pub running: u32,
    /// Learned concurrency limit, in requests; 0 if unknown.
    pub limit: u32,
    /// Tokens that await prefill or generation.
    pub pending_tokens: u64,
    /// Estimated time from offer to first token for a new request.
    pub first_token: Duration,
    /// Measured inter-token latency.
    pub inter_token: Duration,
    /// Lowest tier in the queue.
    pub lowest_tier: Option<Tier>,
    /// Tier from which new requests are refused; `None` if none are.
    pub shed_tier: Option<Tier>,
    /// False while no engine of the side process responds.
    pub healthy: bool,
}

/// Properties of a request by which an upstream is chosen.
#[derive(Debug, Clone, Copy)]
pub struct ChoiceRequest<'a> {
    /// Service that must run it.
    pub service: &'a str,
    /// Version that must run it; any version if `None`.
    pub version: Option<&'a str>,
    /// Tier of the request.
    pub tier: Tier,
    /// Estimated prompt length, in tokens.
    pub prompt_tokens: u32,
    /// Estimated answer length, in tokens.
    pub output_tokens: u32,
    /// Hash of the prompt's prefix, for affinity.
    pub prefix_hash: u64,
    /// Availability zone of the entry.
    pub zone: &'a str,
    /// Upstreams that have already refused the request.
    pub excluded: &'a [UpstreamKey],
}
