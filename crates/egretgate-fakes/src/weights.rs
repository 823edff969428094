//! Fake of the hosting platform's weight store, which limits the rate of weight loads.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::Duration;

use http::header::{HeaderValue, RETRY_AFTER};
use http::{Method, Request, Response, StatusCode};
use hyper::body::Incoming;
use tokio::time::Instant;

use crate::Result;
use crate::server::{Body, BoundServer, Server, empty};

#[derive(Debug)]
struct State {
    interval: Duration,
    burst: u32,
    /// Theoretical arrival time of the next load (generic cell rate algorithm).
    arrival: Instant,
    granted: u64,
    refused: u64,
}

impl State {
    /// Grants one load, or returns how long to wait for it.
    fn take_grant(&mut self) -> std::result::Result<(), Duration> {
        let now = Instant::now();
        let arrival = self.arrival.max(now) + self.interval;
        let latest = now + self.interval * self.burst;
        if arrival > latest {
            self.refused += 1;
            return Err(arrival - latest);
        }
        self.arrival = arrival;
        self.granted += 1;
        Ok(())
    }
}

/// Handle of a running fake weight store.
#[derive(Debug)]
pub struct Weights {
    server: Server,
    state: Arc<Mutex<State>>,
}

impl Weights {
    /// Starts a store that grants `burst` loads at once, and then one load per `interval`.
    pub async fn start(interval: Duration, burst: u32) -> Result<Self> {
        let state = State { interval, burst, arrival: Instant::now(), granted: 0, refused: 0 };
        let state = Arc::new(Mutex::new(state));
        let handler_state = Arc::clone(&state);
        let handler = move |request| {
            let answer = handle(&mut lock(&handler_state), &request);
            Box::pin(std::future::ready(Ok(answer))) as _
        };
        Ok(Self { server: BoundServer::new().await?.serve(Arc::new(handler)), state })
    }

    /// Returns the store's address.
    pub const fn address(&self) -> SocketAddr {
        self.server.address()
    }

    /// Returns the number of loads granted.
    pub fn granted(&self) -> u64 {
        lock(&self.state).granted
    }

    /// Returns the number of loads refused.
    pub fn refused(&self) -> u64 {
        lock(&self.state).refused
    }

    /// Closes all connections and refuses new ones for `down`.
    pub fn crash(&self, down: Duration) {
        self.server.control().crash(down);
    }
}

fn handle(state: &mut State, request: &Request<Incoming>) -> Response<Body> {
    if (request.method(), request.uri().path()) != (&Method::POST, "/v1/weights/reserve") {
        return empty(StatusCode::NOT_FOUND);
    }
    let Err(wait) = state.take_grant() else {
        return empty(StatusCode::OK);
    };
    let mut answer = empty(StatusCode::TOO_MANY_REQUESTS);
    let seconds = HeaderValue::from(wait.as_secs_f64().ceil() as u64);
    answer.headers_mut().insert(RETRY_AFTER, seconds);
    answer
}

fn lock(state: &Mutex<State>) -> MutexGuard<'_, State> {
    state.lock().expect("no task panics while it holds the lock")
}
