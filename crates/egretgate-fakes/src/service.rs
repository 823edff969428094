//! Fake of a plain service, some of whose calls may not be repeated.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::Duration;

use http::{Request, StatusCode};
use hyper::body::Incoming;
use serde::Serialize;
use tokio::time::Instant;

use crate::Result;
use crate::server::{Answer, Bound, Server, dropped, empty, json, read, wait_until};

/// Header that carries the idempotency key.
const IDEMPOTENCY_KEY: &str = "idempotency-key";
/// Header that carries the name of a request.
const REQUEST_ID: &str = "x-request-id";

#[derive(Debug, Default)]
struct State {
    latency: Duration,
    fail_before: u64,
    fail_after: u64,
    lose: u64,
    total: u64,
    keys: HashMap<String, u64>,
    ids: HashMap<String, u64>,
}

/// What the service answers.
#[derive(Debug, Serialize)]
struct Receipt {
    method: String,
    path: String,
    key: String,
    /// Length of the body, in bytes.
    bytes: usize,
    /// Executions with this key, this one included; 0 without a key.
    execution: u64,
}

/// A plain service.
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
        Ok(Self { server: Bound::new().await?.serve(Arc::new(handler)), state })
    }

    /// Returns the service's address.
    pub const fn address(&self) -> SocketAddr {
        self.server.address()
    }

    /// Sets the time between the effect of a call and its answer.
    pub fn set_latency(&self, latency: Duration) {
        lock(&self.state).latency = latency;
    }

    /// Makes the next `calls` answer 503 without any effect.
    pub fn fail_before(&self, calls: u64) {
        lock(&self.state).fail_before = calls;
    }

    /// Makes the next `calls` take effect and then answer 500.
    pub fn fail_after(&self, calls: u64) {
        lock(&self.state).fail_after = calls;
    }

    /// Makes the next `calls` take effect and then lose their answers.
    pub fn lose_answers(&self, calls: u64) {
        lock(&self.state).lose = calls;
    }

    /// Closes every connection.
    pub fn cut(&self) {
        self.server.control().cut();
    }

    /// Closes every connection and refuses new ones for a time. Counters stay.
    pub fn crash(&self, down: Duration) {
        self.server.control().crash(down);
    }

    /// Stops or resumes the handling of requests; connections stay open.
    pub fn freeze(&self, frozen: bool) {
        self.server.control().freeze(frozen);
    }

    /// Returns the number of executions.
    pub fn total(&self) -> u64 {
        lock(&self.state).total
    }

    /// Returns the number of executions with an idempotency key.
    pub fn executions(&self, key: &str) -> u64 {
        lock(&self.state).keys.get(key).copied().unwrap_or_default()
    }

    /// Returns the numbers of executions by idempotency key.
    pub fn keys(&self) -> HashMap<String, u64> {
        lock(&self.state).keys.clone()
    }

    /// Returns the numbers of executions by request name.
    pub fn ids(&self) -> HashMap<String, u64> {
        lock(&self.state).ids.clone()
    }
}

async fn handle(state: Arc<Mutex<State>>, request: Request<Incoming>) -> Answer {
    let key = header(&request, IDEMPOTENCY_KEY);
    let id = header(&request, REQUEST_ID);
    let method = request.method().to_string();
    let path = request.uri().path().to_owned();
    let bytes = read(request).await?.len();
    let Some(effect) = lock(&state).execute(&key, &id) else {
        return Ok(empty(StatusCode::SERVICE_UNAVAILABLE));
    };
    let latency = lock(&state).latency;
    wait_until(Instant::now() + latency).await;
    match effect.fault {
        Fault::None => {
            let execution = effect.execution;
            Ok(json(StatusCode::OK, &Receipt { method, path, key, bytes, execution }))
        }
        Fault::Fail => Ok(empty(StatusCode::INTERNAL_SERVER_ERROR)),
        Fault::Lose => Err(dropped()),
    }
}

/// What an execution did.
struct Effect {
    execution: u64,
    fault: Fault,
}

enum Fault {
    None,
    Fail,
    Lose,
}

impl State {
    /// Counts an execution, or returns `None` if a switch prevents it.
    fn execute(&mut self, key: &str, id: &str) -> Option<Effect> {
        if take(&mut self.fail_before) {
            return None;
        }
        self.total += 1;
        let execution = count(&mut self.keys, key);
        count(&mut self.ids, id);
        let fault = if take(&mut self.fail_after) {
            Fault::Fail
        } else if take(&mut self.lose) {
            Fault::Lose
        } else {
            Fault::None
        };
        Some(Effect { execution, fault })
    }
}

/// Counts one use of a name and returns the uses so far. Empty names are not counted.
fn count(uses: &mut HashMap<String, u64>, name: &str) -> u64 {
    if name.is_empty() {
        return 0;
    }
    let used = uses.entry(name.to_owned()).or_default();
    *used += 1;
    *used
}

/// Uses up one of the remaining times, if any is left.
fn take(left: &mut u64) -> bool {
    let taken = *left > 0;
    *left = left.saturating_sub(1);
    taken
}

fn header(request: &Request<Incoming>, name: &str) -> String {
    let value = request.headers().get(name).and_then(|value| value.to_str().ok());
    value.unwrap_or_default().to_owned()
}

fn lock(state: &Mutex<State>) -> MutexGuard<'_, State> {
    state.lock().expect("no task panics while it holds the service")
}
