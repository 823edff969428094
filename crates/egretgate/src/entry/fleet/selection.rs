//! Chooses an upstream for a request, at the first try or a retry.

use std::collections::HashSet;
use std::time::{Duration, Instant};

use egretgate_core::choice::{self, UpstreamKey};
use egretgate_core::gate::GateDecision;
use egretgate_core::retry::draw_retry_after;
use egretgate_core::{Digest, Error, ErrorKind, Result, TeamId, Tier};

use super::{ChosenUpstream, Fleet, RoutingRequest};

/// Number of the most urgent tiers, whose requests probe: they are offered to every upstream before
/// they are refused.
pub(super) const PROBING_TIERS: Tier = 1;
/// Base from which the retry-after is drawn while no upstream serves the route.
const NO_UPSTREAM_RETRY_AFTER: Duration = Duration::from_millis(500);

impl Fleet {
    /// Chooses the upstream for the next offer of a request, or returns why there is none.
    pub(super) fn choose(&mut self, request: &RoutingRequest) -> Result<ChosenUpstream> {
        let now = Instant::now();
        self.spend_retry(request, now)?;
        self.gate(&request.service);
        let Self { gates, choice, rng, .. } = self;
        let gate = gates.get_mut(&request.service).expect("inserted above");
        // Each upstream is tried at most once, which bounds the offers of a request.
        let candidates = choice
            .iter()
            .filter(|(key, view)| serves(view, request) && !has_tried(request, *key))
            .map(|(key, _)| key);
        let key = match gate.decide(request.tier, &request.tried, candidates, now, rng) {
            GateDecision::Offer => self.pick(request, now),
            GateDecision::Probe(keys) => self.pick_among(request, &keys, now),
            GateDecision::Refuse { retry_after } => return Err(self.refuse(request, retry_after)),
        };
        key.and_then(|key| self.begin(request, key, now))
            .ok_or_else(|| self.no_upstream_error(request))
    }

    /// Chooses an upstream: for a suspect by its digest, otherwise by load.
    pub(super) fn pick(&mut self, request: &RoutingRequest, now: Instant) -> Option<UpstreamKey> {
        if let Some(digest) = request.suspect {
            return self.pick_by_digest(request, digest);
        }
        let choice = choice_request(request, &self.zone, &[]);
        self.choice.choose(&choice, now, &mut self.rng)
    }

    /// Chooses by rendezvous hashing (Thaler and Ravishankar, 1998) among the upstreams not yet
    /// tried.
    pub(super) fn pick_by_digest(
        &self,
        request: &RoutingRequest,
        digest: Digest,
    ) -> Option<UpstreamKey> {
        self.choice
            .iter()
            .filter(|(key, view)| serves(view, request) && !has_tried(request, *key))
            .max_by_key(|(_, view)| Digest::of(&[digest.as_bytes(), view.upstream.id.as_bytes()]))
            .map(|(key, _)| key)
    }

    /// Chooses among the upstreams that the gate returned for a probe, so that retries don't all go
    /// to the same one. If the choice by load is not among them, takes the first, which is the most
    /// likely to accept.
    pub(super) fn pick_among(
        &mut self,
        request: &RoutingRequest,
        keys: &[UpstreamKey],
        now: Instant,
    ) -> Option<UpstreamKey> {
        let probe_keys: HashSet<UpstreamKey> = keys.iter().copied().collect();
        let excluded: Vec<UpstreamKey> = self
            .choice
            .iter()
            .filter(|(key, view)| serves(view, request) && !probe_keys.contains(key))
            .map(|(key, _)| key)
            .collect();
        let choice = choice_request(request, &self.zone, &excluded);
        let chosen = self.choice.choose(&choice, now, &mut self.rng);
        chosen.filter(|key| probe_keys.contains(key)).or_else(|| keys.first().copied())
    }

    /// Records a request as in flight at the chosen upstream.
    pub(super) fn begin(
        &mut self,
        request: &RoutingRequest,
        key: UpstreamKey,
        now: Instant,
    ) -> Option<ChosenUpstream> {
        let side = self.sides.get(*self.by_upstream.get(&key)?)?;
        let choice = choice_request(request, &self.zone, &[]);
        let link = side.messages.clone();
        let upstream = side.name.clone();
        let in_flight = self.choice.begin(key, &choice, now);
        Some(ChosenUpstream { key, upstream, version: request.version.clone(), link, in_flight })
    }

    /// Charges the retry budget: a first try adds to it, a retry draws from it. Retries are free
    /// for tiers that probe, and after a refusal by a side process that is shutting down.
    pub(super) fn spend_retry(&mut self, request: &RoutingRequest, now: Instant) -> Result<()> {
        let Some(refusal) = &request.refusal else {
            self.retry_budget.deposit(now);
            return Ok(());
        };
        let free = request.tier < PROBING_TIERS || refusal.kind == ErrorKind::Stopping;
        if free || self.retry_budget.withdraw(now) { Ok(()) } else { Err(refusal.clone()) }
    }

    /// Returns the error for a request that the gate refuses: the last refusal, if there was one.
    pub(super) fn refuse(&mut self, request: &RoutingRequest, retry_after: Duration) -> Error {
        match &request.refusal {
            Some(refusal) => {
                let retry_after = refusal.retry_after.unwrap_or(retry_after).max(retry_after);
                refusal.clone().with_retry_after(retry_after)
            }
            None if !self.choice.iter().any(|(_, view)| serves(view, request)) => {
                self.no_upstream_error(request)
            }
            None => Error::new(ErrorKind::Overloaded, "every upstream refuses the tier")
                .with_retry_after(retry_after),
        }
    }

    pub(super) fn no_upstream_error(&mut self, request: &RoutingRequest) -> Error {
        let retry_after = draw_retry_after(NO_UPSTREAM_RETRY_AFTER, 1.0, &mut self.rng);
        match &request.refusal {
            Some(refusal) => {
                refusal.clone().with_retry_after(refusal.retry_after.unwrap_or(retry_after))
            }
            None => Error::new(ErrorKind::NoUpstream, self.unserved_detail(request))
                .with_retry_after(retry_after),
        }
    }

    pub(super) fn acquire_team_slot(&mut self, team: TeamId, limit: u32) -> bool {
        let count = self.team_requests.entry(team).or_default();
        if limit > 0 && *count >= limit {
            return false;
        }
        *count += 1;
        true
    }

    pub(super) fn release_team_slot(&mut self, team: &str) {
        if let Some(count) = self.team_requests.get_mut(team) {
            *count -= 1;
            if *count == 0 {
                self.team_requests.remove(team);
            }
        }
    }
}

/// Returns whether the upstream could run the request now.
pub(super) fn serves(view: &choice::View, request: &RoutingRequest) -> bool {
    let upstream = &view.upstream;
    upstream.service == request.service
        && upstream.versions.contains(&request.version)
        && view.is_eligible()
}

/// Returns whether the upstream has already refused the request.
fn has_tried(request: &RoutingRequest, key: UpstreamKey) -> bool {
    request.tried.iter().any(|attempt| attempt.key == key)
}

fn choice_request<'a>(
    request: &'a RoutingRequest,
    zone: &'a str,
    excluded: &'a [UpstreamKey],
) -> choice::ChoiceRequest<'a> {
    choice::ChoiceRequest {
        service: &request.service,
        version: Some(&request.version),
        tier: request.tier,
        prompt_tokens: request.prompt_tokens,
        output_tokens: request.output_tokens,
        prefix_hash: request.prefix_hash,
        zone,
        excluded,
    }
}
