//! A request crashes each server that runs it; the gateways are restarted in turn.

use std::collections::HashMap;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::bed::{Bed, LIMITS, Record, TENANT, config};
use crate::client::{Load, ask, is_served};
use crate::server::{Server, Spec};
use crate::store::Store;

/// Calls that run once at most.
const ROUTE: &str = r#"{"name":"r-post","host":"desk.example","pathPrefix":"/post/","kind":"unsafe","timeoutMs":1500,"targetLatencyMs":300,"priority":0,"backend":"desk","maxAttempts":1,"allowAnonymous":false,"sessionAffinity":false,"streamResume":false}"#;
/// Path of the request that crashes servers.
const BAD_PATH: &str = "/post/bad";
/// `stableWindowMs`.
const STABLE: Duration = Duration::from_millis(3_000);
/// Retries that the rule allows.
const ALLOWED: usize = 3;
/// Time after which a crashed server is back.
const BACK_AFTER: Duration = Duration::from_millis(2_500);
/// Time between two stops of gateways.
const GAP: Duration = Duration::from_secs(20);
/// Interval at which the request comes again, at each gateway in turn.
const COMES_AGAIN: Duration = Duration::from_millis(1_300);
const SERVERS: u8 = 5;
const GATEWAYS: u8 = 3;

/// A server that crashes when the bad request begins to run, and is back under a new id later.
fn keep(number: u8, ip: String, store: Store, record: Record, crashes: Arc<Mutex<Vec<Crash>>>) {
    thread::spawn(move || {
        for start in 0.. {
            let id = format!("i-desk-{number}-{start}");
            let spec = Spec {
                id: &id,
                ip: ip.clone(),
                backend: "desk",
                version: "v1",
                work: Duration::from_millis(120),
                events: (0, Duration::ZERO),
            };
            let server = Server::start(&spec, &store, &record);
            let bad = loop {
                let found = server.runs().into_iter().find(|run| run.request.starts_with("bad"));
                if let Some(run) = found {
                    break run;
                }
                thread::sleep(Duration::from_millis(2));
            };
            let cut = server.running().saturating_sub(1);
            server.stop();
            record.line(&format!("{id}: {} crashed it, with {cut} other requests", bad.request));
            crashes.lock().unwrap().push(Crash { request: bad.request, at: bad.at, cut });
            thread::sleep(BACK_AFTER);
            store.remove("keyed.servers", &id);
        }
    });
}

#[derive(Debug, Clone)]
struct Crash {
    request: String,
    at: Instant,
    /// Other requests that ran there.
    cut: usize,
}

pub fn run() -> ! {
    let mut bed = Bed::start();
    bed.store.put("keyed.op", "config", &config(7, ROUTE, LIMITS, TENANT));
    let crashes: Arc<Mutex<Vec<Crash>>> = Arc::default();
    for number in 0..SERVERS {
        let ip = bed.server_ip(number);
        keep(number, ip, bed.store.clone(), bed.record.clone(), Arc::clone(&crashes));
    }
    for number in 1..=GATEWAYS {
        bed.start_gateway(number);
    }
    for number in 1..=GATEWAYS {
        bed.await_ready(number);
    }
    let record = bed.record.clone();
    let fronts: Vec<_> = (1..=GATEWAYS).map(|number| bed.gateway(number).front()).collect();
    let deadline = Duration::from_millis(1_500);
    let load = Load::start(fronts.clone(), "POST", &["/post/"], "c", 60.0, deadline, &record);
    thread::sleep(Duration::from_secs(4));

    // The SIGTERM of each gateway and the time at which it is ready again.
    let mut restarts: HashMap<u64, (Instant, Instant)> = HashMap::new();
    let sending = Arc::new(AtomicBool::new(true));
    let sent_by: Arc<Mutex<HashMap<String, (u64, Instant)>>> = Arc::default();
    let number = Arc::new(AtomicU64::new(0));
    let client = {
        let (sending, sent_by, record) =
            (Arc::clone(&sending), Arc::clone(&sent_by), record.clone());
        thread::spawn(move || {
            while sending.load(Ordering::SeqCst) {
                let number = number.fetch_add(1, Ordering::SeqCst);
                let gateway = number % u64::from(GATEWAYS);
                let id = format!("bad{number:03}");
                sent_by.lock().unwrap().insert(id.clone(), (gateway + 1, Instant::now()));
                ask(fronts[gateway as usize], "POST", BAD_PATH, &id, deadline, &record);
                thread::sleep(COMES_AGAIN);
            }
        })
    };
    let started = Instant::now();
    let third = loop {
        if let Some(third) = crashes.lock().unwrap().get(2) {
            break third.at;
        }
        if started.elapsed() > Duration::from_secs(20) {
            eprintln!("the request did not crash three servers");
            bed.stop();
            std::process::exit(crate::bed::NOT_RUN);
        }
        thread::sleep(Duration::from_millis(20));
    };
    record.line("it has crashed the third server");
    thread::sleep(Duration::from_secs(7));
    let count = crashes.lock().unwrap().len();
    record.line(&format!("7 s later it has crashed {count} servers; the roll-over begins"));
    for gateway in 1..=GATEWAYS {
        let stopped = Instant::now();
        if bed.trouble {
            bed.gateway(gateway).signal("TERM");
            record.line(&format!("SIGTERM to gateway {gateway}"));
            while bed.is_running(gateway) {
                thread::sleep(Duration::from_millis(50));
            }
            record.line(&format!("gateway {gateway} has ended"));
            thread::sleep(Duration::from_millis(300));
            bed.start_gateway(gateway);
            bed.await_ready(gateway);
            restarts.insert(gateway.into(), (stopped, Instant::now()));
        }
        thread::sleep(GAP.saturating_sub(stopped.elapsed()));
    }
    thread::sleep(Duration::from_secs(10));
    sending.store(false, Ordering::SeqCst);
    let _ = client.join();
    let asked = load.stop();
    let crashes = crashes.lock().unwrap().clone();
    let sent_by = sent_by.lock().unwrap().clone();
    // The gateway that sent it is in touch: not from its SIGTERM until `stableWindowMs` after its
    // restart.
    let counted = crashes.iter().filter(|crash| {
        let Some((gateway, _)) = sent_by.get(&crash.request) else { return false };
        let is_calm = restarts
            .get(gateway)
            .is_none_or(|(from, to)| crash.at < *from || crash.at > *to + STABLE);
        crash.at > third + STABLE && is_calm
    });
    let counted = counted.count();
    let lost = asked.iter().filter(|one| !is_served(one)).count();
    let cut: usize = crashes.iter().map(|crash| crash.cut).sum();
    let verdict = format!(
        "BUDGET: {} crashes in all; {counted} retries reached servers later than stableWindowMs \
         after the third, sent by machines in touch ({ALLOWED} are allowed); {cut} other requests \
         ran at the crashed servers; {lost} of {} other requests not served",
        crashes.len(),
        asked.len()
    );
    bed.finish(counted > ALLOWED, &verdict)
}
