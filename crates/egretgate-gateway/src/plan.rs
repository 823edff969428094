//! How the declarations apply to one request.

use std::sync::Arc;
use std::time::Instant;

use bytes::Bytes;
use egretgate_core::gateway::admission::{Charge, Needs};
use egretgate_core::gateway::catalog::{Catalog, KeyFault, Route};
use egretgate_core::gateway::prompt_part::PartHash;
use egretgate_core::gateway::request_queue::Priority;
use egretgate_core::{Digest, ServiceId, TeamId};
use http::{HeaderMap, Method, Uri};
use rand::RngExt;

use crate::answer::Fault;
use crate::dialect::RequestHead;

/// The request as the caller sent it.
pub(crate) struct CallerRequest {
    pub(crate) head: RequestHead,
    pub(crate) method: Method,
    pub(crate) uri: Uri,
    pub(crate) headers: HeaderMap,
    pub(crate) body: Bytes,
    /// True if the caller sent a body, even an empty one.
    pub(crate) has_body: bool,
    /// Time at which its head was read.
    pub(crate) received: Instant,
}

/// The declarations that apply to a request.
pub(crate) struct Plan {
    pub(crate) route: Route,
    pub(crate) service: ServiceId,
    pub(crate) team: Option<TeamId>,
    pub(crate) priority: Priority,
    pub(crate) charge: Option<Charge>,
    /// Tokens that count against the team's limit; 0 without a limit.
    pub(crate) tokens: u64,
    /// Expected number of events in the answer.
    pub(crate) events: f64,
    /// Maximum number of events in the answer; `None` if the caller sets no limit.
    pub(crate) max_events: Option<f64>,
    pub(crate) version: u64,
    pub(crate) digest: Digest,
    /// Parts of the prompt that other requests may share.
    pub(crate) parts: Arc<[PartHash]>,
    /// What the request needs of an upstream.
    pub(crate) needs: Needs,
}

impl Plan {
    /// Returns the plan of a request that the declarations allow.
    pub(crate) fn new(catalog: &Catalog, request: &CallerRequest) -> Result<Self, Fault> {
        let host = request.headers.get(http::header::HOST).and_then(|host| host.to_str().ok());
        let host = host.or_else(|| request.uri.host()).unwrap_or_default();
        let route = catalog.route(host, request.uri.path()).ok_or(Fault::NoRoute)?;
        let team =
            catalog.team(route, request.head.key.as_deref()).map_err(|fault| match fault {
                KeyFault::Missing | KeyFault::Unknown => Fault::Unauthorized,
                KeyFault::Blocked => Fault::NotReady,
            })?;
        let service = route.service(rand::rng().random()).ok_or(Fault::NoUpstream)?.clone();
        let charge = team.filter(|team| team.limit.is_some()).map(|team| Charge {
            team: team.name.clone(),
            tokens: request.head.tokens.unwrap_or(team.default_cost),
        });
        let key = request.head.key.as_deref().unwrap_or_default();
        let target = request.uri.to_string();
        let digest = Digest::of(&[target.as_bytes(), key.as_bytes(), &request.body]);
        Ok(Self {
            priority: Priority {
                tier: team.and_then(|team| team.tier).unwrap_or(route.tier),
                route_tier: route.tier,
                // Known only at admission.
                over_share: false,
            },
            team: team.map(|team| team.name.clone()),
            route: route.clone(),
            events: likely_events(route, &request.head, catalog.service(&service).event_tokens),
            max_events: max_events(&request.head, catalog.service(&service).event_tokens),
            service,
            tokens: charge.as_ref().map_or(0, |charge| charge.tokens),
            charge,
            needs: Needs {
                regions: team
                    .map_or_else(|| route.regions.clone(), |team| route.regions.and(&team.regions)),
                prompt_tokens: request.head.prompt_tokens.unwrap_or(0),
                output_tokens: request.head.most_output.unwrap_or(0),
                may_repeat: route.kind.is_idempotent() && route.attempts > 1,
            },
            version: catalog.version,
            digest,
            parts: request.head.shared_parts.as_slice().into(),
        })
    }
}

/// Returns the expected number of events in the answer; 0 if it is not a stream.
fn likely_events(route: &Route, head: &RequestHead, event_tokens: u32) -> f64 {
    if !route.kind.is_stream() {
        return 0.0;
    }
    let tokens = head.likely_output.or(head.most_output).unwrap_or(0);
    (tokens as f64 / f64::from(event_tokens)).ceil()
}

/// Returns the maximum number of events in the answer; `None` if the caller sets no limit.
fn max_events(head: &RequestHead, event_tokens: u32) -> Option<f64> {
    head.most_output.map(|tokens| (tokens as f64 / f64::from(event_tokens)).ceil())
}
