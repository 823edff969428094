//! Messages to the fleet task.

use std::time::Duration;

use bytes::Bytes;
use egretgate_core::choice::{self, UpstreamKey};
use egretgate_core::gate::Attempt;
use egretgate_core::moves::RequestOutcome;
use egretgate_core::{
    Digest, Error, Result, RouteId, ServiceId, TeamId, Ticket, Tier, UpstreamId, VersionId, ZoneId,
};
use egretgate_link::message::{DeathReport, Heartbeat, Load, Records, Welcome};
use egretgate_platform::Instance;
use tokio::sync::{mpsc, oneshot};

use super::{LinkKey, RouteSplit};
use crate::entry::link::LinkMessage;

/// What the fleet is told.
#[derive(Debug)]
pub(crate) enum FleetMessage {
    /// A link stands.
    Up { key: LinkKey, welcome: Welcome },
    /// A link is cut.
    Down(LinkKey),
    /// A side process said goodbye.
    Leaving(LinkKey),
    /// A side process told its load.
    Load { key: LinkKey, load: Load },
    /// A side process asks for configuration records.
    RecordsRequest { key: LinkKey, from: u64 },
    /// Configuration records for a side process.
    Records { key: LinkKey, records: Records },
    /// A side process reports deaths of its engines.
    DeathReport { key: LinkKey, deaths: DeathReport },
    /// A side process sent its configuration state.
    Snapshot(Bytes),
    /// The instance list was read: the upstreams, and the number of entries.
    Listed { upstreams: Vec<Instance>, entries: u32 },
    /// How the traffic of moving routes is split.
    Splits(Vec<RouteSplit>),
    /// The entry's configuration has a new offset.
    ConfigOffset(Heartbeat),
    /// Ask every side process for its configuration state.
    RequestSnapshots,
    /// Choose an upstream.
    Choose { request: RoutingRequest, reply: oneshot::Sender<Result<ChosenUpstream>> },
    /// The first token of a request arrived.
    FirstToken {
        key: UpstreamKey,
        in_flight: choice::InFlightRequest,
        reply: oneshot::Sender<choice::InFlightRequest>,
    },
    /// A request has ended, however it ended.
    Ended { key: UpstreamKey, in_flight: choice::InFlightRequest, tokens: u32 },
    /// A request of a moving route has ended for good.
    VersionOutcome { route: RouteId, version: VersionId, outcome: RequestOutcome },
    /// A team's request has entered; refused if the team is at its limit.
    AcquireTeamSlot { team: TeamId, limit: u32, reply: oneshot::Sender<bool> },
    /// A team's request has left.
    ReleaseTeamSlot(TeamId),
    /// Tell the state of every side process.
    Status(oneshot::Sender<Vec<SideStatus>>),
}

/// A request for which an upstream is wanted.
#[derive(Debug, Clone)]
pub(crate) struct RoutingRequest {
    /// Name of the request.
    pub ticket: Ticket,
    /// Route that it takes.
    pub route: RouteId,
    /// Service that must run it.
    pub service: ServiceId,
    /// Version that must run it; on the first try the one in force, which a move may replace.
    pub version: VersionId,
    /// Rank of its tier.
    pub tier: Tier,
    /// Estimated prompt length, in tokens.
    pub prompt: u32,
    /// Estimated answer length, in tokens.
    pub output: u32,
    /// Digest of a suspect, which every entry sends to the same upstream: there it runs alone.
    pub suspect: Option<Digest>,
    /// Hash of the prompt's start.
    pub prefix: u64,
    /// Upstreams that refused it, latest last.
    pub tried: Vec<Attempt>,
    /// The last refusal; `None` on the first try.
    pub refusal: Option<Error>,
}

/// An upstream to offer the request to.
#[derive(Debug)]
pub(crate) struct ChosenUpstream {
    /// Key of the upstream.
    pub key: UpstreamKey,
    /// Name of the upstream.
    pub upstream: UpstreamId,
    /// Version that is to run the request.
    pub version: VersionId,
    /// Link to its side process.
    pub link: mpsc::Sender<LinkMessage>,
    /// What must be given back at the end.
    pub in_flight: choice::InFlightRequest,
}

/// What one side process last told of its configuration.
#[derive(Debug, Clone)]
pub(crate) struct SideStatus {
    /// Name of the upstream.
    pub upstream: UpstreamId,
    /// Offset after the last configuration record folded.
    pub offset: u64,
    /// Chain digest there.
    pub digest: Bytes,
    /// True while the link stands.
    pub connected: bool,
    /// Availability zone of the upstream.
    pub zone: ZoneId,
    /// Time since it last told its load.
    pub age: Duration,
}
