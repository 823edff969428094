//! Fake of the hosting platform's instance list, which lags behind the actual instances.

use std::collections::{BTreeMap, VecDeque};
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::Duration;

use http::{Method, Request, Response, StatusCode};
use hyper::body::Incoming;
use serde::Serialize;
use tokio::time::Instant;

use crate::Result;
use crate::server::{Body, BoundServer, Server, empty, json};

/// State of an instance in the list.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum InstanceState {
    /// The instance serves requests.
    Live,
    /// The instance is about to stop and gets no new requests.
    Leaving,
}

/// An instance in the list.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct Instance {
    /// Name of the instance.
    pub name: String,
    /// Availability zone of the instance.
    pub zone: String,
    /// Name of the service that the instance runs.
    pub service: String,
    /// Address at which the instance is reached.
    pub address: SocketAddr,
    /// Whether the instance is live or leaving.
    pub state: InstanceState,
}

impl Instance {
    /// Returns an instance that is live.
    pub fn new(
        name: impl Into<String>,
        zone: impl Into<String>,
        service: impl Into<String>,
        address: SocketAddr,
    ) -> Self {
        let state = InstanceState::Live;
        Self { name: name.into(), zone: zone.into(), service: service.into(), address, state }
    }
}

#[derive(Debug, Serialize)]
struct List {
    instances: Vec<Instance>,
}

/// A change of one instance.
#[derive(Debug)]
struct Change {
    at: Instant,
    name: String,
    /// New state of the instance; `None` if it was removed.
    instance: Option<Instance>,
}

#[derive(Debug, Default)]
struct State {
    /// Actual instances.
    actual: BTreeMap<String, Instance>,
    /// Instances as listed, which lag behind the actual ones.
    listed: BTreeMap<String, Instance>,
    /// Changes not yet listed, oldest first.
    pending: VecDeque<Change>,
    lag: Duration,
    outage: bool,
}

impl State {
    fn change(&mut self, name: &str, instance: Option<Instance>) {
        match &instance {
            Some(instance) => self.actual.insert(name.to_owned(), instance.clone()),
            None => self.actual.remove(name),
        };
        self.pending.push_back(Change { at: Instant::now(), name: name.to_owned(), instance });
    }

    /// Applies the changes that are at least `lag` old and returns the list.
    fn list(&mut self) -> List {
        let now = Instant::now();
        while let Some(change) = self.pending.pop_front_if(|change| change.at + self.lag <= now) {
            match change.instance {
                Some(instance) => self.listed.insert(change.name, instance),
                None => self.listed.remove(&change.name),
            };
        }
        List { instances: self.listed.values().cloned().collect() }
    }
}

/// Handle of a running fake instance list.
#[derive(Debug)]
pub struct Instances {
    server: Server,
    state: Arc<Mutex<State>>,
}

impl Instances {
    /// Starts an empty list without lag.
    pub async fn start() -> Result<Self> {
        let state = Arc::new(Mutex::new(State::default()));
        let handler_state = Arc::clone(&state);
        let handler = move |request| {
            let answer = handle(&mut lock(&handler_state), &request);
            Box::pin(std::future::ready(Ok(answer))) as _
        };
        Ok(Self { server: BoundServer::new().await?.serve(Arc::new(handler)), state })
    }

    /// Returns the list's address.
    pub const fn address(&self) -> SocketAddr {
        self.server.address()
    }

    /// Sets the time until a change appears in the list.
    pub fn set_lag(&self, lag: Duration) {
        lock(&self.state).lag = lag;
    }

    /// Starts or ends an outage, during which every request is answered with 503.
    pub fn set_outage(&self, outage: bool) {
        lock(&self.state).outage = outage;
    }

    /// Adds or replaces an instance.
    pub fn set(&self, instance: Instance) {
        let name = instance.name.clone();
        lock(&self.state).change(&name, Some(instance));
    }

    /// Marks an instance as leaving. Unknown names are ignored.
    pub fn leave(&self, name: &str) {
        let mut state = lock(&self.state);
        if let Some(mut instance) = state.actual.get(name).cloned() {
            instance.state = InstanceState::Leaving;
            state.change(name, Some(instance));
        }
    }

    /// Removes an instance.
    pub fn remove(&self, name: &str) {
        lock(&self.state).change(name, None);
    }

    /// Closes all connections and refuses new ones for `down`.
    pub fn crash(&self, down: Duration) {
        self.server.control().crash(down);
    }
}

fn handle(state: &mut State, request: &Request<Incoming>) -> Response<Body> {
    match (request.method(), request.uri().path()) {
        _ if state.outage => empty(StatusCode::SERVICE_UNAVAILABLE),
        (&Method::GET, "/v1/instances") => json(StatusCode::OK, &state.list()),
        _ => empty(StatusCode::NOT_FOUND),
    }
}

fn lock(state: &Mutex<State>) -> MutexGuard<'_, State> {
    state.lock().expect("no task panics while it holds the lock")
}
