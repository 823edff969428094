//! The era of the directory, shared by the tasks that read it and the one that hears other entries.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::Instant;

use egretgate_core::gateway::era::{Era, EraTracker, EraVerdict, StatedEra};
use egretgate_core::gateway::follow::Reading;
use slog::{Logger, info, warn};
use tokio::sync::watch;

use crate::directory::{DirectoryError, Result};

/// The era in force, with the log of its changes.
#[derive(Debug)]
pub(crate) struct Eras {
    state: Mutex<State>,
    current: watch::Sender<Option<Era>>,
    log: Logger,
}

#[derive(Debug, Default)]
struct State {
    tracker: EraTracker,
    /// Calls whose last answer stated no era, with what it stated instead.
    unstated: HashMap<&'static str, StatedEra>,
}

impl Eras {
    /// Returns the state before the first answer.
    pub(crate) fn new(log: Logger) -> Self {
        Self { state: Mutex::default(), current: watch::Sender::new(None), log }
    }

    /// Returns the era in force.
    pub(crate) fn era(&self) -> Option<Era> {
        *self.current.borrow()
    }

    /// Returns a receiver of the era in force.
    pub(crate) fn subscribe(&self) -> watch::Receiver<Option<Era>> {
        self.current.subscribe()
    }

    /// Records what an answer states and returns the era that it belongs to; an error if it belongs
    /// to an older copy and must not be used.
    pub(crate) fn record_answer(
        &self,
        call: &'static str,
        stated: StatedEra,
    ) -> Result<Option<Era>> {
        let mut state = self.lock();
        let is_new = match stated {
            StatedEra::Number(_) => {
                state.unstated.remove(call);
                false
            }
            _ => state.unstated.insert(call, stated) != Some(stated),
        };
        if is_new {
            warn!(self.log, "directory states no era"; "call" => call, "stated" => ?stated,
                "era" => state.tracker.era());
        }
        let verdict = state.tracker.record_answer(stated, Instant::now());
        self.publish(verdict, call);
        match verdict {
            EraVerdict::Outdated { stated, era } => {
                Err(DirectoryError(format!("answer of era {stated}, in force is {era}")))
            }
            EraVerdict::Current | EraVerdict::Begins { .. } => Ok(state.tracker.era()),
        }
    }

    /// Records the era of another entry's reading; returns false if the reading must not be used.
    pub(crate) fn record_peer(&self, from: SocketAddr, reading: &Reading, now: Instant) -> bool {
        let Some(era) = reading.era else { return true };
        let mut state = self.lock();
        let verdict = state.tracker.record_peer(era, reading.read_at, now);
        self.publish(verdict, &from.to_string());
        if let EraVerdict::Outdated { stated, era } = verdict {
            slog::debug!(self.log, "outdated reading"; "from" => %from, "stated" => stated,
                "era" => era);
            return false;
        }
        true
    }

    /// Publishes the beginning of an era. Called under the lock, so that eras stay in order.
    fn publish(&self, verdict: EraVerdict, told_by: &str) {
        let EraVerdict::Begins { before, era } = verdict else { return };
        info!(self.log, "era of the directory"; "era" => era, "before" => before,
            "told_by" => told_by);
        metrics::gauge!("egretgate_directory_era").set(era as f64);
        self.current.send_replace(Some(era));
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        // The state is whole between any two of its statements.
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
