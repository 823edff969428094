//! Messages to the fleet task.

use std::collections::BTreeSet;
use std::time::Duration;

use bytes::Bytes;
use egretgate_core::choice::{self, UpstreamKey};
use egretgate_core::gate::Attempt;
use egretgate_core::moves::RequestOutcome;
use egretgate_core::poison::QuarantineState;
use egretgate_core::{
    Digest, Error, Result, RouteId, ServiceId, TeamId, Ticket, Tier, UpstreamId, VersionId, ZoneId,
};
use egretgate_link::message::{DeathReport, Heartbeat, Load, Records, Welcome};
use egretgate_platform::Instance;
use tokio::sync::{mpsc, oneshot};

use super::{LinkKey, RouteSplit};
use crate::entry::link::LinkMessage;

/// Messages to the fleet task.
#[derive(Debug)]
pub(crate) enum FleetMessage {
    /// A link is connected.
    Up { key: LinkKey, welcome: Welcome },
    /// A link lost its connection.
    Down(LinkKey),
    /// A side process is shutting down.
    Leaving(LinkKey),
    /// A side process reported its load.
    Load { key: LinkKey, load: Load },
    /// A side process requests configuration records.
    RecordsRequest { key: LinkKey, from: u64 },
    /// Send configuration records to a side process.
    Records { key: LinkKey, records: Records },
    /// A side process reports the death of an engine.
    Death { key: LinkKey, report: DeathReport },
    /// The quarantine holds the death with this number, reported by a side process.
    DeathKnown { key: LinkKey, sequence: u64 },
    /// A side process sent its configuration state.
    Snapshot(Bytes),
    /// The instance list was read: the upstreams, and the number of entries.
    Listed { upstreams: Vec<Instance>, entry_count: u32 },
    /// How the traffic of routes with a version move is split.
    Splits(Vec<RouteSplit>),
    /// The zones whose upstreams get no new requests.
    DrainedZones(BTreeSet<ZoneId>),
    /// The entry's configuration reached a new offset.
    ConfigOffset(Heartbeat),
    /// Request the configuration state of every side process.
    RequestSnapshots,
    /// Choose an upstream.
    Choose { request: RoutingRequest, reply: oneshot::Sender<Result<ChosenUpstream>> },
    /// The first token of a request arrived.
    FirstToken {
        key: UpstreamKey,
        in_flight: choice::InFlightRequest,
        reply: oneshot::Sender<choice::InFlightRequest>,
    },
    /// A request has ended, with any outcome.
    Ended { key: UpstreamKey, in_flight: choice::InFlightRequest, tokens: u32 },
    /// A request has ended for good; the outcome counts if its route has a version move.
    VersionOutcome { route: RouteId, version: VersionId, outcome: RequestOutcome },
    /// Take a slot of a team's concurrency limit; answered with false if the team is at its limit.
    AcquireTeamSlot { team: TeamId, limit: u32, reply: oneshot::Sender<bool> },
    /// Release a slot of a team's concurrency limit.
    ReleaseTeamSlot(TeamId),
    /// Start a request with this digest; the reply is false if it is a suspect and a copy of it may
    /// be in flight, of this entry or another one.
    StartCopy {
        digest: Digest,
        state: QuarantineState,
        service: ServiceId,
        reply: oneshot::Sender<bool>,
    },
    /// A side process has answered whether it runs a request with this digest.
    CopyState { key: LinkKey, digest: Digest, running: bool },
    /// End a request that was started.
    EndCopy(Digest),
    /// Return the state of every side process.
    Status(oneshot::Sender<Vec<SideStatus>>),
}

/// A request for which an upstream is to be chosen.
#[derive(Debug, Clone)]
pub(crate) struct RoutingRequest {
    /// Ticket of the request.
    pub ticket: Ticket,
    /// Route that it takes.
    pub route: RouteId,
    /// Service that must run it.
    pub service: ServiceId,
    /// Version that must run it. On the first try this is the declared one, which a version move
    /// may replace.
    pub version: VersionId,
    /// Rank of its tier.
    pub tier: Tier,
    /// Estimated prompt length, in tokens.
    pub prompt_tokens: u32,
    /// Estimated answer length, in tokens.
    pub output_tokens: u32,
    /// Digest of the request if it is a suspect. Every entry sends a suspect to the same upstream,
    /// where it runs exclusively.
    pub suspect: Option<Digest>,
    /// Hash of the prompt's prefix.
    pub prefix_hash: u64,
    /// Upstreams that refused it, oldest first.
    pub tried: Vec<Attempt>,
    /// The last refusal; `None` on the first try.
    pub refusal: Option<Error>,
}

/// The upstream to which a request is offered.
#[derive(Debug)]
pub(crate) struct ChosenUpstream {
    /// Key of the upstream.
    pub key: UpstreamKey,
    /// Name of the upstream.
    pub upstream: UpstreamId,
    /// Version that must run the request.
    pub version: VersionId,
    /// Link to its side process.
    pub link: mpsc::Sender<LinkMessage>,
    /// Record of the request in flight, to be sent back with [`FleetMessage::Ended`].
    pub in_flight: choice::InFlightRequest,
}

/// Configuration state that one side process last reported.
#[derive(Debug, Clone)]
pub(crate) struct SideStatus {
    /// Name of the upstream.
    pub upstream: UpstreamId,
    /// Offset after the last configuration record applied.
    pub offset: u64,
    /// Chain digest at that offset.
    pub digest: Bytes,
    /// True while the link is connected.
    pub connected: bool,
    /// Availability zone of the upstream.
    pub zone: ZoneId,
    /// Time since its last load report.
    pub age: Duration,
    /// Requests that run or wait there, by its last report.
    pub requests: u32,
}
