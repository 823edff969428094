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
use crate::target_client::Probe;

/// Maximum number of deaths kept until they are in the log; the oldest is dropped first.
const MAX_UNCONFIRMED_DEATHS: usize = 64;

impl Dispatcher {
    /// Refuses queued requests that can't finish in time, starts those that fit, and completes a
    /// shutdown once nothing runs.
    pub(crate) fn advance(&mut self) {
        let released = self.death_news.expire(Instant::now());
        self.reply_load(released);
        let estimate = self.engines.estimate(Instant::now());
        for discarded in self.queue.expire(Instant::now(), &estimate, &mut self.rng) {
            self.refuse_discarded(discarded);
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

    /// Starts queued requests while an engine has headroom for them.
    pub(crate) fn start_next(&mut self) {
        while let Some((engine, queued)) = self.take_next() {
            self.start(engine, queued);
        }
    }

    /// Takes the next request off the queue, with the engine to start it on.
    fn take_next(&mut self) -> Option<(EngineKey, QueuedWork<QueuedOffer>)> {
        let now = Instant::now();
        for engine in self.engines.available() {
            let headroom = self.engines.headroom(engine);
            let (engines, reservation) = (&self.engines, &self.reservation);
            let keeps_reservation = engines.keeps_reservation(engine);
            let held_back = Cell::new(false);
            let queued = self.queue.next_matching(now, headroom, |work| {
                let reserved = !keeps_reservation && reservation.applies_to(work.tier, now);
                held_back.set(held_back.get() || reserved);
                engines.accepts(engine, work) && !reserved
            });
            if held_back.get() {
                self.engines.limit(engine).mark_held_back();
            }
            if let Some(queued) = queued {
                return Some((engine, queued));
            }
        }
        None
    }

    /// Starts a request on an engine, unless it must be offered again or its entry is disconnected.
    fn start(&mut self, engine: EngineKey, queued: QueuedWork<QueuedOffer>) {
        let QueuedWork { work, payload: QueuedOffer { entry, offer }, queued_at } = queued;
        self.entries.remove_queued(entry, work.ticket);
        if self.needs_recheck(&work) {
            let waited = queued_at.elapsed().as_millis() as u64;
            let deadline_ms = offer.deadline_ms.saturating_sub(waited);
            return self.handle_offer(entry, Offer { deadline_ms, ..offer });
        }
        let Some(frames) = self.entries.frames(entry).cloned() else {
            // The entry is disconnected, so there is nobody to receive the answer.
            self.finished.record(work.ticket, TicketStatus::Refused);
            return;
        };
        metrics::histogram!("egretside_wait_seconds").record(queued_at.elapsed().as_secs_f64());
        let load_level = self.engines.level(engine);
        let started = Instant::now();
        self.engines.record_start(engine, &work, started);
        let client = self.engines.client(engine);
        let version = client.version().clone();
        let route = offer.route.clone();
        let (run, control) = Run::new(work.ticket, offer, client, frames);
        let running = Running {
            engine,
            digest: work.digest,
            control,
            route,
            team: work.team,
            tier: work.tier,
            prompt: work.prompt_tokens,
            output_tokens: work.output_tokens,
            load_level,
            version,
            started,
        };
        self.running.insert(work.ticket, running);
        tokio::spawn(run_and_deliver(run, self.self_sender.clone()));
    }

    /// Returns true if the request became quarantined or suspect while it was queued. It is then
    /// offered again: a quarantined request is refused, and a suspect runs exclusively.
    fn needs_recheck(&self, work: &Work) -> bool {
        self.config.is_quarantined(work.digest)
            || !work.exclusive && self.config.is_suspect(work.digest)
    }

    /// Records the end of a run. Returns the engine if a probe that is under way will show whether
    /// it died, or if some entry may not know yet that it did.
    pub(crate) fn handle_ended(&mut self, summary: &RunSummary) -> Option<EngineKey> {
        let running = self.running.remove(&summary.ticket)?;
        self.delivering.insert(summary.ticket, running.control.clone());
        let status = match summary.finish {
            Finish::NotSent => TicketStatus::Refused,
            _ => TicketStatus::Ended,
        };
        self.finished.record(summary.ticket, status);
        let charged = u64::from(running.prompt) + u64::from(running.output_tokens);
        let frozen = self.was_frozen(&running);
        let limit = self.engines.limit(running.engine);
        if summary.finish == Finish::Whole && !frozen {
            let actual = u64::from(running.prompt) + u64::from(summary.tokens);
            limit.record_end(charged, actual, summary.duration);
            self.lengths.observe(&running.route, summary.tokens);
            self.queue.correct_charge(
                running.tier,
                &running.team,
                running.output_tokens,
                summary.tokens,
            );
        } else {
            limit.record_failure(charged);
        }
        if !frozen {
            let key = SampleKey {
                route: running.route.clone(),
                version: running.version.clone(),
                level: running.load_level,
            };
            self.samples.record(key, self.config.targets(running.tier), summary);
        }
        self.log_end(&running, summary);
        let cut = matches!(summary.finish, Finish::Cut);
        let needs_probe = self.engines.record_end(running.engine, summary.ticket, summary.finish);
        let unreachable =
            summary.finish == Finish::NotSent && self.engines.mark_unreachable(running.engine);
        if needs_probe || unreachable {
            self.probe(running.engine, Duration::ZERO);
        }
        if cut && self.engines.record_late_cut(running.engine, running.digest) {
            warn!(self.log, "request cut after the death was reported";
                "request" => summary.ticket.to_string());
            self.report_death(running.engine, vec![running.digest]);
        }
        // A report that is under way may name this request, however it ended.
        let must_wait = cut && self.engines.is_probing(running.engine)
            || self.death_news.is_pending(&running.engine);
        must_wait.then_some(running.engine)
    }

    fn log_end(&self, running: &Running, summary: &RunSummary) {
        metrics::counter!("egretside_ended_total", "finish" => summary.finish.as_str())
            .increment(1);
        info!(self.log, "request ended";
            "request" => summary.ticket.to_string(),
            "team" => &running.team,
            "tier" => running.tier,
            "route" => &running.route,
            "version" => &running.version,
            "outcome" => summary.finish.as_str(),
            "tokens" => summary.tokens,
            "ms" => summary.duration.as_millis() as u64);
    }

    /// Probes an engine after `delay`.
    fn probe(&self, key: EngineKey, delay: Duration) {
        let client = self.engines.client(key);
        let self_sender = self.self_sender.clone();
        tokio::spawn(async move {
            tokio::time::sleep(delay).await;
            let probe = client.probe().await;
            let _ = self_sender.send(DispatcherMessage::Probed { engine: key, probe }).await;
        });
    }

    /// Handles the result of a probe: reports a death, and keeps probing an engine that is down.
    pub(crate) fn handle_probed(&mut self, key: EngineKey, probe: Probe) {
        match self.engines.record_probe(key, probe, Instant::now()) {
            ProbeOutcome::Alive => {}
            ProbeOutcome::Recovered => info!(self.log, "engine is back"),
            ProbeOutcome::StillDown => self.probe(key, PROBE_INTERVAL),
            ProbeOutcome::Hangs => {
                warn!(self.log, "engine hangs"; "in_flight" => self.engines.running());
                self.probe(key, PROBE_INTERVAL);
                self.broadcast_load();
            }
            ProbeOutcome::Died { digests, recovered } => {
                warn!(self.log, "engine died"; "in_flight" => digests.len());
                metrics::counter!("egretside_deaths_total").increment(1);
                self.report_death(key, digests);
                if !recovered {
                    self.probe(key, PROBE_INTERVAL);
                }
                self.broadcast_load();
            }
        }
        let waiting: Vec<_> =
            self.probe_waiters.extract_if(.., |(engine, _)| *engine == key).collect();
        let unheld = waiting.into_iter().filter_map(|(_, reply)| self.death_news.hold(&key, reply));
        let unheld = unheld.collect();
        self.reply_load(unheld);
    }

    fn report_death(&mut self, engine: EngineKey, digests: Vec<egretgate_core::Digest>) {
        if digests.is_empty() {
            return;
        }
        self.death_count += 1;
        let report = DeathReport {
            upstream: self.identity.upstream.clone(),
            sequence: self.death_count,
            digests: digests
                .iter()
                .map(|digest| Bytes::copy_from_slice(digest.as_bytes()))
                .collect(),
            append: false,
        };
        let Identity { upstream, incarnation, .. } = &self.identity;
        self.config.record_death(upstream, *incarnation, &report);
        // Every entry refuses or isolates the requests at once; only one appends the death to the
        // log.
        let writer = self.entries.connected().min();
        for entry in self.entries.connected() {
            let report = DeathReport { append: Some(entry) == writer, ..report.clone() };
            self.entries.send(entry, to_entry::Body::DeathReport(report));
        }
        self.death_news.announce(engine, report.sequence, self.entries.connected(), Instant::now());
        if self.unconfirmed.len() >= MAX_UNCONFIRMED_DEATHS {
            self.unconfirmed.remove(0);
        }
        self.unconfirmed.push(UnconfirmedDeath { report, reported: Instant::now() });
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
        let estimate = self.engines.estimate(Instant::now());
        let goodbye = to_entry::Body::Goodbye(egretgate_link::message::Goodbye {});
        self.entries.broadcast(&goodbye);
        for mut discarded in self.queue.drain(Instant::now(), &estimate, &mut self.rng) {
            discarded.error.kind = ErrorKind::Stopping;
            self.refuse_discarded(discarded);
        }
        info!(self.log, "stopping"; "running" => self.running.len());
        self.stopping = true;
        self.stop_reply = Some(reply);
    }
}

/// Runs a request to its end, then delivers its last frame.
async fn run_and_deliver(mut run: Run, dispatcher: tokio::sync::mpsc::Sender<DispatcherMessage>) {
    let summary = run.run(&dispatcher).await;
    let ticket = summary.ticket;
    let (reply, load) = oneshot::channel();
    if dispatcher.send(DispatcherMessage::Ended { summary, reply }).await.is_err() {
        return;
    }
    run.deliver(load.await.unwrap_or_default()).await;
    let _ = dispatcher.send(DispatcherMessage::Delivered(ticket)).await;
}
