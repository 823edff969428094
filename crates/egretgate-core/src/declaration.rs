//! Declarations, which operators keep in version control and apply as one file.

use std::collections::BTreeMap;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::ids::{RouteId, ServiceId, TeamId, Tier, VersionId};

/// Everything that operators declare.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Declarations {
    /// Tiers by name.
    pub tiers: BTreeMap<String, TierSpec>,
    /// Teams by name.
    pub teams: BTreeMap<TeamId, TeamSpec>,
    /// Services by name.
    pub services: BTreeMap<ServiceId, ServiceSpec>,
    /// Routes by name.
    pub routes: BTreeMap<RouteId, RouteSpec>,
}

/// A tier: a class of urgency with its objective.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct TierSpec {
    /// Urgency; 0 is the most urgent. Unique among tiers.
    pub rank: Tier,
    /// Fraction of requests that must be good, in (0, 1).
    #[serde(default = "default_objective")]
    pub objective: f64,
    /// Maximum time to first token of a good request, in milliseconds.
    #[serde(default = "default_first")]
    pub first_token_ms: u64,
    /// Maximum mean inter-token latency of a good request, in milliseconds.
    #[serde(default = "default_between")]
    pub between_tokens_ms: u64,
    /// Deadline of requests that specify none, in milliseconds.
    #[serde(default = "default_deadline")]
    pub deadline_ms: u64,
}

/// A customer of the service.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct TeamSpec {
    /// Tier of requests that specify none.
    pub tier: String,
    /// Tiers that the team's requests may specify; if empty, only its own.
    #[serde(default)]
    pub tiers: Vec<String>,
    /// Lower-case hexadecimal BLAKE3 hashes of the team's bearer keys.
    #[serde(default)]
    pub keys: Vec<String>,
    /// Weight among the teams of a tier; at least 1.
    #[serde(default = "default_weight")]
    pub weight: u32,
    /// Maximum requests in flight per entry; 0 means no limit.
    #[serde(default)]
    pub in_flight: u32,
}

/// Kind of a service's upstreams.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum ServiceKind {
    /// Model engines with completion streams.
    Engine,
    /// Plain services, which return one answer to a call.
    Plain,
}

/// How an upstream treats an action with an old fencing number.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Fencing {
    /// It refuses the action.
    Checked,
    /// It executes the action, so a new lease holder must wait before it acts.
    #[default]
    Ignored,
}

/// A group of upstreams that serve the same calls.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ServiceSpec {
    /// Kind of its upstreams.
    pub kind: ServiceKind,
    /// Version that serves while no move is in progress.
    pub version: VersionId,
    /// How its upstreams treat old fencing numbers.
    #[serde(default)]
    pub fencing: Fencing,
    /// Maximum number of queued requests at one upstream.
    #[serde(default = "default_queue")]
    pub queue: u32,
    /// Upper bound of the learned concurrency limit, in requests.
    #[serde(default = "default_concurrency")]
    pub concurrency: u32,
}

/// A route: the model name or path prefix that callers address.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RouteSpec {
    /// Service that serves the route.
    pub service: ServiceId,
    /// Model name that selects the route, for engines.
    #[serde(default)]
    pub model: Option<String>,
    /// Path prefix that selects the route, for plain services, such as `/tags/`.
    #[serde(default)]
    pub path: Option<String>,
    /// True if a call must run at most once. Such calls are recorded as intents in the log.
    #[serde(default)]
    pub once: bool,
    /// How calls that must run at most once are handled while the log is unreachable.
    #[serde(default)]
    pub outage: Outage,
    /// Time for which idempotency keys are kept, in seconds.
    #[serde(default = "default_window")]
    pub window_s: u64,
}

/// How calls that must run at most once are handled while the log is unreachable.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Outage {
    /// They are refused as not executed, with a retry-after time.
    #[default]
    Refuse,
    /// Reserved for running them through the memory of the key's home entry instead of the log.
    /// Rejected by [`crate::check`].
    Memory,
}

impl TierSpec {
    /// Returns the deadline of requests that specify none.
    pub const fn deadline(&self) -> Duration {
        Duration::from_millis(self.deadline_ms)
    }
}

impl RouteSpec {
    /// Returns the time for which idempotency keys are kept.
    pub const fn key_window(&self) -> Duration {
        Duration::from_secs(self.window_s)
    }
}

const fn default_objective() -> f64 {
    0.95
}

const fn default_first() -> u64 {
    380
}

const fn default_between() -> u64 {
    34
}

const fn default_deadline() -> u64 {
    30_000
}

const fn default_weight() -> u32 {
    1
}

const fn default_queue() -> u32 {
    256
}

const fn default_concurrency() -> u32 {
    256
}

const fn default_window() -> u64 {
    86_400
}
