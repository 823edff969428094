//! Periodic work of the dispatcher: load reports, metrics, disconnected entries and unconfirmed
//! deaths.

use std::time::{Duration, Instant};

use egretgate_core::membership::heartbeat_interval;
use egretgate_core::{Error, ErrorKind};
use egretgate_link::message::{DeathReport, Load, TicketStatus, to_entry};
use rand::seq::IteratorRandom;
use slog::warn;

use crate::dispatcher::{Dispatcher, Running};

/// Time within which a reported death must be in the log, or every entry is asked to append it.
const DEATH_CONFIRM_TIMEOUT: Duration = Duration::from_secs(2);
/// Time without any activity of the dispatcher, which acts at each tick, after which the process
/// counts as having been frozen.
const FREEZE_THRESHOLD: Duration = Duration::from_secs(2);

impl Dispatcher {
    /// Does the work that is due at each tick.
    pub(crate) fn tick(&mut self) {
        let now = Instant::now();
        self.detect_freeze(now);
        for ticket in self.entries.remove_expired(now) {
            if self.queue.cancel(ticket).is_some() {
                self.finished.record(ticket, TicketStatus::Refused);
            }
        }
        self.resend_deaths(now);
        // A random entry each time, since the one asked last may no longer have the records that it
        // announced.
        if let Some(entry) = self.entries.connected().choose(&mut self.rng) {
            self.request_records(entry);
        }
        if now.duration_since(self.last_broadcast) >= heartbeat_interval(self.entries.len() as u32)
        {
            self.broadcast_load();
        }
        self.update_gauges();
    }

    /// Detects that the whole process was frozen since the dispatcher was last active.
    pub(crate) fn detect_freeze(&mut self, now: Instant) {
        let inactive = now.duration_since(self.last_active);
        self.last_active = now;
        if inactive >= FREEZE_THRESHOLD {
            warn!(self.log, "process was frozen"; "ms" => inactive.as_millis() as u64);
            self.resumed = Some(now);
        }
    }

    /// Returns true if the process was frozen while a request ran.
    pub(super) fn was_frozen(&self, running: &Running) -> bool {
        self.resumed.is_some_and(|resumed| running.started < resumed)
    }

    /// Applies the declared queue capacity and concurrency of the service, and the latency targets
    /// of the most urgent tier.
    pub(crate) fn apply_declarations(&mut self) {
        let Some(service) = self.config.service(&self.identity.service) else { return };
        let (queue, concurrency) = (service.queue, service.concurrency);
        let targets = self.config.targets(0);
        self.queue.set_capacity(queue as usize);
        self.engines.set_targets(targets, concurrency);
    }

    /// Sends the load with the version samples to every entry.
    pub(crate) fn broadcast_load(&mut self) {
        self.last_broadcast = Instant::now();
        let mut load = self.load();
        load.samples = self.samples.to_messages(|route| self.config.has_open_move(route));
        self.entries.broadcast(&to_entry::Body::Load(load));
    }

    /// Returns the current load, without samples.
    pub(crate) fn load(&self) -> Load {
        let estimate = self.engines.estimate(Instant::now());
        let waiting_tokens = self.queue.tokens();
        Load {
            queued: self.queue.len() as u32,
            running: self.engines.running(),
            limit: self.engines.limit_total(),
            waiting_tokens,
            first_us: micros(estimate.first_token_time(waiting_tokens, 0)),
            between_us: (estimate.inter_token_seconds * 1e6) as u64,
            lowest: self.queue.lowest_tier().map_or(0, |tier| u32::from(tier) + 1),
            shed: self.queue.shed_tier().map_or(0, |tier| u32::from(tier) + 1),
            offset: self.config.offset(),
            digest: self.config.digest(),
            samples: Vec::new(),
            healthy: self.engines.healthy(),
        }
    }

    /// Asks every entry to append a death that is not in the log after [`DEATH_CONFIRM_TIMEOUT`].
    fn resend_deaths(&mut self, now: Instant) {
        let (config, incarnation) = (&self.config, self.identity.incarnation);
        self.unconfirmed.retain(|death| !config.is_death_logged(incarnation, &death.report));
        for death in &mut self.unconfirmed {
            if now.duration_since(death.reported) >= DEATH_CONFIRM_TIMEOUT {
                death.reported = now;
                let report = DeathReport { append: true, ..death.report.clone() };
                self.entries.broadcast(&to_entry::Body::DeathReport(report));
            }
        }
    }

    fn update_gauges(&self) {
        metrics::gauge!("egretside_queued").set(self.queue.len() as f64);
        metrics::gauge!("egretside_running").set(f64::from(self.engines.running()));
        metrics::gauge!("egretside_limit").set(f64::from(self.engines.limit_total()));
        metrics::gauge!("egretside_entries").set(self.entries.len() as f64);
        metrics::gauge!("egretside_config_offset").set(self.config.offset() as f64);
    }
}

fn micros(time: Duration) -> u64 {
    u64::try_from(time.as_micros()).unwrap_or(u64::MAX)
}

/// Returns the error for a request that its entry withdrew.
pub(crate) fn withdrawn_error() -> Error {
    Error::new(ErrorKind::CallerGone, "withdrawn")
}
