//! Hands a request over to another upstream. The present one is left only once the other has taken
//! the request, since another may refuse it and the present one may go on.

use std::time::{Duration, Instant};

use futures::future::BoxFuture;
use slog::info;
use tokio::time::{sleep, sleep_until};

use super::Exchange;
use crate::attempt::Attempt;
use crate::dispatcher::SlotPermit;

/// Interval at which a request whose upstream is silent asks for another one.
const ASK_INTERVAL: Duration = Duration::from_millis(500);
/// Longest time for which two upstreams may have the same stream; refusals come sooner.
const MAX_OVERLAP: Duration = Duration::from_millis(200);

/// What an upstream sends next. Dropping it closes the connection.
pub(crate) type NextSent<T> = BoxFuture<'static, T>;

/// How a request whose upstream was silent goes on.
pub(crate) enum AfterSilence<T> {
    /// Its upstream has sent something.
    WentOn(T),
    /// Another upstream was asked instead, with this result.
    Left(Attempt),
}

/// How a handover ended.
pub(crate) enum Handover<T> {
    /// The present upstream sent something before the other one took the request.
    Overtaken(T),
    /// The other upstream didn't take the request, and the present one is still there.
    Refused(NextSent<T>),
    /// The connection to the present upstream was closed; the result is that of the other one.
    Done(Attempt),
}

/// Whether something that the present upstream sends ends a handover.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum PresentUpstream {
    /// It was silent: whichever upstream sends something first goes on.
    Silent,
    /// It works, but the other one is preferred.
    Slower,
}

impl Exchange {
    /// Waits for what a silent upstream sends next, and looks for another upstream meanwhile.
    pub(crate) async fn await_silent<T>(
        &mut self,
        since: Instant,
        mut next: NextSent<T>,
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
            match self.hand_over(permit, next, PresentUpstream::Silent).await {
                Handover::Overtaken(sent) => break AfterSilence::WentOn(sent),
                Handover::Refused(still) => next = still,
                Handover::Done(attempt) => break AfterSilence::Left(attempt),
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

    /// Sends the request to the upstream of `permit` while `next` of the present one is kept.
    pub(crate) async fn hand_over<T>(
        &mut self,
        permit: SlotPermit,
        mut next: NextSent<T>,
        present: PresentUpstream,
    ) -> Handover<T> {
        let present_id = std::mem::replace(&mut self.upstream, permit.id.clone());
        let overlap_end = if self.plan.route.kind.is_stream() {
            Instant::now() + MAX_OVERLAP
        } else {
            self.deadline()
        };
        let mut other = self.attempt_boxed(permit);
        let attempt = tokio::select! {
            biased;
            sent = &mut next, if present == PresentUpstream::Silent => {
                drop(other);
                self.may_have_run = true;
                self.upstream = present_id;
                return Handover::Overtaken(sent);
            }
            attempt = &mut other => attempt,
            () = sleep_until(overlap_end.into()) => {
                drop(next);
                let attempt = other.await;
                self.may_have_run = true;
                return Handover::Done(attempt);
            }
        };
        drop(other);
        self.may_have_run |= !matches!(attempt, Attempt::NotRun | Attempt::NotSent);
        if matches!(&attempt, Attempt::Answer(_, status) if status.is_success()) {
            return Handover::Done(attempt);
        }
        self.log_attempt(&attempt);
        self.avoid.push(std::mem::replace(&mut self.upstream, present_id));
        Handover::Refused(next)
    }

    fn attempt_boxed(&mut self, permit: SlotPermit) -> BoxFuture<'_, Attempt> {
        Box::pin(self.attempt(permit))
    }
}
