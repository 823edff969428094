//! Fake of a model engine with continuous batching, a prefix cache, delayed reports and faults.
//!
//! The engine admits every request on arrival. Its batch advances in steps: each step generates one
//! token for every request whose prefill is complete, and spends a fixed budget of prompt tokens on
//! the prefill of the others (chunked prefill). A step with more generating requests than the knee
//! takes longer in proportion.

mod api;
mod batch;
mod cache;
mod driver;
mod prompt;
mod report;
mod spec;
mod state;
mod writer;

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use egretgate_core::Digest;
use tokio::sync::mpsc;
use tokio::task::JoinHandle;

use crate::Result;
use crate::server::{BoundServer, Server};
use state::Shared;

pub use prompt::{chat_prompt, expected_completion, natural_tokens, prompt_tokens};
pub use spec::{EngineSpec, VersionFaults};
pub use state::{EngineCounts, Order};

/// Handle of a running fake engine.
#[derive(Debug)]
pub struct Engine {
    server: Server,
    shared: Arc<Shared>,
    driver: JoinHandle<()>,
}

impl Engine {
    /// Starts an engine on a free loopback port.
    pub async fn start(spec: EngineSpec) -> Result<Self> {
        let bound = BoundServer::new().await?;
        let (sender, receiver) = mpsc::unbounded_channel();
        let shared = Arc::new(Shared::new(spec, sender, bound.control()));
        let driver = tokio::spawn(driver::run(Arc::clone(&shared), receiver));
        let handler_shared = Arc::clone(&shared);
        let handler =
            move |request| Box::pin(api::handle(Arc::clone(&handler_shared), request)) as _;
        Ok(Self { server: bound.serve(Arc::new(handler)), shared, driver })
    }

    /// Returns the engine's address.
    pub const fn address(&self) -> SocketAddr {
        self.server.address()
    }

    /// Returns the engine's counters.
    pub fn counts(&self) -> EngineCounts {
        self.shared.state().counts
    }

    /// Returns how often the request with this `x-request-id` was executed.
    pub fn executions(&self, id: &str) -> u64 {
        self.shared.state().id_counts.get(id).copied().unwrap_or_default()
    }

    /// Returns the number of executions by `x-request-id`.
    pub fn ids(&self) -> HashMap<String, u64> {
        self.shared.state().id_counts.clone()
    }

    /// Returns the number of executions by digest of the request body.
    pub fn digests(&self) -> HashMap<Digest, u64> {
        self.shared.state().digest_counts.clone()
    }

    /// Returns the number of executions by version.
    pub fn version_executions(&self) -> HashMap<String, u64> {
        self.shared.state().version_counts.clone()
    }

    /// Returns the number of requests in the batch.
    pub fn batch(&self) -> usize {
        self.shared.state().batch_len
    }

    /// Returns the load and unload orders applied, oldest first.
    pub fn orders(&self) -> Vec<Order> {
        self.shared.state().orders.clone()
    }

    /// Returns the versions loaded.
    pub fn versions(&self) -> Vec<String> {
        self.shared.state().versions.clone()
    }

    /// Sets the marker of poisonous requests. The engine crashes when the prefill of a request
    /// completes whose body contains the marker.
    pub fn set_poison(&self, marker: Option<&str>) {
        self.shared.state().poison_marker = marker.map(str::to_owned);
    }

    /// Sets the factor by which the time of every step is multiplied.
    pub fn set_step_factor(&self, factor: f64) {
        self.shared.state().step_factor = factor;
    }

    /// Sets the faults of a version.
    pub fn set_faults(&self, version: &str, faults: VersionFaults) {
        self.shared.state().faults.insert(version.to_owned(), faults);
    }

    /// Makes the next `streams` requests fail after `tokens` tokens: their connections are closed
    /// before the answer is complete.
    pub fn cut_streams(&self, streams: u64, tokens: usize) {
        let mut state = self.shared.state();
        state.cut_streams = streams;
        state.cut_tokens = tokens;
    }

    /// Suspends or resumes the engine; connections stay open.
    pub fn freeze(&self, frozen: bool) {
        self.server.control().freeze(frozen);
    }

    /// Crashes the engine: it drops its batch and cache, closes all connections and refuses new
    /// ones for `down`.
    pub fn crash(&self, down: Duration) {
        self.shared.crash(down);
    }

    /// Closes all connections. The engine keeps running.
    pub fn cut(&self) {
        self.server.control().cut();
    }
}

impl Drop for Engine {
    fn drop(&mut self) {
        self.driver.abort();
    }
}
