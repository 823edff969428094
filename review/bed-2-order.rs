//! A service moves to a version that turns bad later; or the operator orders it back meanwhile.

use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::bed::{Bed, Gateway, config, request};
use crate::http::ask;
use crate::server::{Handler, Server};
use crate::store::Store;

const HEARTBEAT: Duration = Duration::from_millis(1_200);
const DEADLINE_MS: u64 = 1_500;
const WORK: Duration = Duration::from_millis(60);
const CANARY_SHARE: f64 = 0.1;
const CANARY_SLACK: f64 = 50.0;
/// Bad answers after which the version must get nothing any more, `ROLLBACK` later.
const BAD_ANSWERS: usize = 50;
const ROLLBACK: Duration = Duration::from_millis(5_000);
/// Time of the order to the new version, in seconds after the gateway is ready.
const ORDERED_AT: f64 = 2.0;

/// What happens in a case; times in seconds after the gateway is ready.
#[derive(Debug, Clone, Copy)]
pub struct Play {
    clients: usize,
    /// Time within which the move must have ended.
    step_s: f64,
    /// Time from which the new version fails every second request.
    bad_at: f64,
    /// Time at which the operator orders the service back to the old version.
    back_at: Option<f64>,
}

/// The new version turns bad; with `TROUBLE=0` it stays good.
pub const BAD_LATER: Play = Play { clients: 24, step_s: 40.0, bad_at: 18.0, back_at: None };
/// The operator orders the service back; with `TROUBLE=0` there is no such order.
pub const ORDERED_BACK: Play = Play { clients: 12, step_s: 20.0, bad_at: 10.0, back_at: Some(6.0) };

/// Returns the behaviour of the servers of one version, which is bad while `is_bad` is set. The times of
/// the bad answers are kept in `failed`.
fn handler(is_bad: &Arc<AtomicBool>, failed: &Arc<Mutex<Vec<Instant>>>) -> Handler {
    let (is_bad, failed) = (Arc::clone(is_bad), Arc::clone(failed));
    Arc::new(move |server, head, conn| {
        let id = head.id().to_owned();
        if conn.body(head, false, None).is_err() {
            return false;
        }
        server.run(&id);
        thread::sleep(WORK);
        let number: u64 = id[2..].parse().unwrap_or(0);
        let fails = is_bad.load(Ordering::SeqCst) && number.is_multiple_of(2);
        if fails {
            failed.lock().unwrap().push(Instant::now());
        }
        let status = if fails { "500 Failed" } else { "200 OK" };
        let answer =
            format!("HTTP/1.1 {status}\r\n{}content-length: 2\r\n\r\nok", server.signed(&id));
        conn.send(answer.as_bytes()).is_ok()
    })
}

