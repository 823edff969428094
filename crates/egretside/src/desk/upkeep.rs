//! Regular work of the desk: heartbeats, load, and what was lost.

use std::time::{Duration, Instant};

use egretgate_core::membership::heartbeat_interval;
use egretgate_core::{Error, ErrorKind};
use egretgate_link::message::{DeathReport, Load, TicketStatus, to_entry};
use rand::seq::IteratorRandom;
use slog::warn;

use crate::desk::{Desk, Running};

/// Time within which a reported death must be in the log, or every entry is asked to append it.
const DEATH_CONFIRM: Duration = Duration::from_secs(2);
/// Time without an act of the desk from which the process counts as having been frozen.
const FROZEN: Duration = Duration::from_secs(2);

impl Desk {
    /// Does what is due by time alone.
    pub(crate) fn tick(&mut self) {
        let now = Instant::now();
        self.notice_freeze(now);
        for ticket in self.entries.forget_lost(now) {
            if self.queue.cancel(ticket).is_some() {
                self.standings.note(ticket, TicketStatus::Refused);
            }
        }
        self.confirm_deaths(now);
        // Another entry each time: the last one asked may not have what it announced.
        if let Some(entry) = self.entries.attached().choose(&mut self.rng) {
            self.ask_records(entry);
        }
        if now.duration_since(self.last_beat) >= heartbeat_interval(self.entries.len() as u32) {
            self.beat();
        }
        self.gauge();
    }

    /// Notes whether the process as a whole stood still: the desk acts at each tick.
    pub(crate) fn notice_freeze(&mut self, now: Instant) {
        let still = now.duration_since(self.awake);
        self.awake = now;
        if still >= FROZEN {
            warn!(self.log, "process was frozen"; "ms" => still.as_millis() as u64);
            self.thawed = Some(now);
        }
    }

    /// Returns true if the process stood still while a request ran.
    pub(super) fn was_frozen(&self, running: &Running) -> bool {
        self.thawed.is_some_and(|thawed| running.since < thawed)
    }

    /// Takes over what the declarations say of the service and its most urgent tier.
    pub(crate) fn follow_declarations(&mut self) {
        let Some(service) = self.feed.service(&self.identity.service) else { return };
        let (queue, concurrency) = (service.queue, service.concurrency);
        let targets = self.feed.targets(0);
        self.queue.set_capacity(queue as usize);
        self.engines.set_targets(targets, concurrency);
    }

    /// Sends the load to every entry.
    pub(crate) fn beat(&mut self) {
        self.last_beat = Instant::now();
        let mut load = self.load();
        load.samples = self.samples.frames(|route| self.feed.moves(route));
        self.entries.broadcast(&to_entry::Body::Load(load));
    }

    /// Returns the load at this moment, without samples.
    pub(crate) fn load(&self) -> Load {
        let estimate = self.engines.estimate();
        let waiting = self.queue.tokens();
        Load {
            queued: self.queue.len() as u32,
            running: self.engines.running(),
            limit: self.engines.limit_total(),
            waiting_tokens: waiting,
            first_us: micros(estimate.first_token_time(waiting, 0)),
            between_us: (estimate.inter_token * 1e6) as u64,
            lowest: self.queue.lowest_tier().map_or(0, |tier| u32::from(tier) + 1),
            shed: self.queue.shed_tier().map_or(0, |tier| u32::from(tier) + 1),
            offset: self.feed.offset(),
            digest: self.feed.digest(),
            samples: Vec::new(),
            healthy: self.engines.healthy(),
        }
    }

    /// Asks every entry to append a death if the log has not confirmed it in time.
    fn confirm_deaths(&mut self, now: Instant) {
        let (feed, life) = (&self.feed, self.identity.incarnation);
        self.unconfirmed.retain(|one| !feed.knows_death(life, &one.deaths));
        for one in &mut self.unconfirmed {
            if now.duration_since(one.since) >= DEATH_CONFIRM {
                one.since = now;
                let deaths = DeathReport { append: true, ..one.deaths.clone() };
                self.entries.broadcast(&to_entry::Body::DeathReport(deaths));
            }
        }
    }

    fn gauge(&self) {
        metrics::gauge!("egretside_queued").set(self.queue.len() as f64);
        metrics::gauge!("egretside_running").set(f64::from(self.engines.running()));
        metrics::gauge!("egretside_limit").set(f64::from(self.engines.limit_total()));
        metrics::gauge!("egretside_entries").set(self.entries.len() as f64);
        metrics::gauge!("egretside_config_offset").set(self.feed.offset() as f64);
    }
}

fn micros(time: Duration) -> u64 {
    u64::try_from(time.as_micros()).unwrap_or(u64::MAX)
}

/// Returns the refusal of a request that its entry took back.
pub(crate) fn withdrawn() -> Error {
    Error::new(ErrorKind::CallerGone, "withdrawn")
}
