//! A model engine: continuous batching with chunked prefill and bounded memory.
//!
//! Each step processes a chunk of the remaining prompts, oldest request first, and generates one
//! token for every request whose prompt is processed. Requests are admitted in the order of
//! arrival. When the KV cache overflows, the newest request is preempted and its prompt is
//! processed again later.

use std::collections::VecDeque;
use std::time::Duration;

use crate::site::{EngineSpec, millis};

/// Number of a request within a run.
pub type RequestId = u64;

/// Progress of a request at an upstream.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Signal {
    /// An event of its stream.
    Event(RequestId),
    /// Its answer is complete.
    Done(RequestId),
}

/// A request at an engine.
#[derive(Debug, Clone, Copy)]
pub struct Job {
    /// Number of the request.
    pub id: RequestId,
    /// Tokens of the prompt.
    pub prompt_tokens: u32,
    /// Tokens of the answer; at least 1.
    pub output_tokens: u32,
    /// Prompt tokens processed so far.
    prefilled: u32,
    /// Answer tokens generated so far.
    generated: u32,
}

impl Job {
    /// Returns a job that has not begun.
    pub const fn new(id: RequestId, prompt_tokens: u32, output_tokens: u32) -> Self {
        Self { id, prompt_tokens, output_tokens, prefilled: 0, generated: 0 }
    }

    const fn is_prefilled(&self) -> bool {
        self.prefilled >= self.prompt_tokens
    }

    fn kv_tokens(&self) -> u64 {
        u64::from(self.prefilled) + u64::from(self.generated)
    }
}

/// An engine.
#[derive(Debug)]
pub struct Engine {
    spec: EngineSpec,
    slots: usize,
    /// Factor of the step time; a larger one is slower.
    time_factor: f64,
    queue: VecDeque<Job>,
    running: Vec<Job>,
    /// Prompt tokens that the current step processes.
    prefill_tokens: u32,
    preempted: u64,
}

impl Engine {
    /// Returns an idle engine.
    pub const fn new(spec: EngineSpec, slots: usize, time_factor: f64) -> Self {
        Self {
            spec,
            slots,
            time_factor,
            queue: VecDeque::new(),
            running: Vec::new(),
            prefill_tokens: 0,
            preempted: 0,
        }
    }

    /// Adds a request.
    pub fn push(&mut self, job: Job) {
        self.queue.push_back(job);
    }

    /// Removes a request, queued or running.
    pub fn remove(&mut self, id: RequestId) {
        self.queue.retain(|job| job.id != id);
        self.running.retain(|job| job.id != id);
    }

    /// Removes and returns every request.
    pub fn clear(&mut self) -> Vec<RequestId> {
        let queue = self.queue.drain(..);
        queue.chain(self.running.drain(..)).map(|job| job.id).collect()
    }

    /// Returns the number of queued requests.
    pub fn waiting(&self) -> usize {
        self.queue.len()
    }

    /// Returns the number of running requests.
    pub const fn running(&self) -> usize {
        self.running.len()
    }

    /// Returns the number of preemptions for lack of memory.
    pub const fn preempted(&self) -> u64 {
        self.preempted
    }

    /// Begins a step and returns its duration; `None` if there is nothing to do.
    pub fn begin_step(&mut self, slowness: f64) -> Option<Duration> {
        self.admit();
        if self.running.is_empty() {
            return None;
        }
        let remaining: u32 = self
            .running
            .iter()
            .map(|job| job.prompt_tokens - job.prefilled.min(job.prompt_tokens))
            .sum();
        self.prefill_tokens = remaining.min(self.spec.chunk);
        let others = self.running.len() as f64 - 1.0;
        let decode_ms = self.spec.step_ms + self.spec.slot_ms * others;
        let prefill_ms = f64::from(self.prefill_tokens) / self.spec.prefill_per_ms;
        Some(millis((decode_ms + prefill_ms) * self.time_factor * slowness))
    }

    /// Ends a step and returns the progress of the requests.
    pub fn end_step(&mut self) -> Vec<Signal> {
        let mut signals = Vec::new();
        let mut budget = std::mem::take(&mut self.prefill_tokens);
        for job in &mut self.running {
            if job.is_prefilled() {
                job.generated += 1;
                let last = job.generated >= job.output_tokens;
                if last || job.generated.is_multiple_of(self.spec.event_tokens) {
                    signals.push(Signal::Event(job.id));
                }
                if last {
                    signals.push(Signal::Done(job.id));
                }
            } else {
                let processed = budget.min(job.prompt_tokens - job.prefilled);
                job.prefilled += processed;
                budget -= processed;
            }
        }
        self.running.retain(|job| job.generated < job.output_tokens);
        while self.kv_tokens() > self.spec.kv_tokens && self.running.len() > 1 {
            self.preempt();
        }
        signals
    }

    fn admit(&mut self) {
        while self.running.len() < self.slots
            && let Some(job) = self.queue.front()
        {
            let fits = self.kv_tokens() + u64::from(job.prompt_tokens) <= self.spec.kv_tokens;
            if !fits && !self.running.is_empty() {
                return;
            }
            self.running.extend(self.queue.pop_front());
        }
    }

    /// Preempts the newest request. Its prompt will be processed again; the tokens generated so far
    /// are kept.
    fn preempt(&mut self) {
        if let Some(job) = self.running.pop() {
            self.preempted += 1;
            self.queue.push_front(Job { prefilled: 0, ..job });
        }
    }

    fn kv_tokens(&self) -> u64 {
        self.running.iter().map(Job::kv_tokens).sum()
    }
}
