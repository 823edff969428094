//! What entries tell each other, and what they have judged together.

use std::time::Instant;

use super::Scheduler;
use crate::gateway::service_state::Backlog;
use crate::gateway::catalog::MoveOrder;
use crate::gateway::traffic_move::{MoveState, MoveStatus};
use crate::gateway::peer::{PeerReport, name_hash};

/// Weight of a rank's arrivals below which it isn't reported: less than a tenth of a request.
const LEAST_ARRIVED: f64 = 0.1;

impl Scheduler {
    /// Takes in what another entry reports.
    pub fn hear(&mut self, report: PeerReport, now: Instant) {
        if report.name == self.name || !self.peers.is_news(&report) {
            return;
        }
        for (digest, breaks) in &report.breaks {
            self.breaks.hear(report.incarnation, *digest, *breaks, now);
        }
        for (of, told) in &report.moves {
            self.moves.hear(report.incarnation, *of, told.clone(), now);
        }
        for spent in self.peers.hear(report, now) {
            let meters = self.meters.iter_mut();
            for (_, meter) in meters.filter(|(team, _)| name_hash(team) == spent.team) {
                meter.spend_elsewhere(spent.tokens);
            }
        }
    }

    /// Returns what this entry tells the others.
    pub fn report(&mut self, now: Instant) -> PeerReport {
        self.sequence += 1;
        let demand = self.services.iter().map(|(service, backlog)| {
            (name_hash(service), f64::from(backlog.running) + backlog.lane.len() as f64)
        });
        let strains = self.services.iter().flat_map(|(service, backlog)| {
            let hash = name_hash(service);
            backlog.strains.ranks(now).map(move |(rank, strain)| ((hash, rank), strain))
        });
        let strains = strains.filter(|(_, strain)| strain.arrived > LEAST_ARRIVED);
        let running = self.upstreams.values().map(|standing| {
            let brief = self.services.get(&standing.listed.service).is_some_and(Backlog::is_brief);
            let running = if brief { standing.at_work() } else { standing.own };
            (name_hash(&standing.listed.id), running)
        });
        let running = running.filter(|(_, running)| *running > 0);
        let admitted = self.meters.iter().map(|(team, meter)| (name_hash(team), meter.admitted()));
        PeerReport {
            name: self.name.clone(),
            incarnation: self.incarnation,
            sequence: self.sequence,
            demand: demand.collect(),
            running: running.collect(),
            strains: strains.collect(),
            admitted: admitted.filter(|(_, tokens)| *tokens > 0).collect(),
            breaks: self.breaks.told(now),
            moves: self.moves.report(self.leads(now), now),
            catalog: None,
            roster: None,
        }
    }

    /// Returns the orders to move traffic of which it isn't known how they stand in the store.
    pub fn unknown_moves(&self) -> Vec<MoveOrder> {
        self.moves.unknown()
    }

    /// Takes in how a move stands in the store.
    pub fn record_move(&mut self, order: &MoveOrder, state: MoveState) {
        self.moves.record(order, state);
    }

    /// Judges the moves that go on and returns what is to be recorded of them.
    pub fn judge_moves(&mut self, now: Instant) -> Vec<MoveStatus> {
        self.refresh(now);
        let leads = self.leads(now);
        let old_running = |order: &MoveOrder| {
            let old = self.upstreams.values().filter(|standing| {
                standing.listed.service == order.service && standing.listed.version != order.target
            });
            old.map(|standing| standing.own + standing.others).sum()
        };
        self.moves.judge(self.incarnation, leads, old_running, now)
    }
}
