//! A server leaves and its record is removed; then one of its heartbeats is executed late.

use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::bed::{Bed, Gateway, config, request};
use crate::http::{End, ask};
use crate::server::{Handler, Server};
use crate::store::Store;

const DRAIN: Duration = Duration::from_millis(2_000);
const HEARTBEAT: Duration = Duration::from_millis(1_200);
const CLIENTS: usize = 18;
const DEADLINE_MS: u64 = 5_000;
/// Times in seconds after the gateway is ready.
const LEAVES_AT: f64 = 2.0;
/// Time of the last heartbeat of the leaving server.
const LAST_BEAT_AT: f64 = 2.5;
const UNLISTED_AT: f64 = 3.0;
/// Time at which the store executes the heartbeat if it doesn't at once.
const LATE_AT: f64 = 8.0;
const ENDS_AT: f64 = 10.0;
const STOP_AT: f64 = 13.0;

/// A stream: its first event after 300 ms, then nine more, each after 200 ms.
fn handler() -> Handler {
    Arc::new(|server, head, conn| {
        let id = head.id().to_owned();
        if conn.body(head, false, None).is_err() {
            return false;
        }
        server.run(&id);
        thread::sleep(Duration::from_millis(300));
        let start = format!(
            "HTTP/1.1 200 OK\r\n{}Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n",
            server.signed(&id)
        );
        if conn.send(start.as_bytes()).is_err() {
            return false;
        }
        for number in 1..=10 {
            let event = format!("id: {number}\ndata: part {number} of {id}\n\n");
            let chunk = format!("{:x}\r\n{event}\r\n", event.len());
            if conn.send(chunk.as_bytes()).is_err() {
                return false;
            }
            thread::sleep(Duration::from_millis(if number < 10 { 200 } else { 0 }));
        }
        conn.send(b"0\r\n\r\n").is_ok()
    })
}

struct Sent {
    id: String,
    at: Instant,
    /// Time of the answer's head at the client, if the answer states that its server leaves.
    told: Option<Instant>,
    end: End,
}

