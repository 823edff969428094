//! Many users come at once, and each keeps its connection open after one long request.

use std::io::ErrorKind;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

use super::{Verdict, config, sleep, tenant, text};
use crate::client::{Kept, Request};
use crate::fleet::{Fleet, MEMORY_LIMIT};
use crate::record::Record;
use crate::server::{Action, Servers};
use crate::store::Store;

/// Users that come at most, and how many come without the disruption. The daemon has 4,000 descriptors for
/// sockets.
const USERS: usize = 3_700;
const USUAL_USERS: usize = 320;
/// Users that come in a second: the sheet's requests a second, divided among its daemons.
const USERS_PER_S: f64 = 70.0;
/// Bytes of a request's body: the largest on the sheet.
const BODY_BYTES: usize = 100_000;
/// Clients that send one call after the other on kept connections.
const CALLERS: usize = 20;
/// Calls that are passed on and then end with a closed connection, at most.
const MAX_LOST: usize = 3;

pub fn run(record: &Record, fleet: &Fleet, trouble: bool) -> Verdict {
    let store = Store::start().map_err(text)?;
    let tenants = tenant("hule930", "key-1", 0);
    store.put("keyed.op", "config", config(3, &tenants).as_bytes());
    let servers = Servers::new(&store, record);
    let run = |request: &crate::http::Message| {
        let is_call = request.word(1).starts_with("/credit/");
        Action::Run(Duration::from_millis(if is_call { 300 } else { 5 }), "200 OK")
    };
    for zone in ["boa-viagem", "santo-amaro", "olinda"] {
        servers.start("client-desk", "v1", zone, run).map_err(text)?;
    }
    let daemon = fleet.add(store.address, "boa-viagem", "").map_err(text)?;
    fleet.await_ready(daemon)?;
    sleep(4.0);
    let front = fleet.front(daemon);
    let stopped = Arc::new(AtomicBool::new(false));
    let numbers = Arc::new(AtomicU64::new(0));
    let lost = Arc::new(Mutex::new(Vec::new()));
    for _ in 0..CALLERS {
        let (record, stopped) = (record.clone(), Arc::clone(&stopped));
        let (numbers, lost) = (Arc::clone(&numbers), Arc::clone(&lost));
        thread::spawn(move || {
            let mut kept: Option<Kept> = None;
            while !stopped.load(Ordering::SeqCst) {
                let id = format!("{:08x}", numbers.fetch_add(1, Ordering::SeqCst));
                let path = format!("/credit/{id}");
                let request = Request {
                    path: &path,
                    id: &id,
                    key: "key-1",
                    headers: "",
                    deadline_ms: 1_500,
                    body: "amount 3",
                };
                if kept.is_none() {
                    kept = Kept::open(front).ok();
                }
                let Some(open) = &mut kept else {
                    sleep(0.2);
                    continue;
                };
                match open.ask(&request) {
                    Ok(answer) => record.line(&format!("client {id}: answer {}", answer.status())),
                    // The client has left; the connection was not closed on it.
                    Err(error)
                        if matches!(error.kind(), ErrorKind::WouldBlock | ErrorKind::TimedOut) =>
                    {
                        record.line(&format!("client {id}: no answer in time"));
                        kept = None;
                    }
                    Err(error) => {
                        record.line(&format!("client {id}: the connection ends: {error}"));
                        lost.lock().unwrap().push(id);
                        kept = None;
                    }
                }
            }
        });
    }
    // The platform kills a process that exceeds its memory, and starts it again.
    let kills = Arc::new(AtomicU64::new(0));
    let (own_record, own_fleet) = (record.clone(), fleet.clone());
    let (own_stopped, own_kills) = (Arc::clone(&stopped), Arc::clone(&kills));
    thread::spawn(move || {
        while !own_stopped.load(Ordering::SeqCst) {
            if let Some(memory) = own_fleet.memory(daemon).filter(|bytes| *bytes > MEMORY_LIMIT) {
                own_record.line(&format!("the daemon has {memory} bytes and is killed"));
                own_fleet.kill(daemon);
                own_kills.fetch_add(1, Ordering::SeqCst);
                sleep(0.5);
                let _ = own_fleet.start(daemon);
            }
            sleep(0.05);
        }
    });
    sleep(2.0);
    let users = if trouble { USERS } else { USUAL_USERS };
    let body = "x".repeat(BODY_BYTES);
    let (mut open, mut served) = (Vec::new(), 0);
    let begun = record.now();
    for number in 0..users {
        let id = format!("u{number:07x}");
        let request = Request {
            path: "/archive/1",
            id: &id,
            key: "key-1",
            headers: "",
            deadline_ms: 1_500,
            body: &body,
        };
        let mut kept = match Kept::open(front) {
            Ok(kept) => kept,
            Err(_) => continue,
        };
        if kept.ask(&request).is_ok_and(|answer| answer.status() == 200) {
            served += 1;
            open.push(kept);
        }
        if number % 200 == 199 {
            record.line(&format!(
                "{served} users served, their connections open; the daemon has {:?} bytes",
                fleet.memory(daemon)
            ));
        }
        if kills.load(Ordering::SeqCst) > 0 {
            break;
        }
        sleep((begun + (number + 1) as f64 / USERS_PER_S - record.now()).max(0.0));
    }
    sleep(3.0);
    stopped.store(true, Ordering::SeqCst);
    sleep(1.0);
    if !trouble && served < USUAL_USERS / 2 {
        return Err("too few users were served".to_owned());
    }
    let runs = servers.runs();
    let lost = lost.lock().unwrap();
    let passed_on = lost.iter().filter(|id| runs.iter().any(|run| run.id == **id)).count();
    record.line(&format!(
        "{served} users were served, {} connections are open; kills: {}; calls on kept connections \
         that were passed on and ended without an answer: {passed_on}; allowed are {MAX_LOST}",
        open.len(),
        kills.load(Ordering::SeqCst)
    ));
    Ok(passed_on <= MAX_LOST)
}
