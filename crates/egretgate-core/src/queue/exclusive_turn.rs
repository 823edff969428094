//! Exclusive turn of a suspect, which can start only when nothing else runs.

use std::time::{Duration, Instant};

/// Length up to which spans double.
const MAX_SPAN: Duration = Duration::from_secs(30);

/// Decides when starts are held back so that the upstream becomes idle for a suspect.
///
/// From the suspect's first missed turn, spans in which other work may start alternate with spans
/// in which nothing of its tier or a lower one starts. Both double in length each time up to
/// [`MAX_SPAN`], so a span without starts eventually outlasts the running requests, while other
/// work is held back for at most half of the time. Work of more urgent tiers is never held back.
#[derive(Debug, Clone)]
pub(super) struct ExclusiveTurn {
    /// Length of the first span.
    first_span: Duration,
    /// Time of the first missed turn; `None` if no suspect has missed one.
    missed_at: Option<Instant>,
    /// True if the last start was a suspect's, so that other work of its tier goes first now.
    others_first: bool,
}

impl ExclusiveTurn {
    pub(super) fn new(suspect_delay: Duration) -> Self {
        Self {
            first_span: suspect_delay.max(Duration::from_millis(1)),
            missed_at: None,
            others_first: false,
        }
    }

    /// Returns true if a suspect of tier `suspect` starts before other work of tier `other` on an
    /// idle upstream.
    pub(super) fn goes_first(&self, suspect: usize, other: Option<usize>) -> bool {
        other.is_none_or(|other| suspect < other || (suspect == other && !self.others_first))
    }

    /// Records that a suspect could not start because other work was running.
    pub(super) fn record_missed(&mut self, now: Instant) {
        self.missed_at.get_or_insert(now);
    }

    /// Records the start of a suspect.
    pub(super) fn record_suspect_start(&mut self) {
        self.missed_at = None;
        self.others_first = true;
    }

    /// Records the start of other work.
    pub(super) fn record_regular_start(&mut self) {
        self.others_first = false;
    }

    /// Resets the turn when no suspect is queued.
    pub(super) fn clear(&mut self) {
        self.missed_at = None;
    }

    /// Returns true if nothing of the suspect's tier or a lower one may start.
    pub(super) fn blocks_starts(&self, now: Instant) -> bool {
        self.current_span(now).is_some_and(|(blocked, _)| blocked)
    }

    /// Returns the end of the current span.
    pub(super) fn span_end(&self, now: Instant) -> Option<Instant> {
        self.current_span(now).map(|(_, end)| end)
    }

    /// Returns whether the current span blocks starts, and its end; `None` if no turn was missed.
    fn current_span(&self, now: Instant) -> Option<(bool, Instant)> {
        let mut end = self.missed_at?;
        let mut length = self.first_span;
        loop {
            for blocked in [false, true] {
                end += length;
                if now < end {
                    return Some((blocked, end));
                }
            }
            length = (length * 2).min(MAX_SPAN.max(length));
        }
    }
}
