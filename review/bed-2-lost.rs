//! All gateways are killed; one machine comes back, the others are lost for good.

use std::sync::atomic::{AtomicBool, AtomicU64, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::bed::{Bed, Gateway, config, request};
use crate::http::ask;
use crate::server::Server;
use crate::store::Store;

const HEARTBEAT: Duration = Duration::from_millis(1_200);
const DEADLINE_MS: u64 = 1_500;
const MACHINES: u8 = 7;
/// Limit of the tenant, in tokens: per second, and beyond that at once.
const RATE_PER_S: u64 = 4_000;
const BURST: u64 = 8_000;
/// Tokens of a request; the tenant's requests use nine tenths of its limit.
const TOKENS: u64 = 200;
const REQUESTS_PER_S: u64 = 18;
const CLIENTS: u64 = 9;
/// Times in seconds after the gateways are ready.
const COUNTED_FROM: f64 = 5.0;
const KILLED_AT: f64 = 20.0;
const BACK_AT: f64 = 21.3;
/// `recoveryS`.
const RECOVERY_S: f64 = 12.0;
const COUNTED_S: f64 = 30.0;

struct Sent {
    at: Instant,
    status: u16,
}

pub fn run(bed: &Bed) -> i32 {
    let store = Store::start(bed.listener(1));
    let route = format!(
        r#"{{"name":"post","host":"ficu95.example","pathPrefix":"/post/","kind":"unsafe","timeoutMs":{DEADLINE_MS},"targetLatencyMs":300,"priority":0,"backend":"desk","maxAttempts":1}}"#
    );
    let limits = format!(r#""ratePerS":{RATE_PER_S},"burst":{BURST}"#);
    let config = config(3, &[route]).replace(r#""ratePerS":0,"burst":0"#, &limits);
    store.put("keyed.op", "config", Some(config.as_bytes()));
    let stopped = Arc::new(AtomicBool::new(false));
    for n in 1..=3_u8 {
        let handler =
            Arc::new(|server: &Server, head: &crate::http::Head, conn: &mut crate::http::Conn| {
                let id = head.id().to_owned();
                if conn.body(head, false, None).is_err() {
                    return false;
                }
                server.run(&id);
                thread::sleep(Duration::from_millis(30));
                let answer =
                    format!("HTTP/1.1 200 OK\r\n{}content-length: 2\r\n\r\nok", server.signed(&id));
                conn.send(answer.as_bytes()).is_ok()
            });
        let server =
            Server::start(&format!("i-{n}"), bed.listener(30 + n), 6, &bed.record, handler);
        server.beat(&store, "ready");
        let (store, stopped) = (store.clone(), Arc::clone(&stopped));
        thread::spawn(move || {
            while !stopped.load(Ordering::SeqCst) {
                thread::sleep(HEARTBEAT);
                server.beat(&store, "ready");
            }
        });
    }
    let mut gateways: Vec<Gateway> = (1..=MACHINES)
        .map(|n| {
            let zone = ["boa-viagem", "santo-amaro", "olinda"][usize::from(n) % 3];
            Gateway::start(bed, 1 + n, &format!("edge-{zone}-{n}"), zone, &store)
        })
        .collect();
    gateways.iter().for_each(|gateway| gateway.await_ready(bed));
    let zero = bed.record.seconds(Instant::now());
    let fronts: Vec<_> = gateways.iter().map(|gateway| gateway.front).collect();
    // The platform forwards connections to gateways that are ready: to the first `ready` ones.
    let ready = Arc::new(AtomicUsize::new(fronts.len()));
    let numbers = Arc::new(AtomicU64::new(0));
    let sent: Arc<Mutex<Vec<Sent>>> = Arc::default();
    let clients: Vec<_> = (0..CLIENTS)
        .map(|client| {
            let (numbers, stopped, sent) =
                (Arc::clone(&numbers), Arc::clone(&stopped), Arc::clone(&sent));
            let (record, fronts, ready) = (bed.record.clone(), fronts.clone(), Arc::clone(&ready));
            let interval = Duration::from_micros(1_000_000 * CLIENTS / REQUESTS_PER_S);
            thread::spawn(move || {
                let start = Instant::now() + interval.mul_f64(client as f64 / CLIENTS as f64);
                for turn in 0_u32.. {
                    let at = start + interval * turn;
                    thread::sleep(at.saturating_duration_since(Instant::now()));
                    if stopped.load(Ordering::SeqCst) {
                        return;
                    }
                    let number = numbers.fetch_add(1, Ordering::SeqCst);
                    let id = format!("r-{number}");
                    let front = fronts[number as usize % ready.load(Ordering::SeqCst)];
                    let usage = format!("Egretgate-Token-Usage: {},{}\r\n", TOKENS - 50, 50);
                    let body = format!("posting {id}");
                    let bytes = request("/post/1", &id, DEADLINE_MS, &usage, body.as_bytes());
                    let at = Instant::now();
                    let end = ask(front, &bytes, Duration::from_millis(DEADLINE_MS));
                    record.add(&format!("client gets for {id}: {}", end.text()));
                    sent.lock().unwrap().push(Sent { at, status: end.status() });
                }
            })
        })
        .collect();
    bed.record.until(zero + KILLED_AT);
    gateways.iter_mut().for_each(Gateway::kill);
    bed.record.add("all gateways are killed");
    bed.record.until(zero + BACK_AT);
    let back = if bed.trouble { 1 } else { gateways.len() };
    ready.store(back, Ordering::SeqCst);
    gateways[..back].iter_mut().for_each(|gateway| gateway.spawn(bed));
    gateways[..back].iter().for_each(|gateway| gateway.await_ready(bed));
    let back_at = Instant::now();
    bed.record.add(&format!("{back} of {MACHINES} machines are back"));
    thread::sleep(Duration::from_secs_f64(RECOVERY_S + COUNTED_S));
    stopped.store(true, Ordering::SeqCst);
    for client in clients {
        let _ = client.join();
    }
    let sent = sent.lock().unwrap();
    let (from, killed) = (
        bed.record.start + Duration::from_secs_f64(zero + COUNTED_FROM),
        bed.record.start + Duration::from_secs_f64(zero + KILLED_AT - 0.2),
    );
    let recovered = back_at + Duration::from_secs_f64(RECOVERY_S);
    let share = |name: &str, counts: &dyn Fn(Instant) -> bool| {
        let counted: Vec<&Sent> = sent.iter().filter(|sent| counts(sent.at)).collect();
        let with = |status: u16| counted.iter().filter(|sent| sent.status == status).count();
        bed.record.say(&format!(
            "{name}: {} sent, {} answered 200, {} answered 429",
            counted.len(),
            with(200),
            with(429)
        ));
        with(200) as f64 / counted.len().max(1) as f64
    };
    let before = share("before the fault", &|at| at >= from && at < killed);
    let after = share("later than recoveryS after it", &|at| at >= recovered);
    if before < 0.25 {
        return 2;
    }
    i32::from(after < 0.25)
}
