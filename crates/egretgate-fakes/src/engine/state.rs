//! What the driver, the HTTP handlers and the handle share.

use std::collections::HashMap;
use std::sync::{Mutex, MutexGuard};
use std::time::Duration;

use egretgate_core::Digest;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use serde::Deserialize;
use tokio::sync::mpsc;
use tokio::time::Instant;

use super::batch::{EndedRequest, Sequence};
use super::cache::CacheChange;
use super::report::Reports;
use super::spec::{EngineSpec, VersionFaults};
use crate::server::Control;

/// Numbers counted by an engine.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct EngineCounts {
    /// Requests admitted.
    pub executions: u64,
    /// Requests answered in whole.
    pub finished: u64,
    /// Requests that left the batch unfinished: cancelled, cut, abandoned or lost in a crash.
    pub unfinished: u64,
    /// Tokens generated.
    pub tokens: u64,
    /// Prompt tokens processed.
    pub prefill: u64,
    /// Prompt tokens processed for requests that were left unfinished.
    pub wasted: u64,
    /// Crashes.
    pub deaths: u64,
    /// Requests cut because their version was unloaded.
    pub unloaded: u64,
    /// Largest batch.
    pub peak_batch: u64,
}

/// An order carried out by an engine.
#[derive(Debug, Clone, PartialEq, Eq, Deserialize)]
pub struct Order {
    /// Fencing number.
    pub fence: u64,
    /// `load` or `unload`.
    pub action: String,
    /// Name of the version.
    pub version: String,
}

/// A command to the driver.
#[derive(Debug)]
pub(crate) enum Command {
    Admit(Sequence),
    Cancel(String),
    Unload(String),
    Crash,
}

#[derive(Debug)]
pub(crate) struct State {
    /// Time until which the engine is down.
    pub(crate) down_until: Option<Instant>,
    pub(crate) counts: EngineCounts,
    pub(crate) id_counts: HashMap<String, u64>,
    pub(crate) digest_counts: HashMap<Digest, u64>,
    pub(crate) version_counts: HashMap<String, u64>,
    pub(crate) orders: Vec<Order>,
    pub(crate) versions: Vec<String>,
    pub(crate) poison_marker: Option<String>,
    pub(crate) step_factor: f64,
    pub(crate) faults: HashMap<String, VersionFaults>,
    pub(crate) cut_streams: u64,
    pub(crate) cut_tokens: usize,
    /// Requests in the batch, as of the last step.
    pub(crate) batch_len: usize,
    pub(crate) rng: ChaCha8Rng,
    pub(crate) reports: Reports,
}

/// What an admitted request is subject to.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(crate) struct InjectedFaults {
    pub(crate) error: bool,
    pub(crate) cut_after: usize,
    pub(crate) steps_per_token: f64,
    pub(crate) poison: bool,
}

#[derive(Debug)]
pub(crate) struct Shared {
    pub(crate) spec: EngineSpec,
    pub(crate) commands: mpsc::UnboundedSender<Command>,
    pub(crate) control: Control,
    state: Mutex<State>,
}

impl Shared {
    pub(crate) fn new(
        spec: EngineSpec,
        commands: mpsc::UnboundedSender<Command>,
        control: Control,
    ) -> Self {
        let state = Mutex::new(State::new(&spec));
        Self { spec, commands, control, state }
    }

    pub(crate) fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().expect("no task panics while it holds the engine")
    }

    /// Crashes the engine and refuses connections for `down`.
    pub(crate) fn crash(&self, down: Duration) {
        let mut state = self.state();
        state.counts.deaths += 1;
        state.down_until = Some(Instant::now() + down);
        drop(state);
        self.control.crash(down);
        let _ = self.commands.send(Command::Crash);
    }
}

impl State {
    fn new(spec: &EngineSpec) -> Self {
        Self {
            counts: EngineCounts::default(),
            down_until: None,
            id_counts: HashMap::new(),
            digest_counts: HashMap::new(),
            version_counts: HashMap::new(),
            orders: Vec::new(),
            versions: vec![spec.version.to_string()],
            poison_marker: None,
            step_factor: 1.0,
            faults: HashMap::new(),
            cut_streams: 0,
            cut_tokens: 0,
            batch_len: 0,
            rng: ChaCha8Rng::seed_from_u64(spec.seed),
            reports: Reports::default(),
        }
    }

    /// Counts an execution and decides what becomes of it.
    pub(crate) fn execute(
        &mut self,
        id: &str,
        version: &str,
        body: &[u8],
        tokens: usize,
    ) -> InjectedFaults {
        self.counts.executions += 1;
        *self.id_counts.entry(id.to_owned()).or_default() += 1;
        *self.digest_counts.entry(Digest::of(&[body])).or_default() += 1;
        let executions = self.version_counts.entry(version.to_owned()).or_default();
        *executions += 1;
        let text = String::from_utf8_lossy(body);
        let poison = self.poison_marker.as_ref().is_some_and(|marker| text.contains(marker));
        let mut injected =
            InjectedFaults { error: false, cut_after: usize::MAX, steps_per_token: 1.0, poison };
        if self.cut_streams > 0 {
            self.cut_streams -= 1;
            injected.cut_after = self.cut_tokens;
        }
        let Some(faults) = self.faults.get(version) else {
            return injected;
        };
        if *executions <= faults.after
            || self.batch_len < faults.above
            || !text.contains(faults.marker.as_ref())
        {
            return injected;
        }
        injected.steps_per_token = faults.slow.max(1.0);
        injected.error = self.rng.random_bool(faults.errors);
        if self.rng.random_bool(faults.cuts) {
            injected.cut_after = tokens / 2;
        }
        injected
    }

    pub(crate) fn record_changes(&mut self, changes: Vec<CacheChange>, spec: &EngineSpec) {
        self.reports.record_changes(changes, spec, &mut self.rng);
    }

    /// Returns the version that runs a request, if it is held.
    pub(crate) fn choose_version(&self, wanted: &str) -> Option<String> {
        let mut versions = self.versions.iter();
        let chosen = if wanted.is_empty() {
            versions.next()
        } else {
            versions.find(|version| *version == wanted)
        };
        chosen.cloned()
    }

    pub(crate) fn count_ended(&mut self, ended: &[EndedRequest]) {
        for request in ended {
            if request.complete {
                self.counts.finished += 1;
            } else {
                self.counts.unfinished += 1;
                self.counts.wasted += request.prefilled;
            }
        }
    }
}
