//! The reports that entries send each other, and the state of moves that they decide together.

use std::collections::HashMap;
use std::time::Instant;

use super::Scheduler;
use crate::gateway::catalog::MoveSpec;
use crate::gateway::peer::{AgedCold, AgedLimit, LeavingUpstream, NameHash, PeerReport, name_hash};
use crate::gateway::reserve::PriorityLoad;
use crate::gateway::service_state::ServiceState;
use crate::gateway::traffic_move::{MoveState, MoveStatus, Rejection};
use crate::gateway::upstream::UpstreamState;

/// Decayed count of a priority's arrivals, in requests, below which the priority isn't reported.
const MIN_REPORTED_ARRIVALS: f64 = 0.1;
/// The same for requests that ended.
const MIN_REPORTED_ENDS: f64 = 0.1;
/// Most upstreams of which a report says that they may be cold, so that it fits into a datagram.
const MAX_REPORTED_COLD: usize = 96;
/// The same for upstreams that said that they leave, those that are still listed first.
const MAX_REPORTED_LEAVING: usize = 96;

impl Scheduler {
    /// Receives the report of another entry.
    pub fn receive_report(&mut self, report: PeerReport, now: Instant) {
        if report.name == self.name || !self.peers.is_newer(&report) {
            return;
        }
        self.counted.record_report(&report.name, now);
        let peer = name_hash(&report.name);
        self.requests.merge(peer, &report.requests, now);
        self.parts.merge(peer, &report.parts, now);
        self.returns.merge(&report.returns, now);
        for (key, move_report) in &report.moves {
            self.moves.merge_report(report.incarnation, *key, move_report.clone(), now);
        }
        self.ejections.merge_probes(&report.ejection.probes, now);
        for (hash, sample) in &report.unit_seconds {
            if let Some(upstream) =
                self.by_hash.get(hash).and_then(|key| self.upstreams.get_mut(*key))
            {
                upstream.record_unit_seconds(*sample);
            }
        }
        for leaving in &report.leaving {
            self.record_peer_leaving(*leaving, &report.name);
        }
        for (hash, limit) in &report.limits {
            if let Some(upstream) =
                self.by_hash.get(hash).and_then(|key| self.upstreams.get_mut(*key))
            {
                upstream.rate_limit.record_peer(limit.notice(now));
            }
        }
        self.receive_cold(&report.cold, now);
        let entries = self.entries();
        let overdue_age = self.schedule.overdue_age();
        for spend in self.peers.record_report(report, now) {
            let buckets = self.buckets.iter_mut();
            for (_, bucket) in buckets.filter(|(team, _)| name_hash(team) == spend.team) {
                // While the peer was overdue, this entry left the peer's part of the rate to it.
                let overdue = spend.silence.saturating_sub(overdue_age);
                let part = bucket.limit().rate * overdue.as_secs_f64() / entries as f64;
                match u64::try_from(spend.tokens) {
                    Ok(tokens) => bucket.record_peer_spend(tokens.saturating_sub(part as u64), now),
                    Err(_) => bucket.record_peer_refund(spend.tokens.unsigned_abs(), now),
                }
            }
        }
    }

