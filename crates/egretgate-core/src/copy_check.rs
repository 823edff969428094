//! Checks, before a suspect starts, that none of the upstreams runs an equal request of another
//! entry.
//!
//! An entry knows the copies that it sent itself; see [`crate::running_copies`]. Only the upstreams
//! know those of all entries, so each is asked. One that doesn't answer may run a copy.

use std::collections::HashSet;
use std::hash::Hash;
use std::time::{Duration, Instant};

use crate::Digest;

/// Time for which the answers of upstreams are awaited.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(500);

/// A check that has ended.
#[derive(Debug, PartialEq, Eq)]
pub struct CheckResult<R> {
    /// Digest of the suspect.
    pub digest: Digest,
    /// Who began the check.
    pub requester: R,
    /// True if no upstream runs a copy.
    pub is_clear: bool,
}

#[derive(Debug)]
struct CopyCheck<K, R> {
    digest: Digest,
    requester: R,
    /// Upstreams that have not answered.
    unanswered: HashSet<K>,
    deadline: Instant,
}

/// The checks that have not ended; `K` identifies an upstream and `R` who began the check.
#[derive(Debug)]
pub struct CopyChecks<K, R> {
    checks: Vec<CopyCheck<K, R>>,
}

impl<K: Copy + Eq + Hash, R> CopyChecks<K, R> {
    /// Begins a check for which the upstreams `asked` have been asked; it ends at once if there are
    /// none.
    pub fn begin(
        &mut self,
        digest: Digest,
        asked: impl IntoIterator<Item = K>,
        requester: R,
        now: Instant,
    ) -> Option<CheckResult<R>> {
        let unanswered: HashSet<K> = asked.into_iter().collect();
        if unanswered.is_empty() {
            return Some(CheckResult { digest, requester, is_clear: true });
        }
        let deadline = now + ANSWER_TIMEOUT;
        self.checks.push(CopyCheck { digest, requester, unanswered, deadline });
        None
    }

    /// Records whether an upstream runs a copy, and returns the checks that end by that.
    pub fn record_answer(
        &mut self,
        upstream: K,
        digest: Digest,
        is_running: bool,
    ) -> Vec<CheckResult<R>> {
        self.end_checks(|check| {
            if check.digest != digest || !check.unanswered.remove(&upstream) {
                return None;
            }
            if is_running { Some(false) } else { check.unanswered.is_empty().then_some(true) }
        })
    }

    /// Stops waiting for an upstream that can't be reached any more, and returns the checks that
    /// end by that.
    pub fn remove_upstream(&mut self, upstream: K) -> Vec<CheckResult<R>> {
        self.end_checks(|check| {
            let was_awaited = check.unanswered.remove(&upstream);
            (was_awaited && check.unanswered.is_empty()).then_some(true)
        })
    }

    /// Returns the checks for which an answer is overdue; they are not clear.
    pub fn expire(&mut self, now: Instant) -> Vec<CheckResult<R>> {
        self.end_checks(|check| (now >= check.deadline).then_some(false))
    }

    /// Removes the checks for which `verdict` returns whether they are clear.
    fn end_checks(
        &mut self,
        mut verdict: impl FnMut(&mut CopyCheck<K, R>) -> Option<bool>,
    ) -> Vec<CheckResult<R>> {
        let (mut ended, mut open) = (Vec::new(), Vec::with_capacity(self.checks.len()));
        for mut check in std::mem::take(&mut self.checks) {
            match verdict(&mut check) {
                Some(is_clear) => {
                    let CopyCheck { digest, requester, .. } = check;
                    ended.push(CheckResult { digest, requester, is_clear });
                }
                None => open.push(check),
            }
        }
        self.checks = open;
        ended
    }
}

impl<K, R> Default for CopyChecks<K, R> {
    fn default() -> Self {
        Self { checks: Vec::new() }
    }
}
