//! The lifecycle of a request on an engine: its start, its end, and the engine's death.

use std::cell::Cell;
use std::time::{Duration, Instant};

use bytes::Bytes;
use egretgate_core::queue::{QueuedWork, Work};
use egretgate_core::{ErrorKind, Ticket};
use egretgate_link::message::{DeathReport, Offer, Queued, TicketStatus, to_entry};
use slog::{info, warn};
use tokio::sync::oneshot;

use crate::dispatcher::{
    Dispatcher, DispatcherMessage, Identity, QueuedOffer, Running, UnconfirmedDeath,
};
use crate::engines::{EngineKey, PROBE_INTERVAL, ProbeOutcome};
use crate::run::{Finish, Run, RunSummary};
use crate::samples::SampleKey;

/// Maximum number of deaths kept until they are in the log; the oldest is dropped first.
const MAX_UNCONFIRMED: usize = 64;

impl Dispatcher {
    /// Drops queued requests that can't finish in time and starts those that fit.
    pub(crate) fn advance(&mut self) {
        let estimate = self.engines.estimate();
        for given_up in self.queue.expire(Instant::now(), &estimate, &mut self.rng) {
            self.give_up(given_up);
        }
        self.start_next();
        if self.delivering.is_empty()
            && self.delayed_offers == 0
            && self.running.is_empty()
            && let Some(reply) = self.stop_reply.take()
        {
            let _ = reply.send(());
        }
    }

    /// Starts queued requests while an engine has room for them.
    pub(crate) fn start_next(&mut self) {
        while let Some((engine, held)) = self.take_next() {
            self.start(engine, held);
        }
    }

    fn take_next(&mut self) -> Option<(EngineKey, QueuedWork<QueuedOffer>)> {
        let now = Instant::now();
        for engine in self.engines.available() {
            let room = self.engines.room(engine);
            let (engines, reserve) = (&self.engines, &self.reserve);
            let spares = engines.spares_room(engine);
            let held_back = Cell::new(false);
            let held = self.queue.next_matching(now, room, |work| {
                let waits = !spares && reserve.applies_to(work.tier, now);
                held_back.set(held_back.get() || waits);
                engines.accepts(engine, work) && !waits
            });
            if held_back.get() {
                self.engines.limit(engine).mark_held_back();
            }
            if let Some(held) = held {
                return Some((engine, held));
            }
        }
        None
    }

    fn start(&mut self, engine: EngineKey, held: QueuedWork<QueuedOffer>) {
        let QueuedWork { work, payload: QueuedOffer { entry, offer }, queued_at: since } = held;
        self.entries.remove_waiting(entry, work.ticket);
        if self.needs_recheck(&work) {
            let waited = since.elapsed().as_millis() as u64;
            let deadline_ms = offer.deadline_ms.saturating_sub(waited);
            return self.handle_offer(entry, Offer { deadline_ms, ..offer });
        }
        let Some(frames) = self.entries.frames(entry).cloned() else {
            // The entry is disconnected, so there is nobody to receive the answer.
            self.finished.record(work.ticket, TicketStatus::Refused);
            return;
        };
        metrics::histogram!("egretside_wait_seconds").record(since.elapsed().as_secs_f64());
        let level = self.engines.level(engine);
        self.engines.started(engine, &work);
        let upstream = self.engines.client(engine);
        let version = upstream.version().clone();
        let route = offer.route.clone();
        let (run, control) = Run::new(work.ticket, offer, upstream, frames);
        let running = Running {
            engine,
            control,
            route,
            team: work.team,
            tier: work.tier,
            prompt_tokens: work.prompt_tokens,
            output_estimate: work.output_tokens,
            load_level: level,
            version,
            since: Instant::now(),
        };
        self.running.insert(work.ticket, running);
        tokio::spawn(drive(run, self.self_sender.clone()));
    }

    /// Returns true if the request became quarantined or suspect while it was queued. It is then
    /// offered again: a quarantined request is refused, and a suspect runs exclusively.
    fn needs_recheck(&self, work: &Work) -> bool {
        self.config.is_quarantined(work.digest)
            || !work.exclusive && self.config.is_suspect(work.digest)
    }

    /// Records the end of a run. Returns the engine if a probe that is under way will show whether
    /// it died.
    pub(crate) fn handle_ended(&mut self, report: &RunSummary) -> Option<EngineKey> {
        let running = self.running.remove(&report.ticket)?;
        self.delivering.insert(report.ticket, running.control.clone());
        let standing = match report.finish {
            Finish::NotSent => TicketStatus::Refused,
            _ => TicketStatus::Ended,
        };
        self.finished.record(report.ticket, standing);
        let charged = u64::from(running.prompt_tokens) + u64::from(running.output_estimate);
        let frozen = self.was_frozen(&running);
        let limit = self.engines.limit(running.engine);
        if report.finish == Finish::Whole && !frozen {
            let actual = u64::from(running.prompt_tokens) + u64::from(report.tokens);
            limit.record_end(charged, actual, report.duration);
            self.lengths.observe(&running.route, report.tokens);
            self.queue.correct_charge(
                running.tier,
                &running.team,
                running.output_estimate,
                report.tokens,
            );
        } else {
            limit.record_failure(charged);
        }
        if !frozen {
            let place = SampleKey {
                route: running.route.clone(),
                version: running.version.clone(),
                level: running.load_level,
            };
            self.samples.record(place, self.config.targets(running.tier), report);
        }
        self.log_end(&running, report);
        let cut = matches!(report.finish, Finish::Cut);
        let doubted = self.engines.ended(running.engine, report.ticket, cut);
        let unreachable =
            report.finish == Finish::NotSent && self.engines.mark_unreachable(running.engine);
        if doubted || unreachable {
            self.probe(running.engine, Duration::ZERO);
        }
        let doubted = cut && self.engines.is_probing(running.engine);
        doubted.then_some(running.engine)
    }

