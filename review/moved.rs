//! A drill of the store takes back the record of a finished roll-out, and all processes are killed.

use std::thread::sleep;
use std::time::{Duration, Instant};

use crate::bed::{Bed, LIMITS, TENANT, config};
use crate::client::{Load, is_served};
use crate::server::{Server, Spec};

const ROUTE: &str = r#"{"name":"r-read","host":"desk.example","pathPrefix":"/read/","kind":"safe","timeoutMs":1500,"targetLatencyMs":150,"priority":0,"backend":"desk","maxAttempts":2,"allowAnonymous":false,"sessionAffinity":false,"streamResume":false}"#;
const ORDER: &str = r#"{"backend":"desk","target":"v2","stepS":12}"#;
const STATUS_KEY: &str = "rollout/desk";
/// Age of the copy from which the store comes back.
const COPY_AGE: Duration = Duration::from_secs(4);
/// Time for which the store is away in the drill.
const AWAY: Duration = Duration::from_millis(500);
/// Time from the recorded end to the fault.
const FAULT_AFTER: Duration = Duration::from_millis(1_500);
/// Time for which the processes are down.
const DOWN: Duration = Duration::from_millis(1_300);
/// `recoveryS`.
const RECOVERY: Duration = Duration::from_secs(12);
/// Time after three heartbeat intervals of silence at which a record is removed.
const LAPSE: Duration = Duration::from_millis(3_600);
const GATEWAYS: std::ops::RangeInclusive<u8> = 1..=3;

fn is_on(name: &str) -> bool {
    std::env::var(name).map_or(true, |value| value != "0")
}

pub fn run() -> ! {
    let mut bed = Bed::start();
    let (drill, kill) = (bed.trouble && is_on("DRILL"), bed.trouble && is_on("KILL"));
    bed.record.line(&format!("drill: {drill}, kill of all processes: {kill}"));
    bed.store.change(|state| state.era = Some(1));
    bed.store.put("keyed.op", "config", &config(7, ROUTE, LIMITS, TENANT));
    let start = |bed: &Bed, number: u8, version: &str| {
        let id = format!("i-{version}-{number}");
        let spec = Spec {
            id: &id,
            ip: bed.server_ip(number),
            backend: "desk",
            version,
            work: Duration::from_millis(20),
            events: (0, Duration::ZERO),
        };
        Server::start(&spec, &bed.store, &bed.record)
    };
    let old: Vec<Server> = (0..3).map(|number| start(&bed, number, "v1")).collect();
    for number in GATEWAYS {
        bed.start_gateway(number);
    }
    for number in GATEWAYS {
        bed.await_ready(number);
    }
    let fronts: Vec<_> = GATEWAYS.map(|number| bed.gateway(number).front()).collect();
    let deadline = Duration::from_millis(1_500);
    let load = Load::start(fronts, "GET", &["/read/"], "q", 90.0, deadline, &bed.record.clone());
    sleep(Duration::from_secs(4));

    // The new servers start beside the old ones, and the operator orders the move.
    let new: Vec<Server> = (10..13).map(|number| start(&bed, number, "v2")).collect();
    bed.store.put("keyed.op", STATUS_KEY, ORDER);
    bed.record.line("operator: op/rollout/desk to v2, stepS 12");
    let mut copies = std::collections::VecDeque::new();
    let ordered = Instant::now();
    loop {
        copies.push_back((Instant::now(), bed.store.copy()));
        let status = bed.store.get("keyed.status", STATUS_KEY).unwrap_or_default();
        if status.contains("succeeded") {
            bed.record.line(&format!("store: status/rollout/desk = {status}"));
            break;
        }
        if ordered.elapsed() > Duration::from_secs(20) || status.contains("rolled_back") {
            eprintln!("the move of a good version did not succeed: {status}");
            bed.stop();
            std::process::exit(crate::bed::NOT_RUN);
        }
        sleep(Duration::from_millis(100));
    }
    // At `succeeded` the old servers stop immediately.
    for server in &old {
        server.stop();
        bed.store.remove("keyed.servers", server.id());
    }
    sleep(FAULT_AFTER);
    let before = Instant::now();
    if kill {
        for number in GATEWAYS {
            bed.kill_gateway(number);
        }
    }
    if drill {
        let copy = copies.iter().rev().find(|(at, _)| at.elapsed() >= COPY_AGE);
        let (at, copy) = copy.or(copies.front()).cloned().expect("a copy");
        bed.record.line(&format!("store: away; its copy is {} ms old", at.elapsed().as_millis()));
        bed.store.drill(copy, AWAY);
        bed.record.line("store: back, era 2");
        // What lives writes its records again, the operator too.
        for server in &new {
            server.beat();
        }
        bed.store.put("keyed.op", "config", &config(7, ROUTE, LIMITS, TENANT));
        bed.store.put("keyed.op", STATUS_KEY, ORDER);
        let (store, record) = (bed.store.clone(), bed.record.clone());
        let gone: Vec<String> = old.iter().map(|server| server.id().to_owned()).collect();
        std::thread::spawn(move || {
            sleep(LAPSE);
            for id in gone {
                store.remove("keyed.servers", &id);
            }
            record.line("store: the records of the old servers have lapsed");
        });
    }
    sleep(DOWN.saturating_sub(before.elapsed()));
    if kill {
        for number in GATEWAYS {
            bed.start_gateway(number);
        }
    }
    let back = Instant::now();
    bed.record.line("the machines are back");
    let mut last = String::new();
    let mut drained = false;
    while back.elapsed() < RECOVERY + Duration::from_secs(12) {
        let status = bed.store.get("keyed.status", STATUS_KEY).unwrap_or_default();
        if status != last {
            bed.record.line(&format!("store: status/rollout/desk = {status}"));
            last.clone_from(&status);
        }
        // At `rolled_back` the new servers drain some seconds later.
        if status.contains("rolled_back") && !drained {
            drained = true;
            let new = new.clone();
            std::thread::spawn(move || {
                sleep(Duration::from_secs(4));
                new.iter().for_each(Server::drain);
            });
        }
        sleep(Duration::from_millis(100));
    }
    let asked = load.stop();
    let share = |from: Instant, to: Instant| {
        let sent: Vec<_> = asked.iter().filter(|one| one.sent >= from && one.sent < to).collect();
        let served = sent.iter().filter(|one| is_served(one)).count();
        (served, sent.len())
    };
    let (served_before, sent_before) = share(ordered, before);
    let (served, sent) = share(back + RECOVERY, Instant::now());
    let verdict = format!(
        "RECOVER: before the fault {served_before} of {sent_before} served, later than recoveryS \
         after it {served} of {sent}; status/rollout/desk = {last}"
    );
    let broken = served_before * 4 >= sent_before && served * 4 < sent;
    bed.finish(broken, &verdict)
}
