//! Servers lose part of their answers for a few seconds. Requests that are sent again and again, as
//! those of a wallboard, are refused long after.

use std::thread::sleep;
use std::time::{Duration, Instant};

use crate::bed::{Bed, LIMITS, TENANT, config};
use crate::client::{Asked, Load, is_served};
use crate::server::{Server, Spec};

const FIRST: &str = r#"{"name":"r-read","host":"desk.example","pathPrefix":"/read/","kind":"safe","timeoutMs":1500,"targetLatencyMs":150,"priority":2,"backend":"desk","maxAttempts":2,"allowAnonymous":false,"sessionAffinity":false,"streamResume":false}"#;
const LATER: &str = r#"{"name":"r-board","host":"desk.example","pathPrefix":"/board/","kind":"safe","timeoutMs":1500,"targetLatencyMs":150,"priority":2,"backend":"desk","maxAttempts":2,"allowAnonymous":false,"sessionAffinity":false,"streamResume":false}"#;
/// What the later route's callers ask for.
const BOARDS: &[&str] = &["/board/today"];
/// Share of the answers that are lost, in thousandths, at all servers.
const LOST: u64 = 450;
/// Time for which they are lost.
const TROUBLE: Duration = Duration::from_secs(4);
/// `stableWindowMs` and more, after which the state is steady again.
const CALM: Duration = Duration::from_secs(6);
/// Time in which it is judged.
const JUDGED: Duration = Duration::from_secs(45);

pub fn run() -> ! {
    let mut bed = Bed::start();
    bed.store.put("keyed.op", "config", &config(7, FIRST, LIMITS, TENANT));
    let servers: Vec<Server> = (0..4)
        .map(|number| {
            let id = format!("i-desk-{number}");
            let spec = Spec {
                id: &id,
                ip: bed.server_ip(number),
                backend: "desk",
                version: "v1",
                work: Duration::from_millis(30),
                events: (0, Duration::ZERO),
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
    let record = bed.record.clone();
    let fronts: Vec<_> = (1..=2).map(|number| bed.gateway(number).front()).collect();
    let deadline = Duration::from_millis(1_500);
    let first = Load::start(fronts.clone(), "GET", &["/read/"], "f", 30.0, deadline, &record);
    sleep(Duration::from_secs(3));
    bed.store.put("keyed.op", "config", &config(8, &format!("{FIRST},{LATER}"), LIMITS, TENANT));
    record.line("operator: config 8 adds the route r-board");
    sleep(Duration::from_secs(3));
    // An open connection stays with its daemon, and a client's connections go to the same one.
    let later = Load::start(fronts[..1].to_vec(), "GET", BOARDS, "b", 15.0, deadline, &record);
    sleep(Duration::from_secs(4));

    let before = Instant::now();
    if bed.trouble {
        record.line("all servers lose 45 of 100 answers");
        servers.iter().for_each(|server| server.set_failing(LOST));
    }
    sleep(TROUBLE);
    servers.iter().for_each(|server| server.set_failing(0));
    record.line("the servers are sound again");
    sleep(CALM);
    let calm = Instant::now();
    sleep(JUDGED);
    let (first, later) = (first.stop(), later.stop());
    let share = |asked: &[Asked], from: Instant, to: Option<Instant>| {
        let sent: Vec<_> = asked
            .iter()
            .filter(|one| one.sent >= from && to.is_none_or(|to| one.sent < to))
            .collect();
        (sent.iter().filter(|one| is_served(one)).count(), sent.len())
    };
    let start = before - Duration::from_secs(4);
    let (later_before, later_sent_before) = share(&later, start, Some(before));
    let (first_served, first_sent) = share(&first, calm, None);
    let (later_served, later_sent) = share(&later, calm, None);
    let end = Instant::now() - JUDGED / 4;
    let (last_served, last_sent) = share(&later, end, None);
    let verdict = format!(
        "CONFIG: in steady state, from {} s after the servers were sound again, {later_served} of \
         {later_sent} requests on the later route served and {first_served} of {first_sent} on the \
         first one; before the trouble {later_before} of {later_sent_before}; at the end \
         {last_served} of {last_sent}",
        CALM.as_secs()
    );
    let as_often = later_served as f64 * first_sent as f64;
    let broken = later_sent >= 20 && as_often * 4.0 < first_served as f64 * later_sent as f64;
    bed.finish(broken, &verdict)
}
