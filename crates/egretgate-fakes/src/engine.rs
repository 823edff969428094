//! Fake of a model engine: continuous batching, a limited prefix cache, lagged reports, faults.
//!
//! The engine admits every request as it comes. Its batch advances in steps: each step gives one
//! token to every request whose prompt is processed and spends a fixed budget of prompt tokens on
//! those that wait (chunked prefill). A step takes longer the more requests are past the knee.

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

/// An engine.
#[derive(Debug)]
pub struct Engine {
    server: Server,
    shared: Arc<Shared>,
    driver: JoinHandle<()>,
}

impl Engine {
    /// Starts an engine.
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

    /// Returns the numbers counted so far.
    pub fn counts(&self) -> EngineCounts {
        self.shared.state().counts
    }

    /// Returns the number of executions of a request, by its name.
    pub fn executions(&self, id: &str) -> u64 {
        self.shared.state().id_counts.get(id).copied().unwrap_or_default()
    }

    /// Returns the numbers of executions by request name.
    pub fn ids(&self) -> HashMap<String, u64> {
        self.shared.state().id_counts.clone()
    }

    /// Returns the numbers of executions by digest of the body.
    pub fn digests(&self) -> HashMap<Digest, u64> {
        self.shared.state().digest_counts.clone()
    }

    /// Returns the numbers of executions by version.
    pub fn version_executions(&self) -> HashMap<String, u64> {
        self.shared.state().version_counts.clone()
    }

    /// Returns the number of requests in the batch.
    pub fn batch(&self) -> usize {
        self.shared.state().batch_len
    }

    /// Returns the orders carried out, in order.
    pub fn orders(&self) -> Vec<Order> {
        self.shared.state().orders.clone()
    }

    /// Returns the versions held.
    pub fn versions(&self) -> Vec<String> {
        self.shared.state().versions.clone()
    }

    /// Sets the text that crashes the engine when a body that holds it starts to generate.
    pub fn set_poison(&self, marker: Option<&str>) {
        self.shared.state().poison_marker = marker.map(str::to_owned);
    }

    /// Multiplies the time of every step.
    pub fn set_slow(&self, factor: f64) {
        self.shared.state().step_factor = factor;
    }

    /// Sets how a version fails.
    pub fn set_faults(&self, version: &str, faults: VersionFaults) {
        self.shared.state().faults.insert(version.to_owned(), faults);
    }

    /// Makes each of the next `streams` that start end after `tokens` tokens, without an end mark.
    pub fn cut_streams(&self, streams: u64, tokens: usize) {
        let mut state = self.shared.state();
        state.cut_streams = streams;
        state.cut_tokens = tokens;
    }

    /// Stops or resumes the engine as a whole; connections stay open.
    pub fn freeze(&self, frozen: bool) {
        self.server.control().freeze(frozen);
    }

    /// Crashes the engine: it loses its batch and cache, closes every connection and refuses new
    /// ones for `down`.
    pub fn crash(&self, down: Duration) {
        self.shared.crash(down);
    }

    /// Closes every connection. The engine itself goes on.
    pub fn cut(&self) {
        self.server.control().cut();
    }
}

impl Drop for Engine {
    fn drop(&mut self) {
        self.driver.abort();
    }
}
