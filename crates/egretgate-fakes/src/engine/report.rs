//! The reports of the engine: its load with a lag, and cache events with a delay and gaps.

use std::collections::VecDeque;
use std::time::Duration;

use rand::RngExt;
use rand_chacha::ChaCha8Rng;
use serde::Serialize;
use tokio::time::Instant;

use super::cache::{CacheChange, CacheKind};
use super::spec::EngineSpec;

/// Number of newest cache events kept.
const MAX_EVENTS: usize = 65_536;

/// Load at one point in time.
#[derive(Debug, Clone, Copy, Default, Serialize)]
pub(crate) struct Load {
    pub(crate) running: usize,
    pub(crate) waiting: usize,
    pub(crate) waiting_tokens: usize,
}

/// A cache event.
#[derive(Debug, Clone, Copy, Serialize)]
pub(crate) struct Event {
    /// Sequence number; a lost event leaves a gap.
    sequence: u64,
    kind: CacheKind,
    block: u64,
    /// Time from which the event is published.
    #[serde(skip)]
    due: Option<Instant>,
}

/// Answer to a request for events.
#[derive(Debug, Serialize)]
pub(crate) struct Events {
    /// Sequence number after the newest published event.
    head: u64,
    events: Vec<Event>,
}

/// Recorded loads and events, oldest first.
#[derive(Debug, Default)]
pub(crate) struct Reports {
    loads: VecDeque<(Instant, Load)>,
    events: VecDeque<Event>,
    next_event: u64,
}

impl Reports {
    /// Records the current load and drops loads that will not be reported again.
    pub(crate) fn record_load(&mut self, load: Load, lag: Duration) {
        let now = Instant::now();
        self.loads.push_back((now, load));
        while self.loads.get(1).is_some_and(|(at, _)| *at + lag <= now) {
            self.loads.pop_front();
        }
    }

    /// Returns the newest load recorded at least `lag` ago, or zero if there is none.
    pub(crate) fn reported_load(&self, lag: Duration) -> Load {
        let now = Instant::now();
        let old = self.loads.iter().rev().find(|(at, _)| *at + lag <= now);
        old.map(|(_, load)| *load).unwrap_or_default()
    }

    /// Records cache changes as events, of which a random fraction `event_gaps` is lost.
    pub(crate) fn record_changes(
        &mut self,
        changes: Vec<CacheChange>,
        spec: &EngineSpec,
        rng: &mut ChaCha8Rng,
    ) {
        for CacheChange { kind, block } in changes {
            let sequence = self.next_event;
            self.next_event += 1;
            if spec.event_gaps > 0.0 && rng.random_bool(spec.event_gaps) {
                continue;
            }
            let due = Some(Instant::now() + spec.event_lag);
            self.events.push_back(Event { sequence, kind, block, due });
            if self.events.len() > MAX_EVENTS {
                self.events.pop_front();
            }
        }
    }

    /// Returns the published events with sequence numbers from `from` on.
    pub(crate) fn events(&self, from: u64) -> Events {
        let now = Some(Instant::now());
        let due = self.events.iter().take_while(|event| event.due <= now);
        let head = due.clone().last().map_or(0, |event| event.sequence + 1);
        Events { head, events: due.filter(|event| event.sequence >= from).copied().collect() }
    }
}
