//! All daemons start again while one topic of the store is down.

use std::time::Duration;

use super::{Load, Verdict, config, sleep, tenant, text};
use crate::fleet::Fleet;
use crate::record::Record;
use crate::server::{Action, Servers};
use crate::store::Store;

/// Limit of the tenant, in tokens per second, and its burst.
const RATE: u64 = 200_000;
/// Tokens of each request.
const TOKENS: u64 = 4_000;
const USAGE: &str = "Egretgate-Token-Usage: 3000,1000\r\n";
/// `quotaWindowS`, `quotaOverage` and `quotaSlack`.
const WINDOW: f64 = 8.0;
const OVERAGE: f64 = 0.1;
const SLACK: f64 = 190_000.0;
/// Time for which a part of the store is down, in seconds.
const DOWN_TIME: f64 = 4.5;

pub fn run(record: &Record, fleet: &Fleet, trouble: bool) -> Verdict {
    let store = Store::start().map_err(text)?;
    let tenants = tenant("hule930", "key-1", RATE);
    store.put("keyed.op", "config", config(3, &tenants).as_bytes());
    let servers = Servers::new(&store, record);
    let run = |_: &_| Action::Run(Duration::from_millis(5), "200 OK");
    let zones = ["boa-viagem", "santo-amaro", "olinda"];
    for zone in zones {
        servers.start("client-desk", "v1", zone, run).map_err(text)?;
    }
    for zone in zones.into_iter().chain(["boa-viagem"]) {
        fleet.add(store.address, zone, "").map_err(text)?;
    }
    for daemon in 0..4 {
        fleet.await_ready(daemon)?;
    }
    sleep(5.0);
    let fronts = [0, 1, 2, 3].map(|daemon| fleet.front(daemon));
    // Four times the limit.
    let load = Load::start(record, &fronts, 20, 10.0, "/credit/", "key-1", USAGE, 0);
    sleep(9.0);
    let down = record.now();
    store.set_down("keyed.entries", trouble);
    if trouble {
        record.line("the topic in which the daemons list themselves is down");
    }
    sleep(0.3);
    record.line("all daemons are killed at the same moment");
    (0..4).for_each(|daemon| fleet.kill(daemon));
    sleep(0.5);
    for daemon in 0..4 {
        fleet.start(daemon).map_err(text)?;
    }
    for daemon in 0..4 {
        fleet.await_ready(daemon)?;
    }
    record.line("all daemons are ready");
    sleep((down + DOWN_TIME - record.now()).max(0.0));
    store.set_down("keyed.entries", false);
    record.line("the store is whole");
    sleep(6.0);
    let answers = load.stop();
    let sent = |id: &str| answers.iter().find(|answer| answer.id == id).map(|it| it.sent);
    let mut runs: Vec<(f64, f64)> = servers
        .runs()
        .iter()
        .filter_map(|run| Some((sent(&run.id)?, run.at)))
        .collect();
    runs.sort_by(|a, b| a.0.total_cmp(&b.0));
    // Requests that are both sent and run in one window.
    let most = runs.iter().map(|(start, _)| {
        let in_window = |(sent, at): &&(f64, f64)| sent >= start && *at <= start + WINDOW;
        (runs.iter().filter(in_window).count(), *start)
    });
    let (most, start) = most.max_by_key(|(count, _)| *count).unwrap_or_default();
    let allowed = (RATE as f64 * WINDOW + RATE as f64) * (1.0 + OVERAGE) + SLACK;
    let tokens = (most as u64 * TOKENS) as f64;
    record.line(&format!(
        "most tokens in {WINDOW} s: {tokens:.0}, from {start:.3} on; allowed are {allowed:.0}"
    ));
    Ok(tokens <= allowed)
}
