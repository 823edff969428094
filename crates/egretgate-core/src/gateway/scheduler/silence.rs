//! Whether upstreams have crashed under requests that they never answered.

use std::time::Instant;

use super::Scheduler;
use crate::gateway::admission::{BrokenRun, Completion, UpstreamKey};
use crate::gateway::silent_runs::{CrashSign, SilentCrash};
use crate::gateway::upstream::Outcome;

impl Scheduler {
    /// Records that a run ended without an answer. Returns false if nothing can be learned of it.
    pub(super) fn record_silence(
        &mut self,
        completion: &Completion,
        key: UpstreamKey,
        now: Instant,
    ) -> bool {
        let Some(upstream) = self.upstream_mut(key).filter(|upstream| !upstream.is_leaving())
        else {
            return false;
        };
        let alive = upstream.last_answer().max(Some(completion.started));
        let listed = upstream.listed.clone();
        let run = BrokenRun {
            upstream: listed.id.clone(),
            digest: completion.digest,
            parts: completion.parts.clone(),
            wrote: completion.wrote,
            at: alive.unwrap_or(now),
        };
        if let Some(run) = self.silent_runs.insert(listed, run, now) {
            self.end_trial(run.digest, now);
        }
        true
    }

    /// Records that an upstream answered: it has not crashed under runs that ended before.
    pub(super) fn record_life(&mut self, completion: &Completion, key: UpstreamKey, now: Instant) {
        let answered = matches!(
            completion.outcome,
            Outcome::Succeeded { .. } | Outcome::Failed | Outcome::Rejected
        );
        if !answered || self.silent_runs.is_empty() {
            return;
        }
        let upstream = self.upstreams.get(key).or_else(|| self.departed.get(key));
        let Some(listed) = upstream.map(|upstream| &upstream.listed) else { return };
        for run in self.silent_runs.record_answer(listed, completion.started) {
            self.end_trial(run.digest, now);
        }
    }

    /// Records that an upstream was found down: it has also crashed under its silent runs.
    pub(super) fn record_down(&mut self, broken: &BrokenRun, now: Instant) {
        for run in self.silent_runs.record_down(&broken.upstream) {
            self.record_silent_crash(&BrokenRun { at: broken.at, ..run }, CrashSign::Down, now);
        }
    }

    /// Finds which upstreams have crashed under silent runs, by the list of upstreams.
    pub fn judge_silence(&mut self, now: Instant) {
        if !self.silent_runs.is_due(now) {
            return;
        }
        let listed = self.upstreams.values().map(|upstream| &upstream.listed);
        let (crashed, undecided) = self.silent_runs.compare(listed, now);
        for (run, sign) in crashed {
            self.record_silent_crash(&run, sign, now);
        }
        for run in undecided {
            self.end_trial(run.digest, now);
        }
    }

    /// Returns the silent runs whose upstreams were found to have crashed since the last call.
    pub fn take_silent_crashes(&mut self) -> Vec<SilentCrash> {
        std::mem::take(&mut self.silent_crashes)
    }

    fn record_silent_crash(&mut self, run: &BrokenRun, sign: CrashSign, now: Instant) {
        self.silent_crashes.push(SilentCrash {
            upstream: run.upstream.clone(),
            digest: run.digest,
            sign,
            age: now.saturating_duration_since(run.at),
        });
        self.count_crash(run, now);
    }
}