    fn log_end(&self, running: &Running, report: &RunSummary) {
        metrics::counter!("egretside_ended_total", "finish" => report.finish.as_str()).increment(1);
        info!(self.log, "request ended";
            "request" => report.ticket.to_string(),
            "team" => &running.team,
            "tier" => running.tier,
            "route" => &running.route,
            "version" => &running.version,
            "outcome" => report.finish.as_str(),
            "tokens" => report.tokens,
            "ms" => report.duration.as_millis() as u64);
    }

    /// Probes an engine after `delay`.
    fn probe(&self, key: EngineKey, pause: Duration) {
        let upstream = self.engines.client(key);
        let own = self.self_sender.clone();
        tokio::spawn(async move {
            tokio::time::sleep(pause).await;
            let alive = upstream.is_alive().await;
            let _ = own.send(DispatcherMessage::Probed { engine: key, alive }).await;
        });
    }

    /// Handles the result of a probe: reports a death, and keeps probing an engine that is down.
    pub(crate) fn handle_probed(&mut self, key: EngineKey, alive: bool) {
        match self.engines.record_probe(key, alive, Instant::now()) {
            ProbeOutcome::Alive => {}
            ProbeOutcome::Recovered => info!(self.log, "engine is back"),
            ProbeOutcome::StillDown => self.probe(key, PROBE_INTERVAL),
            ProbeOutcome::Died { digests, recovered: back } => {
                self.report_death(digests);
                if !back {
                    self.probe(key, PROBE_INTERVAL);
                }
                self.broadcast_load();
            }
        }
        let load = self.load();
        for (_, reply) in self.probe_waiters.extract_if(.., |(engine, _)| *engine == key) {
            let _ = reply.send(load.clone());
        }
    }

    fn report_death(&mut self, digests: Vec<egretgate_core::Digest>) {
        warn!(self.log, "engine died"; "in_flight" => digests.len());
        metrics::counter!("egretside_deaths_total").increment(1);
        if digests.is_empty() {
            return;
        }
        self.deaths += 1;
        let deaths = DeathReport {
            upstream: self.identity.upstream.clone(),
            sequence: self.deaths,
            digests: digests.iter().map(|one| Bytes::copy_from_slice(one.as_bytes())).collect(),
            append: false,
        };
        let Identity { upstream, incarnation, .. } = &self.identity;
        self.config.record_death(upstream, *incarnation, &deaths);
        // Every entry refuses or isolates the requests at once; only one appends the death to the
        // log.
        let writer = self.entries.attached().min();
        for entry in self.entries.attached() {
            let deaths = DeathReport { append: Some(entry) == writer, ..deaths.clone() };
            self.entries.send(entry, to_entry::Body::DeathReport(deaths));
        }
        if self.unconfirmed.len() >= MAX_UNCONFIRMED {
            self.unconfirmed.remove(0);
        }
        self.unconfirmed.push(UnconfirmedDeath { report: deaths, since: Instant::now() });
    }

    /// Tells the entry that a request is queued, unless it has started already.
    pub(crate) fn notify_queued(&self, entry: egretgate_core::Incarnation, ticket: Ticket) {
        if self.queue.contains(ticket) {
            let queued = Queued { ticket: Some(ticket.into()) };
            self.entries.send(entry, to_entry::Body::Queued(queued));
        }
    }

    /// Refuses every queued request, and replies once the running ones have finished.
    pub(crate) fn stop(&mut self, reply: oneshot::Sender<()>) {
        let estimate = self.engines.estimate();
        let goodbye = to_entry::Body::Goodbye(egretgate_link::message::Goodbye {});
        self.entries.broadcast(&goodbye);
        for mut given_up in self.queue.drain(Instant::now(), &estimate, &mut self.rng) {
            given_up.error.kind = ErrorKind::Stopping;
            self.give_up(given_up);
        }
        info!(self.log, "stopping"; "running" => self.running.len());
        self.stopping = true;
        self.stop_reply = Some(reply);
    }
}

/// Runs a request to its end, then delivers its last frame.
async fn drive(mut run: Run, desk: tokio::sync::mpsc::Sender<DispatcherMessage>) {
    let report = run.run(&desk).await;
    let ticket = report.ticket;
    let (reply, load) = oneshot::channel();
    if desk.send(DispatcherMessage::Ended { summary: report, reply }).await.is_err() {
        return;
    }
    run.deliver(load.await.unwrap_or_default()).await;
    let _ = desk.send(DispatcherMessage::Delivered(ticket)).await;
}
