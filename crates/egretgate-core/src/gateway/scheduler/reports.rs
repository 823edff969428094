//! What entries tell each other, and what they have judged together.

use std::time::Instant;

use super::Scheduler;
use crate::gateway::catalog::MoveSpec;
use crate::gateway::peer::{PeerReport, name_hash};
use crate::gateway::service_state::ServiceState;
use crate::gateway::traffic_move::{MoveState, MoveStatus};

/// Weight of a rank's arrivals below which it isn't reported: less than a tenth of a request.
const MIN_REPORTED_ARRIVALS: f64 = 0.1;

impl Scheduler {
    /// Takes in what another entry reports.
    pub fn receive_report(&mut self, report: PeerReport, now: Instant) {
        if report.name == self.name || !self.peers.is_newer(&report) {
            return;
        }
        for (digest, breaks) in &report.broken_runs {
            self.broken_runs.merge(report.incarnation, *digest, *breaks, now);
        }
        for (of, told) in &report.moves {
            self.moves.merge_report(report.incarnation, *of, told.clone(), now);
        }
        for spent in self.peers.record_report(report, now) {
            let meters = self.buckets.iter_mut();
            for (_, meter) in meters.filter(|(team, _)| name_hash(team) == spent.team) {
                meter.record_peer_spend(spent.tokens);
            }
        }
    }

    /// Returns what this entry tells the others.
    pub fn report(&mut self, now: Instant) -> PeerReport {
        self.sequence += 1;
        let demand = self.services.iter().map(|(service, backlog)| {
            (name_hash(service), f64::from(backlog.running) + backlog.queue.len() as f64)
        });
        let strains = self.services.iter().flat_map(|(service, backlog)| {
            let hash = name_hash(service);
            backlog.refusals.by_priority(now).map(move |(rank, strain)| ((hash, rank), strain))
        });
        let strains = strains.filter(|(_, strain)| strain.arrived > MIN_REPORTED_ARRIVALS);
        let running = self.upstreams.values().map(|standing| {
            let brief = self
                .services
                .get(&standing.listed.service)
                .is_some_and(ServiceState::has_short_calls);
            let running = if brief { standing.active() } else { standing.own_running };
            (name_hash(&standing.listed.id), running)
        });
        let running = running.filter(|(_, running)| *running > 0);
        let admitted = self.buckets.iter().map(|(team, meter)| (name_hash(team), meter.admitted()));
        PeerReport {
            name: self.name.clone(),
            incarnation: self.incarnation,
            sequence: self.sequence,
            demand: demand.collect(),
            running: running.collect(),
            refusals: strains.collect(),
            admitted: admitted.filter(|(_, tokens)| *tokens > 0).collect(),
            broken_runs: self.broken_runs.recent_changes(now),
            moves: self.moves.report(self.is_leader(now), now),
            catalog: None,
            upstreams: None,
        }
    }

    /// Returns the orders to move traffic of which it isn't known how they stand in the store.
    pub fn unknown_moves(&self) -> Vec<MoveSpec> {
        self.moves.unknown()
    }

    /// Takes in how a move stands in the store.
    pub fn record_move(&mut self, order: &MoveSpec, state: MoveState) {
        self.moves.set_state(order, state);
    }

    /// Judges the moves that go on and returns what is to be recorded of them.
    pub fn judge_moves(&mut self, now: Instant) -> Vec<MoveStatus> {
        self.refresh(now);
        let leads = self.is_leader(now);
        let old_running = |order: &MoveSpec| {
            let old = self.upstreams.values().filter(|standing| {
                standing.listed.service == order.service && standing.listed.version != order.target
            });
            old.map(|standing| standing.own_running + standing.peer_running).sum()
        };
        self.moves.judge(self.incarnation, leads, old_running, now)
    }
}
