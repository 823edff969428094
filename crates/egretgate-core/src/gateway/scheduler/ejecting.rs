//! Upstreams that fail more requests than their siblings do, as the scheduler treats them.

use std::collections::HashMap;
use std::time::Instant;

use super::Scheduler;
use crate::UpstreamId;
use crate::gateway::admission::{AdmissionRequest, Completion, UpstreamKey};
use crate::gateway::crash_quarantine::request_hash;
use crate::gateway::ejection::{EjectionChange, RouteHash};
use crate::gateway::peer::{NameHash, name_hash};
use crate::gateway::upstream::{Outcome, UpstreamState};
use crate::{ServiceId, VersionId};

/// Largest age of a report, in report intervals: it waits for its turn and for the next refresh.
const REPORT_AGE_INTERVALS: u32 = 2;

impl Scheduler {
    /// Judges the upstreams by the newest reports.
    pub(super) fn judge_upstreams(&mut self, now: Instant) {
        if self.ejections.update(self.peers.ejection_reports(now), now) {
            self.judge_versions(now);
        }
        for upstream in self.upstreams.values_mut() {
            upstream.is_ejected = self.ejections.is_ejected(upstream.hash);
        }
        let own = name_hash(&self.name);
        let ejected: Vec<NameHash> = self.ejections.ejected().collect();
        for upstream in ejected {
            self.ejections.set_turn(upstream, self.peers.position(own, upstream, now));
        }
    }

    /// Compares the upstreams of each version.
    fn judge_versions(&mut self, now: Instant) {
        // A bad version is the matter of its move, so only upstreams of one version are compared.
        let mut members: HashMap<(&ServiceId, &VersionId), Vec<NameHash>> = HashMap::new();
        for upstream in self.upstreams.values().filter(|upstream| upstream.is_available()) {
            let listed = &upstream.listed;
            members.entry((&listed.service, &listed.version)).or_default().push(upstream.hash);
        }
        for members in members.values() {
            self.ejections.judge(members, now);
        }
    }

    /// Records what the end of a request says about whether its upstream works. Call it before the
    /// end is counted against the request.
    pub(super) fn record_answer(&mut self, completion: &Completion, now: Instant) {
        let Some(upstream) = self.upstreams.get(completion.key) else { return };
        let Completion { outcome, started, .. } = *completion;
        let failed = match outcome {
            Outcome::Succeeded { .. } => Some(false),
            Outcome::Failed => Some(true),
            // A request that crashes upstreams is no sign that one of them fails.
            Outcome::InvalidAnswer => {
                let request = completion.digest.as_ref().map(request_hash);
                let crashes = self.requests.has_crashed(request.as_slice())
                    || self.parts.is_quarantined(&completion.parts);
                (!crashes).then_some(true)
            }
            Outcome::Rejected => is_unfounded(upstream).then_some(true),
            Outcome::Misdirected | Outcome::Unreachable | Outcome::Stalled | Outcome::Abandoned => {
                None
            }
        };
        let hash = upstream.hash;
        if let Some(failed) = failed {
            let route = route_hash(&completion.route);
            self.ejections.record_answer(hash, route, failed, started, now);
            // Meanwhile the reports arrive that tell whether it fails others too.
            let reported = now + self.schedule.far_interval() * REPORT_AGE_INTERVALS;
            let is_lost = failed && outcome != Outcome::Rejected;
            if is_lost && let Some(upstream) = self.upstreams.get_mut(completion.key) {
                upstream.prefer_others(reported);
            }
        } else {
            let reached = !matches!(outcome, Outcome::Unreachable | Outcome::Stalled);
            self.ejections.record_end(hash, reached, started, now);
        }
    }

    /// Returns the ejected upstream that the request should probe, if one is due.
    pub(super) fn due_probe(
        &self,
        request: &AdmissionRequest,
        members: &[UpstreamKey],
        fits: &dyn Fn(&VersionId) -> bool,
        now: Instant,
    ) -> Option<UpstreamKey> {
        if request.is_retry || request.faster_than.is_some() {
            return None;
        }
        let may_repeat = request.needs.may_repeat;
        members.iter().copied().find(|key| {
            let upstream = &self.upstreams[*key];
            self.ejections.is_due(upstream.hash, may_repeat, now)
                && upstream.is_usable(now)
                && upstream.running() < upstream.listed.slots
                && fits(&upstream.listed.version)
                && !request.avoid.contains(&upstream.listed.id)
        })
    }

    /// Returns the decisions on upstreams that fail since the last call.
    pub fn take_ejection_changes(&mut self) -> Vec<(UpstreamId, EjectionChange)> {
        let changes = self.ejections.take_changes().into_iter();
        let named = changes.filter_map(|change| {
            let key = self.by_hash.get(&change.upstream)?;
            Some((self.upstreams.get(*key)?.listed.id.clone(), change))
        });
        named.collect()
    }

    /// Returns the number of upstreams that get no requests but probes, since they fail.
    pub fn ejected_count(&self) -> usize {
        self.ejections.ejected().count()
    }
}

/// Returns true if an upstream that turned a request away is known to have a free slot, and states
/// no limit.
fn is_unfounded(upstream: &UpstreamState) -> bool {
    upstream.limit().is_none() && upstream.running() <= upstream.listed.slots
}

fn route_hash(route: &str) -> RouteHash {
    name_hash(route) as RouteHash
}
