//! The turn of a suspect, which starts only when nothing runs.

use std::time::{Duration, Instant};

/// Longest span.
const MAX_SPAN: Duration = Duration::from_secs(30);

/// Decides when starts are held back so that the upstream becomes idle for a suspect.
///
/// From the suspect's first missed turn, spans in which others pass alternate with spans in which
/// nothing of its tier or below starts. Both double in length each time up to [`MAX_SPAN`], so the
/// hold in the end outlasts what runs, while others are held back for no more than half of the
/// time. More urgent work is never held back.
#[derive(Debug, Clone)]
pub(super) struct ExclusiveTurn {
    /// Length of the first span.
    first_span: Duration,
    /// Time of the first missed turn; `None` while no suspect has missed one.
    missed_at: Option<Instant>,
    /// True if the last start was a suspect's, so that others of its tier go first now.
    yields: bool,
}

impl ExclusiveTurn {
    pub(super) fn new(patience: Duration) -> Self {
        Self { first_span: patience.max(Duration::from_millis(1)), missed_at: None, yields: false }
    }

    /// Returns true if a suspect of tier `suspect` starts before other work of tier `other`, on an
    /// idle upstream.
    pub(super) fn goes_first(&self, suspect: usize, other: Option<usize>) -> bool {
        other.is_none_or(|other| suspect < other || (suspect == other && !self.yields))
    }

    /// Notes a missed turn.
    pub(super) fn record_missed(&mut self, now: Instant) {
        self.missed_at.get_or_insert(now);
    }

    /// Notes the start of a suspect.
    pub(super) fn record_suspect_start(&mut self) {
        self.missed_at = None;
        self.yields = true;
    }

    /// Notes the start of other work.
    pub(super) fn record_regular_start(&mut self) {
        self.yields = false;
    }

    /// Forgets the turn, as no suspect waits.
    pub(super) fn clear(&mut self) {
        self.missed_at = None;
    }

    /// Returns true if nothing of the suspect's tier or below may start.
    pub(super) fn blocks_starts(&self, now: Instant) -> bool {
        self.current_span(now).is_some_and(|(closed, _)| closed)
    }

    /// Returns the end of the present span.
    pub(super) fn span_end(&self, now: Instant) -> Option<Instant> {
        self.current_span(now).map(|(_, end)| end)
    }

    fn current_span(&self, now: Instant) -> Option<(bool, Instant)> {
        let mut end = self.missed_at?;
        let mut length = self.first_span;
        loop {
            for closed in [false, true] {
                end += length;
                if now < end {
                    return Some((closed, end));
                }
            }
            length = (length * 2).min(MAX_SPAN.max(length));
        }
    }
}
