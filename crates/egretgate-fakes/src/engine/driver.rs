//! The task that owns the batch and the cache.

use std::sync::Arc;
use std::time::Duration;

use tokio::sync::mpsc;
use tokio::time::Instant;

use super::batch::{Batch, Sequence};
use super::cache::Cache;
use super::report::Load;
use super::state::{Command, Shared};
use crate::server::wait_until;

/// How far the engine may fall behind its own pace before it skips time.
const MAX_BEHIND: Duration = Duration::from_millis(50);

struct Driver {
    shared: Arc<Shared>,
    batch: Batch,
    cache: Cache,
}

/// Runs the engine until its handle is dropped.
pub(crate) async fn run(shared: Arc<Shared>, mut commands: mpsc::UnboundedReceiver<Command>) {
    let cache = Cache::new(shared.spec.cache_blocks);
    let mut driver = Driver { shared, batch: Batch::default(), cache };
    let mut due = Instant::now();
    loop {
        if driver.batch.is_empty() {
            let Some(command) = commands.recv().await else {
                return;
            };
            driver.take(command);
            due = Instant::now();
        }
        while let Ok(command) = commands.try_recv() {
            driver.take(command);
        }
        due = driver.step(due).await;
    }
}

impl Driver {
    fn take(&mut self, command: Command) {
        match command {
            Command::Admit(sequence) => self.admit(sequence),
            Command::Cancel(id) => {
                let ended = self.batch.remove(|sequence| sequence.id == id);
                self.shared.state().note_ended(&ended);
            }
            Command::Unload(version) => {
                let ended = self.batch.remove(|sequence| sequence.version == version);
                let mut state = self.shared.state();
                state.counts.unloaded += ended.len() as u64;
                state.note_ended(&ended);
            }
            Command::Crash => self.clear(),
        }
        self.note_load();
    }

    /// Takes a request in. One that reached the engine while it died is dropped with its connection.
    fn admit(&mut self, mut sequence: Sequence) {
        if self.shared.state().dead.is_some_and(|dead| Instant::now() < dead) {
            return;
        }
        sequence.set_cached(self.cache.find(&sequence.blocks));
        self.batch.push(sequence);
        let mut state = self.shared.state();
        state.counts.peak = state.counts.peak.max(self.batch.len() as u64);
    }

    fn clear(&mut self) {
        self.cache.clear();
        let ended = self.batch.remove(|_| true);
        self.shared.state().note_ended(&ended);
    }

    /// Runs one step that begins at `due`, and returns when the next begins.
    async fn step(&mut self, due: Instant) -> Instant {
        let ended = self.batch.remove_abandoned();
        self.shared.state().note_ended(&ended);
        if self.batch.is_empty() {
            self.note_load();
            return due;
        }
        let slow = self.shared.state().slow;
        let begin = due.max(Instant::now().checked_sub(MAX_BEHIND).unwrap_or(due));
        let end = begin + self.batch.step_time(&self.shared.spec, slow);
        wait_until(end).await;
        self.shared.control.thawed().await;
        self.finish_step();
        end
    }

    fn finish_step(&mut self) {
        let stepped = self.batch.step(self.shared.spec.prefill_budget);
        let mut changes = Vec::new();
        for blocks in &stepped.stored {
            changes.extend(self.cache.store(blocks));
        }
        let mut state = self.shared.state();
        state.counts.prefill += stepped.prefill;
        state.counts.tokens += stepped.tokens;
        state.note_ended(&stepped.ended);
        state.note_changes(changes, &self.shared.spec);
        drop(state);
        if stepped.poisoned {
            self.shared.crash(self.shared.spec.down);
            self.clear();
        }
        self.note_load();
    }

    fn note_load(&self) {
        let running = self.batch.running();
        let waiting = self.batch.len() - running;
        let load = Load { running, waiting, waiting_tokens: self.batch.waiting_tokens() };
        let mut state = self.shared.state();
        state.batch = self.batch.len();
        state.reports.note_load(load, self.shared.spec.load_lag);
    }
}
