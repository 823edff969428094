//! The scripts.

use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

use crate::client::{self, Request};
use crate::fleet::Fleet;
use crate::record::Record;

mod poison;
mod quota;
mod rollout;

/// True if the rule held; an error if the case couldn't run.
pub type Verdict = Result<bool, String>;
/// A script: with the disruption if the last argument is true.
pub type Case = fn(&Record, &Fleet, bool) -> Verdict;

pub fn find(name: &str) -> Option<Case> {
    Some(match name {
        "refusals" => rollout::refusals,
        "poison" => poison::run,
        "one-route" => rollout::one_route,
        "slow-stream" => rollout::slow_stream,
        "quota" => quota::run,
        _ => return None,
    })
}

/// Body and headers of the routes, services and limits of all cases.
const ROUTES: &str = r#""routes":[
{"name":"credit-post","host":"ficu95.example","pathPrefix":"/credit/","kind":"unsafe","timeoutMs":800,"targetLatencyMs":150,"priority":2,"backend":"client-desk","maxAttempts":1},
{"name":"archive-read","host":"ficu95.example","pathPrefix":"/archive/","kind":"safe","timeoutMs":800,"targetLatencyMs":150,"priority":2,"backend":"client-desk","maxAttempts":2},
{"name":"moodnote","host":"ficu95.example","pathPrefix":"/moodnote/","kind":"streaming","timeoutMs":5000,"targetLatencyMs":300,"targetGapMs":250,"streamResume":false,"priority":1,"backend":"client-desk","maxAttempts":1}
],
"backends":[{"name":"client-desk","healthPath":"/healthz"}],
"limits":{"maxHeaderBytes":16384,"maxBodyBytes":4194304,"headerTimeoutMs":3000,"idleTimeoutMs":5000}"#;

/// Returns a configuration with these tenants.
fn config(version: u64, tenants: &str) -> String {
    format!("{{\"version\":{version},{ROUTES},\"tenants\":[{tenants}]}}")
}

/// Returns a tenant with one key and a limit, 0 for none.
fn tenant(name: &str, key: &str, rate: u64) -> String {
    format!(
        "{{\"name\":\"{name}\",\"apiKeys\":[\"{key}\"],\"unit\":\"token_count\",\
         \"uncachedTokens\":1,\"ratePerS\":{rate},\"burst\":{rate}}}"
    )
}

/// One answer to a client.
#[derive(Debug, Clone)]
struct Answered {
    id: String,
    /// Seconds since the start at which the request was sent.
    sent: f64,
    /// Status; 0 without a whole answer.
    status: u16,
}

/// Clients that send requests at a steady rate until they are stopped.
#[derive(Clone)]
struct Load {
    record: Record,
    stopped: Arc<AtomicBool>,
    numbers: Arc<AtomicU64>,
    open: Arc<AtomicU64>,
    answers: Arc<Mutex<Vec<Answered>>>,
}

impl Load {
    /// Starts `workers` clients, each with `per_s` requests a second, spread over the daemons.
    fn start(
        record: &Record,
        fronts: &[SocketAddr],
        workers: usize,
        per_s: f64,
        path: &'static str,
        key: &'static str,
        headers: &'static str,
        first: u64,
    ) -> Self {
        let load = Self {
            record: record.clone(),
            stopped: Arc::default(),
            numbers: Arc::new(AtomicU64::new(first)),
            open: Arc::default(),
            answers: Arc::default(),
        };
        for worker in 0..workers {
            let (load, fronts) = (load.clone(), fronts.to_vec());
            thread::spawn(move || {
                let pause = Duration::from_secs_f64(1.0 / per_s);
                thread::sleep(pause.mul_f64(worker as f64 / workers as f64));
                while !load.stopped.load(Ordering::SeqCst) {
                    let number = load.numbers.fetch_add(1, Ordering::SeqCst);
                    let front = fronts[number as usize % fronts.len()];
                    let load = load.clone();
                    load.open.fetch_add(1, Ordering::SeqCst);
                    thread::spawn(move || {
                        load.ask(front, number, path, key, headers);
                        load.open.fetch_sub(1, Ordering::SeqCst);
                    });
                    thread::sleep(pause);
                }
            });
        }
        load
    }

    fn ask(&self, front: SocketAddr, number: u64, path: &str, key: &str, headers: &str) {
        let id = format!("{number:08x}");
        let path = format!("{path}{number:x}");
        let body = format!("body {number}");
        let request =
            Request { path: &path, id: &id, key, headers, deadline_ms: 1_500, body: &body };
        let sent = self.record.now();
        let status = if path.starts_with("/moodnote/") {
            client::read_stream(front, &Request { deadline_ms: 5_000, ..request }).unwrap_or(0)
        } else {
            match client::ask(front, &request) {
                Ok(answer) if answer.whole => answer.status(),
                _ => 0,
            }
        };
        self.record.line(&format!("client {id} to {front}: sent {sent:.3}, answer {status}"));
        self.answers.lock().unwrap().push(Answered { id, sent, status });
    }

    /// Stops the clients and returns what they got.
    fn stop(&self) -> Vec<Answered> {
        self.stopped.store(true, Ordering::SeqCst);
        thread::sleep(Duration::from_millis(300));
        for _ in 0..60 {
            if self.open.load(Ordering::SeqCst) == 0 {
                break;
            }
            thread::sleep(Duration::from_millis(50));
        }
        self.answers.lock().unwrap().clone()
    }
}

fn sleep(seconds: f64) {
    thread::sleep(Duration::from_secs_f64(seconds));
}

fn text(error: impl std::fmt::Display) -> String {
    error.to_string()
}
