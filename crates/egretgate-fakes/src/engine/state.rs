//! State shared by the driver, the HTTP handlers and the handle.

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

/// Counters of an engine.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct EngineCounts {
    /// Requests admitted.
    pub executions: u64,
    /// Requests whose answer was generated completely.
    pub finished: u64,
    /// Requests that left the batch before their answer was complete: cancelled, cut by a fault,
    /// unloaded, disconnected by the caller or dropped in a crash.
    pub unfinished: u64,
    /// Tokens generated.
    pub tokens: u64,
    /// Prompt tokens processed.
    pub prefill: u64,
    /// Prompt tokens processed for unfinished requests.
    pub wasted: u64,
    /// Crashes.
    pub deaths: u64,
    /// Requests ended because their version was unloaded.
    pub unloaded: u64,
    /// Largest size of the batch, in requests.
    pub peak_batch: u64,
}

/// An order to load or unload a version.
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
    /// End of the downtime after the last crash.
    pub(crate) down_until: Option<Instant>,
    pub(crate) counts: EngineCounts,
    /// Executions by request id.
    pub(crate) id_counts: HashMap<String, u64>,
    /// Executions by digest of the body.
    pub(crate) digest_counts: HashMap<Digest, u64>,
    /// Executions by version.
    pub(crate) version_counts: HashMap<String, u64>,
    /// Orders applied, oldest first.
    pub(crate) orders: Vec<Order>,
    /// Loaded versions, in order of loading.
    pub(crate) versions: Vec<String>,
    pub(crate) poison_marker: Option<String>,
    /// Factor by which the time of every step is multiplied.
    pub(crate) step_factor: f64,
    pub(crate) faults: HashMap<String, VersionFaults>,
    /// Number of requests still to be cut, each after `cut_tokens` tokens.
    pub(crate) cut_streams: u64,
    pub(crate) cut_tokens: usize,
    /// Requests in the batch, as last recorded by the driver.
    pub(crate) batch_len: usize,
    pub(crate) rng: ChaCha8Rng,
    pub(crate) reports: Reports,
}

/// Faults injected into one request.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(crate) struct InjectedFaults {
    /// True if the request is answered with status 500.
    pub(crate) error: bool,
    /// Number of tokens after which the connection is closed.
    pub(crate) cut_after: usize,
    pub(crate) steps_per_token: f64,
    /// True if the engine crashes once the prefill is complete.
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
        self.state.lock().expect("no task panics while it holds the lock")
    }

    /// Crashes the engine and refuses connections for `down`. The driver clears the batch and the
    /// cache.
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

    /// Counts an execution and returns the faults to inject into it.
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

    /// Returns the version `wanted` if it is loaded; the version loaded first if `wanted` is empty.
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
