//! A request that crashes its servers comes again after all daemons were killed at the same moment.

use std::time::Duration;

use super::{Load, Verdict, config, sleep, tenant, text};
use crate::client::{self, Request};
use crate::fleet::Fleet;
use crate::http::Message;
use crate::record::Record;
use crate::server::{Action, Servers};
use crate::store::Store;

/// Body of the request that crashes its servers.
const POISON: &str = "amount 1e999";
/// `stableWindowMs`, in seconds.
const STABLE_WINDOW: f64 = 3.0;
/// Largest number of later retries that reach servers.
const MAX_RETRIES: usize = 3;
/// Pause between two attempts of the client, in seconds: the servers are back meanwhile.
const PAUSE: f64 = 2.5;
/// Seconds for which the client tries again after the third crash.
const RETRY_TIME: f64 = 70.0;

pub fn run(record: &Record, fleet: &Fleet, trouble: bool) -> Verdict {
    let store = Store::start().map_err(text)?;
    let tenants = tenant("hule930", "key-1", 0);
    store.put("keyed.op", "config", config(3, &tenants).as_bytes());
    let servers = Servers::new(&store, record);
    let act = |request: &Message| {
        if request.body == POISON.as_bytes() {
            Action::Crash
        } else {
            Action::Run(Duration::from_millis(150), "200 OK")
        }
    };
    for zone in ["boa-viagem", "santo-amaro", "olinda"] {
        servers.start("client-desk", "v1", zone, act).map_err(text)?;
    }
    for zone in ["boa-viagem", "santo-amaro"] {
        fleet.add(store.address, zone, "").map_err(text)?;
    }
    for daemon in 0..2 {
        fleet.await_ready(daemon)?;
    }
    sleep(4.0);
    let fronts = [fleet.front(0), fleet.front(1)];
    let load = Load::start(record, &fronts, 4, 10.0, "/credit/", "key-1", "", 0);
    sleep(1.0);
    let crashes = || -> Vec<f64> {
        servers.runs().iter().filter(|run| run.status == 0).map(|run| run.at).collect()
    };
    let (mut attempt, mut third, mut killed, mut in_touch) = (0, None, false, 0.0);
    loop {
        let now = record.now();
        if third.is_none() {
            third = crashes().get(2).copied();
        }
        if third.is_some_and(|third| now > third + RETRY_TIME) {
            break;
        }
        if attempt > 12 && third.is_none() {
            return Err("the request hasn't crashed three servers".to_owned());
        }
        if third.is_some() && trouble && !killed {
            killed = true;
            record.line("both daemons are killed at the same moment");
            fleet.kill(0);
            fleet.kill(1);
            sleep(1.0);
            for daemon in 0..2 {
                fleet.start(daemon).map_err(text)?;
            }
            for daemon in 0..2 {
                fleet.await_ready(daemon)?;
            }
            record.line("both daemons are ready");
            sleep(STABLE_WINDOW + 1.0);
            in_touch = record.now();
        }
        let id = format!("p{attempt:07x}");
        let request = Request {
            path: "/credit/poison",
            id: &id,
            key: "key-1",
            headers: "",
            deadline_ms: 1_500,
            body: POISON,
        };
        let front = fronts[attempt % 2];
        let status = client::ask(front, &request).map_or(0, |it| it.status());
        record.line(&format!("client {id} to {front}: crashing request, answer {status}"));
        attempt += 1;
        sleep(PAUSE);
    }
    let answers = load.stop();
    let third = third.unwrap_or_default();
    let since = (third + STABLE_WINDOW).max(in_touch);
    let later = crashes().iter().filter(|at| **at > since).count();
    let lost = answers.iter().filter(|answer| {
        answer.sent > since && matches!(answer.status, 0 | 502 | 504)
    });
    record.line(&format!(
        "third crash at {third:.3}; from {since:.3} on {later} retries reached servers, of {attempt} \
         attempts; {} other requests sent since then ended without an answer of their server, of {} \
         in all",
        lost.count(),
        answers.len()
    ));
    Ok(later <= MAX_RETRIES)
}