pub fn run(bed: &Bed) -> i32 {
    let store = Store::start(bed.listener(1));
    let route = r#"{"name":"note","host":"ficu95.example","pathPrefix":"/note/","kind":"streaming","timeoutMs":5000,"targetLatencyMs":400,"targetGapMs":400,"priority":0,"backend":"desk","maxAttempts":1,"streamResume":false}"#;
    store.put("keyed.op", "config", Some(config(3, &[route.to_owned()]).as_bytes()));
    let servers: Vec<Server> = (1..=3)
        .map(|n| Server::start(&format!("i-{n}"), bed.listener(10 + n), 9, &bed.record, handler()))
        .collect();
    for server in &servers {
        server.beat(&store, "ready");
    }
    let gateway = Gateway::start(bed, 2, "edge-boa-viagem-1", "boa-viagem", &store);
    gateway.await_ready(bed);
    let zero = bed.record.seconds(Instant::now());
    // The servers that stay write their records all the time.
    let stopped = Arc::new(AtomicBool::new(false));
    for server in &servers {
        let (server, store, stopped) = (server.clone(), store.clone(), Arc::clone(&stopped));
        thread::spawn(move || {
            while !stopped.load(Ordering::SeqCst) && !server.leaves.load(Ordering::SeqCst) {
                server.beat(&store, "ready");
                thread::sleep(HEARTBEAT);
            }
        });
    }
    let sent: Arc<Mutex<Vec<Sent>>> = Arc::default();
    let numbers = Arc::new(AtomicU64::new(0));
    let clients: Vec<_> = (0..CLIENTS)
        .map(|client| {
            let (sent, numbers, stopped) =
                (Arc::clone(&sent), Arc::clone(&numbers), Arc::clone(&stopped));
            let (record, front) = (bed.record.clone(), gateway.front);
            thread::spawn(move || {
                thread::sleep(Duration::from_millis(130) * client as u32);
                while !stopped.load(Ordering::SeqCst) {
                    let id = format!("r-{}", numbers.fetch_add(1, Ordering::SeqCst));
                    let at = Instant::now();
                    record.add(&format!("client sends {id}"));
                    let body = request("/note/1", &id, DEADLINE_MS, "", b"a note");
                    let end = ask(front, &body, Duration::from_millis(DEADLINE_MS));
                    let told = match &end {
                        End::Answer { head, .. } | End::Cut { head, .. } => {
                            head.get("server-leaving").is_some()
                        }
                        End::Nothing { .. } => false,
                    };
                    record.add(&format!(
                        "client gets for {id}: {}{}",
                        end.text(),
                        if told { ", its server leaves" } else { "" }
                    ));
                    sent.lock().unwrap().push(Sent { id, at, told: told.then(Instant::now), end });
                    thread::sleep(Duration::from_millis(50));
                }
            })
        })
        .collect();
    let leaving = &servers[2];
    bed.record.until(zero + LEAVES_AT);
    leaving.leaves.store(true, Ordering::SeqCst);
    bed.record.add("i-3 begins to leave: its answers say so");
    bed.record.until(zero + LAST_BEAT_AT);
    let last_beat = leaving.next_record("ready");
    if bed.trouble {
        bed.record.add("i-3 sends a heartbeat and gets no answer: it isn't executed yet");
    } else {
        store.put("keyed.servers", "i-3", Some(last_beat.as_bytes()));
        bed.record.add("i-3 sends a heartbeat, which is executed");
    }
    bed.record.until(zero + UNLISTED_AT);
    store.put("keyed.servers", "i-3", None);
    bed.record.add("the record of i-3 is removed");
    if bed.trouble {
        bed.record.until(zero + LATE_AT);
        store.put("keyed.servers", "i-3", Some(last_beat.as_bytes()));
        bed.record.add("the heartbeat of i-3 is executed");
        let (store, record) = (store.clone(), bed.record.clone());
        thread::spawn(move || {
            // The record of a server that stays silent is removed after three intervals.
            thread::sleep(HEARTBEAT * 3);
            store.put("keyed.servers", "i-3", None);
            record.add("the record of i-3, which was silent for three intervals, is removed");
        });
    }
    bed.record.until(zero + ENDS_AT);
    leaving.end();
    bed.record.add("i-3 ends");
    bed.record.until(zero + STOP_AT);
    stopped.store(true, Ordering::SeqCst);
    for client in clients {
        let _ = client.join();
    }
    let sent = sent.lock().unwrap();
    // The head came before the end of its answer, which the client notes: this is the later time.
    let Some(told) = sent.iter().filter_map(|sent| sent.told).min() else {
        bed.record.say("no answer said that i-3 leaves");
        return 2;
    };
    bed.record.say(&format!(
        "{} sent; the first answer that says that i-3 leaves had arrived whole at {:.3} s",
        sent.len(),
        bed.record.seconds(told)
    ));
    let arrivals = leaving.arrivals.lock().unwrap();
    let mut broken = 0;
    let mut lost = 0;
    for sent in sent.iter().filter(|sent| sent.at > told + DRAIN) {
        let Some(arrival) = arrivals.iter().find(|arrival| arrival.id == sent.id) else { continue };
        broken += 1;
        let is_lost = !matches!(sent.end, End::Answer { .. }) || sent.end.status() != 200;
        lost += u32::from(is_lost);
        bed.record.say(&format!(
            "{} was sent at {:.3} s, reached i-3 at {:.3} s; the client got: {}",
            sent.id,
            bed.record.seconds(sent.at),
            bed.record.seconds(arrival.at),
            sent.end.text()
        ));
    }
    bed.record.say(&format!("requests that reached i-3 too late: {broken}, of which lost: {lost}"));
    i32::from(broken > 0)
}
