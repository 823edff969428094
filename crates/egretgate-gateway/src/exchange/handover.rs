//! Hands a request over to another upstream.
//!
//! The other one may refuse the request, and the present one may go on. So the connection to the
//! present one stays open until the other has taken the request; for a stream, no longer than two
//! upstreams may have it.

use std::time::{Duration, Instant};

use egretgate_core::gateway::upstream::Outcome;
use futures::future::BoxFuture;
use slog::info;
use tokio::time::{sleep, sleep_until};

use super::Exchange;
use crate::attempt::Attempt;
use crate::connect::Connection;
use crate::dispatcher::SlotPermit;

/// Interval at which a request whose upstream is silent asks for another one.
const ASK_INTERVAL: Duration = Duration::from_millis(500);
/// Longest time for which two upstreams may have the same stream; the platform allows 400 ms.
const MAX_OVERLAP: Duration = Duration::from_millis(300);

/// What an upstream sends next, or how its connection ends. Dropping it closes the connection.
pub(crate) type NextSent<T> = BoxFuture<'static, T>;

/// How a request whose upstream was silent goes on.
pub(crate) enum AfterSilence<T> {
    /// Its upstream has sent something.
    WentOn(T),
    /// Another upstream was asked instead, with this result; the outcome is that of the silent one.
    Left(Attempt, Outcome),
}

/// How a handover ended.
pub(crate) enum Handover<T> {
    /// The present upstream went on before the other one took the request.
    Overtaken(T),
    /// The other upstream didn't take the request, and the present one is still there.
    Refused(NextSent<T>),
    /// The present upstream was left or broke off; the attempt is that at the other one, the outcome
    /// that of the present one.
    Done(Attempt, Outcome),
}

/// The upstream that a request may leave.
#[derive(Debug, Clone, Copy)]
pub(crate) enum PresentUpstream<T> {
    /// It was silent: whichever upstream goes on first keeps the request. The function tells whether
    /// it goes on with what it sends, or breaks off.
    Silent(fn(&T) -> bool),
    /// It works, but the other one is preferred.
    Slower,
}

impl Exchange {
    /// Waits for what a silent upstream sends next, and looks for another upstream meanwhile.
    /// `goes_on` tells whether the silent one goes on with what it sends, or breaks off.
    pub(crate) async fn await_silent<T>(
        &mut self,
        since: Instant,
        mut next: NextSent<T>,
        goes_on: fn(&T) -> bool,
    ) -> AfterSilence<T> {
        let silent = self.upstream.clone();
        self.avoid.push(silent.clone());
        let mut asked = 0_u32;
        let result = loop {
            if !self.may_retry() {
                break AfterSilence::WentOn(next.await);
            }
            asked += 1;
            let admitted = tokio::select! {
                biased;
                sent = &mut next => break AfterSilence::WentOn(sent),
                admitted = self.request_slot() => admitted,
            };
            let Ok(permit) = admitted else {
                tokio::select! {
                    biased;
                    sent = &mut next => break AfterSilence::WentOn(sent),
                    () = sleep(ASK_INTERVAL) => continue,
                }
            };
            match self.hand_over(permit, next, PresentUpstream::Silent(goes_on)).await {
                Handover::Overtaken(sent) => break AfterSilence::WentOn(sent),
                Handover::Refused(still) => next = still,
                Handover::Done(attempt, outcome) => break AfterSilence::Left(attempt, outcome),
            }
        };
        info!(self.context.log, "upstream was silent";
            "id" => &self.request.head.id,
            "upstream" => silent,
            "silent_ms" => since.elapsed().as_millis() as u64,
            "asked" => asked,
            "outcome" => if matches!(result, AfterSilence::WentOn(_)) { "went_on" } else { "left" },
            "now_at" => &self.upstream);
        result
    }

    /// Sends the request to the upstream of `permit` while the connection of `next` is kept.
    pub(crate) async fn hand_over<T>(
        &mut self,
        mut permit: SlotPermit,
        mut next: NextSent<T>,
        present: PresentUpstream<T>,
    ) -> Handover<T> {
        // Connecting may take longer than the upstreams may overlap.
        if permit.idle.is_none() {
            let Ok(open) = Connection::open(permit.address).await else {
                self.avoid.push(permit.id.clone());
                self.log_unreachable(&permit);
                permit.finish(Outcome::Unreachable, None);
                return Handover::Refused(next);
            };
            permit.idle = Some(open);
        }
        let present_id = std::mem::replace(&mut self.upstream, permit.id.clone());
        let overlap_end = if self.plan.route.kind.is_stream() {
            Instant::now() + MAX_OVERLAP
        } else {
            self.deadline()
        };
        let mut other = self.attempt_boxed(permit);
        let attempt = tokio::select! {
            biased;
            sent = &mut next, if matches!(present, PresentUpstream::Silent(_)) => {
                if matches!(present, PresentUpstream::Silent(goes_on) if goes_on(&sent)) {
                    drop(other);
                    self.may_have_run = true;
                    self.upstream = present_id;
                    return Handover::Overtaken(sent);
                }
                drop(sent);
                let attempt = other.await;
                self.may_have_run = true;
                return Handover::Done(attempt, Outcome::InvalidAnswer);
            }
            attempt = &mut other => Some(attempt),
            () = sleep_until(overlap_end.into()) => None,
        };
        let attempt = match (attempt, present) {
            (Some(attempt), _) => attempt,
            (None, PresentUpstream::Silent(_)) => {
                drop(next);
                let attempt = other.await;
                self.may_have_run = true;
                return Handover::Done(attempt, Outcome::Stalled);
            }
            // The present upstream works, so the other one is left.
            (None, PresentUpstream::Slower) => Attempt::Unknown,
        };
        drop(other);
        self.may_have_run |= !matches!(attempt, Attempt::NotRun | Attempt::NotSent);
        let is_taken = match &attempt {
            Attempt::Answer(_, status) => status.is_success() || !self.head_sent,
            Attempt::Failure(_) => !self.head_sent,
            Attempt::NotRun | Attempt::NotSent | Attempt::Unknown => false,
        };
        if is_taken {
            return Handover::Done(attempt, Outcome::Stalled);
        }
        self.log_attempt(&attempt);
        self.avoid.push(std::mem::replace(&mut self.upstream, present_id));
        Handover::Refused(next)
    }

    fn attempt_boxed(&mut self, permit: SlotPermit) -> BoxFuture<'_, Attempt> {
        Box::pin(self.attempt(permit))
    }

    /// Logs that a handover found its upstream unreachable.
    fn log_unreachable(&self, permit: &SlotPermit) {
        metrics::counter!("egretgate_attempts_failed_total", "outcome" => "unreachable")
            .increment(1);
        info!(self.context.log, "handover failed";
            "id" => &self.request.head.id,
            "from" => &self.upstream,
            "to" => &permit.id,
            "outcome" => "unreachable");
    }
}
