//! Choice of an upstream.
//!
//! A [`Fleet`] holds what one entry knows of the upstreams: its own work in flight, the last load
//! that each side process reported with its age, and the speed that the entry measured itself.
//! [`Fleet::choose`] looks at a few candidates and never at all of them, so its cost does not grow
//! with the fleet.

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

/// What an entry knows of an upstream when it joins.
#[derive(Debug, Clone)]
pub struct Upstream {
    /// Name.
    pub id: UpstreamId,
    /// Availability zone in which it runs.
    pub zone: ZoneId,
    /// Service that it serves.
    pub service: ServiceId,
    /// Versions that its engines hold.
    pub versions: Vec<VersionId>,
}

/// Load as a side process reports it.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct LoadReport {
    /// Requests that wait.
    pub queued: u32,
    /// Requests that run.
    pub running: u32,
    /// Learned limit of requests that run; 0 if unknown.
    pub limit: u32,
    /// Tokens that wait for prefill or generation.
    pub pending_tokens: u64,
    /// Estimated time from offer to first token for a new request.
    pub first_token: Duration,
    /// Measured time between tokens.
    pub inter_token: Duration,
    /// Lowest tier held in the queue.
    pub lowest_tier: Option<Tier>,
    /// Tier from which new requests are refused.
    pub shed_tier: Option<Tier>,
    /// False while no engine of the side process answers.
    pub healthy: bool,
}

/// One request for which an upstream is wanted.
#[derive(Debug, Clone, Copy)]
pub struct ChoiceRequest<'a> {
    /// Service that must run it.
    pub service: &'a str,
    /// Version that must run it; `None` allows any.
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
    /// Upstreams that already refused the request.
    pub excluded: &'a [UpstreamKey],
}
