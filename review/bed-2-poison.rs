//! A request crashes each server that runs it, and comes again. The crashes leave the servers' machines
//! dark.

use std::collections::HashSet;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::bed::{Bed, Gateway, Record, config, request};
use crate::http::ask;
use crate::server::{Handler, Server};
use crate::store::Store;

const STABLE_WINDOW: Duration = Duration::from_millis(3_000);
const HEARTBEAT: Duration = Duration::from_millis(1_200);
const SERVERS: u8 = 6;
/// Time after a crash until the server is back.
const BACK_AFTER: Duration = Duration::from_millis(2_500);
/// Time between two tries of the client whose request crashes servers.
const COMES_AGAIN: Duration = Duration::from_millis(1_300);
const DEADLINE_MS: u64 = 1_500;
/// Retries that the rule allows.
const MOST_RETRIES: usize = 3;
const POISON: &[u8] = b"a request that crashes its server";
const CLIENTS: usize = 6;
/// Seconds after the gateways are ready.
const STOP_AT: f64 = 66.0;

/// Returns the behaviour of all servers: work takes 150 ms; the poison crashes its server. With `is_silent`
/// a crash leaves the machine dark, its connections open; otherwise it closes the port and connections.
fn handler(store: &Store, record: &Record, is_silent: bool) -> Handler {
    let (store, record) = (store.clone(), record.clone());
    Arc::new(move |server, head, conn| {
        let id = head.id().to_owned();
        let Ok(body) = conn.body(head, false, None) else { return false };
        server.run(&id);
        if body == POISON {
            thread::sleep(Duration::from_millis(30));
            if is_silent {
                server.go_dark();
            } else {
                server.end();
            }
            record.add(&format!("{id} has crashed {}", server.id));
            let (crashed, store, record) = (server.clone(), store.clone(), record.clone());
            thread::spawn(move || {
                thread::sleep(BACK_AFTER);
                if crashed.is_up() {
                    crashed.end();
                }
                crashed.start_again(handler(&store, &record, is_silent));
                crashed.beat(&store, "ready");
                record.add(&format!("{} is back", crashed.id));
            });
            server.stay_dark();
            return false;
        }
        thread::sleep(Duration::from_millis(150));
        if server.is_dark() {
            server.stay_dark();
            return false;
        }
        let answer =
            format!("HTTP/1.1 200 OK\r\n{}content-length: 2\r\n\r\nok", server.signed(&id));
        server.is_up() && conn.send(answer.as_bytes()).is_ok()
    })
}

pub fn run(bed: &Bed) -> i32 {
    let store = Store::start(bed.listener(1));
    let route = format!(
        r#"{{"name":"post","host":"ficu95.example","pathPrefix":"/post/","kind":"unsafe","timeoutMs":{DEADLINE_MS},"targetLatencyMs":300,"priority":0,"backend":"desk","maxAttempts":1}}"#
    );
    store.put("keyed.op", "config", Some(config(3, &[route]).as_bytes()));
    let servers: Vec<Server> = (1..=SERVERS)
        .map(|n| {
            Server::start(
                &format!("i-{n}"),
                bed.listener(10 + n),
                6,
                &bed.record,
                handler(&store, &bed.record, bed.trouble),
            )
        })
        .collect();
    for server in &servers {
        server.beat(&store, "ready");
    }
    let mut gateways = vec![
        Gateway::start(bed, 2, "edge-boa-viagem-1", "boa-viagem", &store),
        Gateway::start(bed, 3, "edge-boa-viagem-2", "boa-viagem", &store),
    ];
    gateways.iter().for_each(|gateway| gateway.await_ready(bed));
    // The gateways hear each other.
    thread::sleep(Duration::from_millis(1_500));
    let zero = bed.record.seconds(Instant::now());
    let stopped = Arc::new(AtomicBool::new(false));
    for server in &servers {
        let (server, store, stopped) = (server.clone(), store.clone(), Arc::clone(&stopped));
        thread::spawn(move || {
            while !stopped.load(Ordering::SeqCst) {
                if server.is_up() && !server.is_dark() {
                    server.beat(&store, "ready");
                }
                thread::sleep(HEARTBEAT);
            }
        });
    }
    let fronts: Vec<_> = gateways.iter().map(|gateway| gateway.front).collect();
    let numbers = Arc::new(AtomicU64::new(0));
    let lost = Arc::new(Mutex::new(Vec::new()));
    let mut clients: Vec<_> = (0..CLIENTS)
        .map(|client| {
            let (numbers, stopped, lost) =
                (Arc::clone(&numbers), Arc::clone(&stopped), Arc::clone(&lost));
            let (record, front) = (bed.record.clone(), fronts[client % fronts.len()]);
            thread::spawn(move || {
                while !stopped.load(Ordering::SeqCst) {
                    let id = format!("r-{}", numbers.fetch_add(1, Ordering::SeqCst));
                    let body = format!("posting {id}");
                    let end = ask(
                        front,
                        &request("/post/1", &id, DEADLINE_MS, "", body.as_bytes()),
                        Duration::from_millis(DEADLINE_MS),
                    );
                    if end.status() != 200 {
                        record.add(&format!("client gets for {id}: {}", end.text()));
                    }
                    if end.status() == 502 || end.status() == 504 {
                        lost.lock().unwrap().push(id);
                    }
                    thread::sleep(Duration::from_millis(40));
                }
            })
        })
        .collect();
    // The client of the poison takes the gateways in turn.
    clients.push({
        let (record, stopped, fronts) = (bed.record.clone(), Arc::clone(&stopped), fronts.clone());
        thread::spawn(move || {
            for number in 0.. {
                if stopped.load(Ordering::SeqCst) {
                    return;
                }
                let id = format!("poison-{number}");
                record.add(&format!("client sends {id}"));
                let end = ask(
                    fronts[number % fronts.len()],
                    &request("/post/9", &id, DEADLINE_MS, "", POISON),
                    Duration::from_millis(DEADLINE_MS),
                );
                record.add(&format!("client gets for {id}: {}", end.text()));
                thread::sleep(COMES_AGAIN);
            }
        })
    });
    bed.record.until(zero + STOP_AT);
    stopped.store(true, Ordering::SeqCst);
    for client in clients {
        let _ = client.join();
    }
    if gateways.iter_mut().any(Gateway::has_ended) {
        bed.record.say("a gateway has ended by itself");
        return 2;
    }
    let mut runs: Vec<_> = servers
        .iter()
        .flat_map(|server| server.arrivals.lock().unwrap().iter().cloned().collect::<Vec<_>>())
        .filter(|arrival| arrival.id.starts_with("poison-"))
        .collect();
    runs.sort_by_key(|arrival| arrival.at);
    let Some(third) = runs.get(2).map(|run| run.at) else {
        bed.record.say("the request has crashed fewer than three servers");
        return 2;
    };
    let counted: Vec<_> = runs.iter().filter(|run| run.at > third + STABLE_WINDOW).collect();
    for run in &counted {
        bed.record.say(&format!(
            "{} reached a server at {:.3} s",
            run.id,
            bed.record.seconds(run.at)
        ));
    }
    let ids: HashSet<&str> = runs.iter().map(|run| run.id.as_str()).collect();
    bed.record.say(&format!(
        "the request crashed its third server at {:.3} s; it reached servers {} times in all ({} tries), {} times later than 3 s after that; other requests answered 502 or 504: {}",
        bed.record.seconds(third), runs.len(), ids.len(), counted.len(), lost.lock().unwrap().len()
    ));
    i32::from(counted.len() > MOST_RETRIES)
}