fn order(store: &Store, target: &str, step_s: f64) {
    let order = format!(r#"{{"backend":"desk","target":"{target}","stepS":{step_s}}}"#);
    store.put("keyed.op", "rollout/desk", Some(order.as_bytes()));
}

pub fn run(bed: &Bed, play: Play) -> i32 {
    let store = Store::start(bed.listener(1));
    let route = format!(
        r#"{{"name":"post","host":"ficu95.example","pathPrefix":"/post/","kind":"unsafe","timeoutMs":{DEADLINE_MS},"targetLatencyMs":300,"priority":0,"backend":"desk","maxAttempts":1}}"#
    );
    store.put("keyed.op", "config", Some(config(3, &[route]).as_bytes()));
    let failed: Arc<Mutex<Vec<Instant>>> = Arc::default();
    let (sound, bad) = (Arc::new(AtomicBool::new(false)), Arc::new(AtomicBool::new(false)));
    let server = |n: u8, version: &str| {
        let handler = handler(if version == "v2" { &bad } else { &sound }, &failed);
        let mut server =
            Server::start(&format!("i-{n}"), bed.listener(10 + n), 9, &bed.record, handler);
        version.clone_into(&mut server.version);
        server.beat(&store, "ready");
        server
    };
    let old: Vec<Server> = (1..=3).map(|n| server(n, "v1")).collect();
    let gateway = Gateway::start(bed, 2, "edge-boa-viagem-1", "boa-viagem", &store);
    gateway.await_ready(bed);
    let zero = bed.record.seconds(Instant::now());
    let stopped = Arc::new(AtomicBool::new(false));
    let numbers = Arc::new(AtomicU64::new(0));
    let clients: Vec<_> = (0..play.clients)
        .map(|_| {
            let (numbers, stopped) = (Arc::clone(&numbers), Arc::clone(&stopped));
            let (record, front) = (bed.record.clone(), gateway.front);
            thread::spawn(move || {
                while !stopped.load(Ordering::SeqCst) {
                    let id = format!("r-{}", numbers.fetch_add(1, Ordering::SeqCst));
                    let body = format!("posting {id}");
                    let bytes = request("/post/1", &id, DEADLINE_MS, "", body.as_bytes());
                    let end = ask(front, &bytes, Duration::from_millis(DEADLINE_MS));
                    if end.status() != 200 {
                        record.add(&format!("client gets for {id}: {}", end.text()));
                    }
                    thread::sleep(Duration::from_millis(20));
                }
            })
        })
        .collect();
    bed.record.until(zero + ORDERED_AT);
    let new: Vec<Server> = (4..=6).map(|n| server(n, "v2")).collect();
    order(&store, "v2", play.step_s);
    let ordered = Instant::now();
    bed.record.add("the operator orders desk to v2");
    for server in old.iter().chain(&new) {
        let (server, store, stopped) = (server.clone(), store.clone(), Arc::clone(&stopped));
        thread::spawn(move || {
            while !stopped.load(Ordering::SeqCst) {
                server.beat(&store, "ready");
                thread::sleep(HEARTBEAT);
            }
        });
    }
    let back_at = play.back_at.filter(|_| bed.trouble);
    if let Some(back_at) = back_at {
        bed.record.until(zero + back_at);
        order(&store, "v1", play.step_s);
        bed.record.add("the operator orders desk back to v1");
    }
    if play.back_at.is_some() || bed.trouble {
        let (record, bad) = (bed.record.clone(), Arc::clone(&bad));
        thread::spawn(move || {
            record.until(zero + play.bad_at);
            bad.store(true, Ordering::SeqCst);
            record.add("v2 turns bad");
        });
    }
    // The move's deadline. The platform would stop servers at its end, so what counts ends here.
    let deadline = ordered + Duration::from_secs_f64(play.step_s);
    let mut last = None;
    while Instant::now() < deadline {
        let status = store.text("keyed.status", "rollout/desk");
        if status != last {
            bed.record
                .add(&format!("the state of the move: {}", status.as_deref().unwrap_or("none")));
            last = status;
            if last.as_ref().is_some_and(|state| !state.contains("running")) {
                bed.record.add("the move has ended");
                if back_at.is_some() {
                    break;
                }
            }
        }
        thread::sleep(Duration::from_millis(20));
    }
    let ended = Instant::now();
    stopped.store(true, Ordering::SeqCst);
    for client in clients {
        let _ = client.join();
    }
    let count = |servers: &[Server]| -> usize {
        let within = |server: &Server| {
            let arrivals = server.arrivals.lock().unwrap();
            arrivals.iter().filter(|arrival| arrival.at >= ordered && arrival.at <= ended).count()
        };
        servers.iter().map(within).sum()
    };
    let (exposed, all) = (count(&new), count(&new) + count(&old));
    let allowed = all as f64 * CANARY_SHARE + CANARY_SLACK;
    let failed = failed.lock().unwrap();
    let after = failed.get(BAD_ANSWERS - 1).map_or(0, |fiftieth| {
        let is_late = |at: Instant| at > *fiftieth + ROLLBACK && at <= ended;
        let late = |server: &Server| {
            server.arrivals.lock().unwrap().iter().filter(|arrival| is_late(arrival.at)).count()
        };
        new.iter().map(late).sum::<usize>()
    });
    bed.record.say(&format!(
        "from the order to v2 until {:.1} s later: {exposed} of {all} requests reached v2, {allowed:.0} are allowed; v2 gave {} bad answers; later than 5 s after the 50th it got {after} requests",
        (ended - ordered).as_secs_f64(),
        failed.len()
    ));
    // The rule is about versions that are bad.
    let is_bad = !failed.is_empty();
    i32::from(is_bad && (exposed as f64 > allowed || after > 0))
}