    /// Returns this entry's report for its peers.
    pub fn report(&mut self, now: Instant) -> PeerReport {
        self.sequence += 1;
        let demand = self
            .services
            .iter()
            .map(|(service, service_state)| (name_hash(service), service_state.demand()));
        let refusals = self.services.iter().flat_map(|(service, service_state)| {
            let hash = name_hash(service);
            service_state
                .refusals
                .by_priority(now)
                .map(move |(priority, counts)| ((hash, priority), counts))
        });
        let refusals = refusals.filter(|(_, counts)| counts.arrived > MIN_REPORTED_ARRIVALS);
        let planned = self.services.iter().filter(|(_, service_state)| service_state.states_pace);
        let loads = planned.flat_map(|(service, service_state)| {
            let hash = name_hash(service);
            let loads = service_state.loads(now).into_iter();
            loads.map(move |(priority, load)| ((hash, priority), load))
        });
        let is_reported =
            |load: &PriorityLoad| load.running + load.waiting > 0 || load.ended > MIN_REPORTED_ENDS;
        let loads = loads.filter(|(_, load)| is_reported(load)).collect();
        let running = self.upstreams.values().map(|upstream| {
            let short_calls = self
                .services
                .get(&upstream.listed.service)
                .is_some_and(ServiceState::has_short_calls);
            let running = if short_calls { upstream.active() } else { upstream.own_running };
            (upstream.hash, running)
        });
        let running: HashMap<NameHash, u32> = running.filter(|(_, running)| *running > 0).collect();
        let unit_seconds = self.upstreams.values_mut().filter_map(|upstream| {
            upstream.take_unreported().map(|unit_seconds| (upstream.hash, unit_seconds))
        });
        let unit_seconds = unit_seconds.collect();
        let limits = self.upstreams.values().filter_map(|upstream| {
            let notice = upstream.rate_limit.report(now)?;
            Some((upstream.hash, AgedLimit::new(notice, now)))
        });
        let limits = limits.collect();
        let cold = self.upstreams.values().filter_map(|upstream| {
            let notice = upstream.cold.report(now)?;
            Some((upstream.hash, AgedCold::new(notice, now)))
        });
        let cold = cold.take(MAX_REPORTED_COLD);
        let leaving = self.upstreams.values().filter(|upstream| upstream.told_leaving);
        let leaving = leaving.map(|upstream| (upstream.hash, upstream.listed.started_ms));
        // Where another incarnation is listed, the older one matters no more.
        let is_unlisted = |(hash, _): &(NameHash, _)| !self.by_hash.contains_key(hash);
        let departed = self.departed.told_leaving().filter(is_unlisted);
        let leaving = leaving.chain(departed).take(MAX_REPORTED_LEAVING);
        let leaving =
            leaving.map(|(upstream, started_ms)| LeavingUpstream { upstream, started_ms });
        let admitted =
            self.buckets.iter().map(|(team, bucket)| (name_hash(team), bucket.admitted()));
        PeerReport {
            name: self.name.clone(),
            zone: self.zone.clone(),
            incarnation: self.incarnation,
            sequence: self.sequence,
            demand: demand.collect(),
            running,
            unit_seconds,
            limits,
            cold: cold.collect(),
            leaving: leaving.collect(),
            loads,
            refusals: refusals.collect(),
            admitted: admitted.filter(|(_, tokens)| *tokens > 0).collect(),
            requests: self.requests.report(now),
            parts: self.parts.report(now),
            returns: self.returns.report(now),
            moves: self.moves.report(self.is_leader(now), now),
            ejection: self.ejections.report(now),
            catalog: None,
            upstreams: None,
        }
    }

    /// Returns the moves whose state in the store isn't known yet.
    pub fn unknown_moves(&self) -> Vec<MoveSpec> {
        self.moves.unknown()
    }

    /// Sets the state that a move has in the store.
    pub fn record_move(&mut self, spec: &MoveSpec, state: MoveState) {
        self.moves.set_state(spec, state);
    }

    /// Returns the moves with the states that the directory should hold, if this entry leads.
    pub fn recorded_moves(&self, now: Instant) -> Vec<MoveStatus> {
        if self.is_leader(now) { self.moves.recorded() } else { Vec::new() }
    }

    /// Judges the moves that have not ended and returns the states to record.
    pub fn judge_moves(&mut self, now: Instant) -> Vec<MoveStatus> {
        self.refresh(now);
        let is_leader = self.is_leader(now);
        let old_running = |spec: &MoveSpec| {
            let old = self.upstreams.values().filter(|upstream| {
                upstream.listed.service == spec.service && upstream.listed.version != spec.target
            });
            old.map(UpstreamState::running).fold(0, u32::saturating_add)
        };
        self.moves.judge(self.incarnation, is_leader, old_running, now)
    }

    /// Returns the versions that this entry rejected since the last call.
    pub fn take_rejections(&mut self) -> Vec<Rejection> {
        self.moves.take_rejections()
    }
}
