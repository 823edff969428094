//! A server leaves without reporting that it drains; then the store comes back from an older copy,
//! which lists it as ready.

use std::thread::sleep;
use std::time::{Duration, Instant};

use crate::bed::{Bed, LIMITS, TENANT, config};
use crate::client::{Load, is_served};
use crate::server::{Server, Spec};

/// A stream that runs once at most, and may not be resumed.
const ROUTE: &str = r#"{"name":"r-note","host":"desk.example","pathPrefix":"/stream/","kind":"streaming","timeoutMs":5000,"targetLatencyMs":300,"priority":1,"backend":"writer","maxAttempts":1,"allowAnonymous":false,"sessionAffinity":true,"streamResume":false,"targetGapMs":250}"#;
/// Age of the copy from which the store comes back.
const COPY_AGE: Duration = Duration::from_secs(3);
/// Time for which the store is away in the drill.
const AWAY: Duration = Duration::from_millis(500);
/// Time from the removal of the record to the drill.
const DRILL_AFTER: Duration = Duration::from_secs(1);
/// `drainMs`.
const DRAIN: Duration = Duration::from_millis(2_000);
/// Time for which the server goes on serving: `drainMs` and a little longer, at times many seconds.
const SERVES: Duration = Duration::from_millis(5_500);
/// Three heartbeat intervals of silence, after which a record is removed.
const LAPSE: Duration = Duration::from_millis(3_600);

pub fn run() -> ! {
    let mut bed = Bed::start();
    bed.store.change(|state| state.era = Some(1));
    bed.store.put("keyed.op", "config", &config(7, ROUTE, LIMITS, TENANT));
    let servers: Vec<Server> = (0..4)
        .map(|number| {
            let id = format!("i-writer-{number}");
            let spec = Spec {
                id: &id,
                ip: bed.server_ip(number),
                backend: "writer",
                version: "v1",
                work: Duration::from_millis(700),
                events: (14, Duration::from_millis(100)),
            };
            Server::start(&spec, &bed.store, &bed.record)
        })
        .collect();
    for number in 1..=2 {
        bed.start_gateway(number);
    }
    for number in 1..=2 {
        bed.await_ready(number);
    }
    let fronts = (1..=2).map(|number| bed.gateway(number).front()).collect();
    let deadline = Duration::from_millis(5_000);
    let record = bed.record.clone();
    let load = Load::start(fronts, "POST", &["/stream/"], "n", 9.0, deadline, &record);
    sleep(Duration::from_secs(6) - COPY_AGE + DRILL_AFTER);
    let copy = bed.store.copy();
    sleep(COPY_AGE - DRILL_AFTER);

    // The server leaves; the store's answer to that is the acknowledgement.
    let left = Instant::now();
    servers[0].leave_silently();
    sleep(DRILL_AFTER);
    if bed.trouble {
        bed.record.line("store: away; its copy is 3 s old");
        bed.store.drill(copy, AWAY);
        bed.record.line("store: back, era 2");
        for server in &servers[1..] {
            server.beat();
        }
        bed.store.put("keyed.op", "config", &config(7, ROUTE, LIMITS, TENANT));
        let (store, record, id) = (bed.store.clone(), record.clone(), servers[0].id().to_owned());
        std::thread::spawn(move || {
            sleep(LAPSE);
            store.remove("keyed.servers", &id);
            record.line(&format!("store: the record of {id} has lapsed"));
        });
    }
    sleep(SERVES.saturating_sub(left.elapsed()));
    servers[0].stop();
    sleep(Duration::from_secs(2));
    let asked = load.stop();
    let late: Vec<_> = servers[0].runs().into_iter().filter(|run| run.at > left + DRAIN).collect();
    let lost = late
        .iter()
        .filter(|run| asked.iter().any(|one| one.id == run.request && !is_served(one)))
        .count();
    let verdict = format!(
        "DRAIN: {} requests reached the server later than drainMs after its leaving was acknowledged, \
         {lost} of them were cut when it ended; {} of {} served",
        late.len(),
        asked.iter().filter(|one| is_served(one)).count(),
        asked.len()
    );
    bed.finish(!late.is_empty(), &verdict)
}
