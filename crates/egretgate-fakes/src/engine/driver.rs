//! The task that owns the batch and the prefix cache.

use std::sync::Arc;
use std::time::Duration;

use tokio::sync::mpsc;
use tokio::time::Instant;

use super::batch::{Batch, Sequence};
use super::cache::Cache;
use super::report::Load;
use super::state::{Command, Shared};
use crate::server::wait_until;

/// Maximum lag behind the step schedule that later steps catch up on; a longer lag is cut to this.
const MAX_CATCH_UP: Duration = Duration::from_millis(50);

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
            driver.handle(command);
            due = Instant::now();
        }
        while let Ok(command) = commands.try_recv() {
            driver.handle(command);
        }
        due = driver.step(due).await;
    }
}

impl Driver {
    fn handle(&mut self, command: Command) {
        match command {
            Command::Admit(sequence) => self.admit(sequence),
            Command::Cancel(id) => {
                let ended = self.batch.remove(|sequence| sequence.id == id);
                self.shared.state().count_ended(&ended);
            }
            Command::Unload(version) => {
                let ended = self.batch.remove(|sequence| sequence.version == version);
                let mut state = self.shared.state();
                state.counts.unloaded += ended.len() as u64;
                state.count_ended(&ended);
            }
            Command::Crash => self.clear(),
        }
        self.record_load();
    }

    /// Admits a request. A request that arrives while the engine is down is dropped, which also
    /// closes its connection.
    fn admit(&mut self, mut sequence: Sequence) {
        if self.shared.state().down_until.is_some_and(|down_until| Instant::now() < down_until) {
            return;
        }
        sequence.skip_cached(self.cache.cached_blocks(&sequence.blocks));
        self.batch.push(sequence);
        let mut state = self.shared.state();
        state.counts.peak_batch = state.counts.peak_batch.max(self.batch.len() as u64);
    }

    /// Drops the cache and every request in the batch.
    fn clear(&mut self) {
        self.cache.clear();
        let ended = self.batch.remove(|_| true);
        self.shared.state().count_ended(&ended);
    }

    /// Runs one step that starts at `due`, and returns the start of the next.
    async fn step(&mut self, due: Instant) -> Instant {
        let ended = self.batch.remove_abandoned();
        self.shared.state().count_ended(&ended);
        if self.batch.is_empty() {
            self.record_load();
            return due;
        }
        let step_factor = self.shared.state().step_factor;
        let start = due.max(Instant::now().checked_sub(MAX_CATCH_UP).unwrap_or(due));
        let end = start + self.batch.step_time(&self.shared.spec, step_factor);
        wait_until(end).await;
        self.shared.control.thawed().await;
        self.finish_step();
        end
    }

    fn finish_step(&mut self) {
        let result = self.batch.step(self.shared.spec.prefill_budget);
        let mut changes = Vec::new();
        for blocks in &result.prefilled_blocks {
            changes.extend(self.cache.store(blocks));
        }
        let mut state = self.shared.state();
        state.counts.prefill += result.prefill_tokens;
        state.counts.tokens += result.tokens;
        state.count_ended(&result.ended);
        state.record_changes(changes, &self.shared.spec);
        drop(state);
        if result.poisoned {
            self.shared.crash(self.shared.spec.down);
            self.clear();
        }
        self.record_load();
    }

    fn record_load(&self) {
        let running = self.batch.running();
        let waiting = self.batch.len() - running;
        let load = Load { running, waiting, waiting_tokens: self.batch.waiting_tokens() };
        let mut state = self.shared.state();
        state.batch_len = self.batch.len();
        state.reports.record_load(load, self.shared.spec.load_lag);
    }
}
