//! Fake of a plain HTTP service that counts how often each call is executed.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::Duration;

use http::{Request, StatusCode};
use hyper::body::Incoming;
use serde::Serialize;
use tokio::time::Instant;

use crate::Result;
use crate::server::{
    Answer, BoundServer, Server, dropped_connection, empty, json, read_body, wait_until,
};

/// Header with the idempotency key of a call.
const IDEMPOTENCY_KEY_HEADER: &str = "idempotency-key";
/// Header with the id of a request.
const REQUEST_ID_HEADER: &str = "x-request-id";

#[derive(Debug, Default)]
struct State {
    latency: Duration,
    /// Number of calls still to fail before taking effect.
    fail_before: u64,
    /// Number of calls still to fail after taking effect.
    fail_after: u64,
    /// Number of calls still to lose their answers after taking effect.
    answers_to_lose: u64,
    total: u64,
    /// Executions by idempotency key.
    key_counts: HashMap<String, u64>,
    /// Executions by request id.
    id_counts: HashMap<String, u64>,
}

/// Body of an answer.
#[derive(Debug, Serialize)]
struct Receipt {
    method: String,
    path: String,
    key: String,
    /// Length of the body, in bytes.
    bytes: usize,
    /// Executions with this key so far, including this one; 0 without a key.
    execution: u64,
}

/// Handle of a running fake service.
#[derive(Debug)]
pub struct Service {
    server: Server,
    state: Arc<Mutex<State>>,
}

impl Service {
    /// Starts a service without latency or faults.
    pub async fn start() -> Result<Self> {
        let state = Arc::new(Mutex::new(State::default()));
        let handler_state = Arc::clone(&state);
        let handler = move |request| Box::pin(handle(Arc::clone(&handler_state), request)) as _;
        Ok(Self { server: BoundServer::new().await?.serve(Arc::new(handler)), state })
    }

    /// Returns the service's address.
    pub const fn address(&self) -> SocketAddr {
        self.server.address()
    }

    /// Sets the time between the effect of a call and its answer.
    pub fn set_latency(&self, latency: Duration) {
        lock(&self.state).latency = latency;
    }

    /// Makes the next `calls` calls answer 503 without any effect.
    pub fn fail_before(&self, calls: u64) {
        lock(&self.state).fail_before = calls;
    }

    /// Makes the next `calls` calls take effect and then answer 500.
    pub fn fail_after(&self, calls: u64) {
        lock(&self.state).fail_after = calls;
    }

    /// Makes the next `calls` calls take effect and then close their connections without an answer.
    pub fn lose_answers(&self, calls: u64) {
        lock(&self.state).answers_to_lose = calls;
    }

    /// Closes all connections.
    pub fn cut(&self) {
        self.server.control().cut();
    }

    /// Closes all connections and refuses new ones for `down`. Counters are kept.
    pub fn crash(&self, down: Duration) {
        self.server.control().crash(down);
    }

    /// Suspends or resumes the handling of requests; connections stay open.
    pub fn freeze(&self, frozen: bool) {
        self.server.control().freeze(frozen);
    }

    /// Returns the number of calls executed.
    pub fn total(&self) -> u64 {
        lock(&self.state).total
    }

    /// Returns the number of executions with the given idempotency key.
    pub fn executions(&self, key: &str) -> u64 {
        lock(&self.state).key_counts.get(key).copied().unwrap_or_default()
    }

    /// Returns the number of executions by idempotency key.
    pub fn keys(&self) -> HashMap<String, u64> {
        lock(&self.state).key_counts.clone()
    }

    /// Returns the number of executions by `x-request-id`.
    pub fn ids(&self) -> HashMap<String, u64> {
        lock(&self.state).id_counts.clone()
    }
}

async fn handle(state: Arc<Mutex<State>>, request: Request<Incoming>) -> Answer {
    let key = header(&request, IDEMPOTENCY_KEY_HEADER);
    let id = header(&request, REQUEST_ID_HEADER);
    let method = request.method().to_string();
    let path = request.uri().path().to_owned();
    let bytes = read_body(request).await?.len();
    let Some(executed) = lock(&state).execute(&key, &id) else {
        return Ok(empty(StatusCode::SERVICE_UNAVAILABLE));
    };
    let latency = lock(&state).latency;
    wait_until(Instant::now() + latency).await;
    match executed.fault {
        Fault::None => {
            let execution = executed.execution;
            Ok(json(StatusCode::OK, &Receipt { method, path, key, bytes, execution }))
        }
        Fault::Error => Ok(empty(StatusCode::INTERNAL_SERVER_ERROR)),
        Fault::LoseAnswer => Err(dropped_connection()),
    }
}

/// An executed call and its fault.
struct Execution {
    /// Executions with the call's key so far, including this one.
    execution: u64,
    fault: Fault,
}

enum Fault {
    None,
    Error,
    LoseAnswer,
}

impl State {
    /// Counts an execution and returns its fault; `None` if the call fails before its effect.
    fn execute(&mut self, key: &str, id: &str) -> Option<Execution> {
        if take_one(&mut self.fail_before) {
            return None;
        }
        self.total += 1;
        let execution = increment(&mut self.key_counts, key);
        increment(&mut self.id_counts, id);
        let fault = if take_one(&mut self.fail_after) {
            Fault::Error
        } else if take_one(&mut self.answers_to_lose) {
            Fault::LoseAnswer
        } else {
            Fault::None
        };
        Some(Execution { execution, fault })
    }
}

/// Increments the count of a name and returns it. Empty names are not counted.
fn increment(counts: &mut HashMap<String, u64>, name: &str) -> u64 {
    if name.is_empty() {
        return 0;
    }
    let count = counts.entry(name.to_owned()).or_default();
    *count += 1;
    *count
}

/// Decrements a counter of remaining faults and returns true if any was left.
fn take_one(remaining: &mut u64) -> bool {
    let available = *remaining > 0;
    *remaining = remaining.saturating_sub(1);
    available
}

fn header(request: &Request<Incoming>, name: &str) -> String {
    let value = request.headers().get(name).and_then(|value| value.to_str().ok());
    value.unwrap_or_default().to_owned()
}

fn lock(state: &Mutex<State>) -> MutexGuard<'_, State> {
    state.lock().expect("no task panics while it holds the lock")
}
