//! Roll-outs: the platform moves a service to servers of another version.

use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::Arc;
use std::time::Duration;

use super::{Load, Verdict, config, sleep, tenant, text};
use crate::fleet::Fleet;
use crate::http::Message;
use crate::record::Record;
use crate::client::LEFT;
use crate::server::{Action, Run, Server, Servers};
use crate::store::Store;

/// Zones of the servers of one version.
const ZONES: [&str; 6] =
    ["boa-viagem", "santo-amaro", "olinda", "boa-viagem", "santo-amaro", "olinda"];
/// `canaryShare` and `canarySlack`.
const CANARY_SHARE: f64 = 0.1;
const CANARY_SLACK: f64 = 50.0;
/// `rollbackMs`, in seconds.
const ROLLBACK: f64 = 5.0;
const STATUS_KEY: &str = "rollout/client-desk";

/// Returns what a server does that fails `percent` of its requests.
fn failing(percent: u64) -> impl Fn(&Message) -> Action + Send + Sync + 'static {
    let count = Arc::new(AtomicU64::new(0));
    move |_| {
        let number = count.fetch_add(1, Ordering::SeqCst);
        let fails = number * percent / 100 != (number + 1) * percent / 100;
        let status = if fails { "500 Internal Server Error" } else { "200 OK" };
        Action::Run(Duration::from_millis(30), status)
    }
}

/// A deployment with two daemons and three servers of version v1.
struct Setup {
    store: Store,
    servers: Servers,
    old: Vec<Server>,
    load: Load,
}

fn set_up(record: &Record, fleet: &Fleet, workers: usize, per_s: f64) -> Result<Setup, String> {
    let store = Store::start().map_err(text)?;
    let tenants = tenant("hule930", "key-1", 0);
    store.put("keyed.op", "config", config(3, &tenants).as_bytes());
    let servers = Servers::new(&store, record);
    let old = start(&servers, "v1", 0)?;
    for zone in ["boa-viagem", "santo-amaro"] {
        fleet.add(store.address, zone, "").map_err(text)?;
    }
    for daemon in 0..2 {
        fleet.await_ready(daemon)?;
    }
    sleep(4.0);
    let fronts = [fleet.front(0), fleet.front(1)];
    let load = if per_s > 0.0 {
        Load::start(record, &fronts, workers, per_s, "/credit/", "key-1", "", 0)
    } else {
        Load::start(record, &fronts, workers, 10.0, "/moodnote/", "key-1", "", 0)
    };
    sleep(4.0);
    Ok(Setup { store, servers, old, load })
}

fn start(servers: &Servers, version: &'static str, percent: u64) -> Result<Vec<Server>, String> {
    let act = || {
        let (plain, streams) = (failing(percent), streaming(0));
        move |request: &Message| {
            if request.word(1).starts_with("/moodnote/") { streams(request) } else { plain(request) }
        }
    };
    let start = |zone| servers.start("client-desk", version, zone, act());
    ZONES.into_iter().map(start).collect::<Result<_, _>>().map_err(text)
}

impl Setup {
    fn order(&self, record: &Record, version: &str, within_s: u64) -> f64 {
        let text = format!(
            "{{\"backend\":\"client-desk\",\"target\":\"{version}\",\"stepS\":{within_s}}}"
        );
        self.store.put("keyed.op", STATUS_KEY, text.as_bytes());
        record.line(&format!("the move to {version} within {within_s} s is ordered"));
        record.now()
    }

    /// Returns the state recorded of the move to a version.
    fn state(&self, version: &str) -> Option<&'static str> {
        let status = self.store.get("keyed.status", STATUS_KEY)?;
        let is_target = status.contains(&format!("\"target\":\"{version}\""));
        let states = ["running", "succeeded", "rolled_back"];
        states.into_iter().find(|state| is_target && status.contains(&format!("\"{state}\"")))
    }

    /// Waits for the end of the move to a version.
    fn await_end(&self, record: &Record, version: &str, until: f64) -> Option<&'static str> {
        while record.now() < until {
            if let Some(state @ ("succeeded" | "rolled_back")) = self.state(version) {
                record.line(&format!("status of the move to {version}: {state}"));
                return Some(state);
            }
            sleep(0.02);
        }
        None
    }

    /// Checks EXPOSURE for a bad version that was ordered at `ordered`.
    fn check(&self, record: &Record, version: &str, ordered: f64, deadline: f64) -> bool {
        let answers = self.load.stop();
        let runs = self.servers.runs();
        let in_time = |at: f64| at >= ordered && at <= deadline;
        let all = runs.iter().filter(|run| in_time(run.at)).count();
        let own = || runs.iter().filter(|run| run.version == version);
        let exposed = own().filter(|run| in_time(run.at)).count();
        let allowed = CANARY_SHARE * all as f64 + CANARY_SLACK;
        let is_bad = |run: &&Run| run.status >= 500 || run.first > FIRST_EVENT;
        let fiftieth = own().filter(is_bad).nth(49);
        let fiftieth = fiftieth.map(|run| run.at + run.first.as_secs_f64());
        let sent = |id: &str| answers.iter().find(|answer| answer.id == id).map(|it| it.sent);
        let late = fiftieth.map_or(0, |at| {
            own().filter(|run| sent(&run.id).is_some_and(|sent| sent > at + ROLLBACK)).count()
        });
        let failed = answers.iter().filter(|answer| answer.status >= 500).count();
        let left = answers.iter().filter(|answer| answer.status == LEFT).count();
        record.line(&format!(
            "between order and deadline {all} requests reached the service, {exposed} of them \
             {version}; allowed are {allowed:.0}. Its 50th bad answer: {fiftieth:.3?}; sent later \
             than {ROLLBACK} s after it: {late}. Answers with 5xx to clients: {failed}, streams that clients \
             left after a gap: {left}, of {}",
            answers.len()
        ));
        exposed as f64 <= allowed && late == 0
    }
}

/// A version that fails every request of one route, which has 4 in 100 requests of the service.
pub fn one_route(record: &Record, fleet: &Fleet, trouble: bool) -> Verdict {
    let setup = set_up(record, fleet, 8, 12.0)?;
    let fronts = [fleet.front(0), fleet.front(1)];
    let archive = Load::start(record, &fronts, 1, 4.0, "/archive/", "key-1", "", 0x1000_0000);
    sleep(4.0);
    let within = 16;
    let ordered = setup.order(record, "v2", within);
    let deadline = ordered + within as f64;
    let percent = if trouble { 100 } else { 0 };
    let act = move || {
        let archive = failing(percent);
        let others = failing(0);
        move |request: &Message| {
            if request.word(1).starts_with("/archive/") { archive(request) } else { others(request) }
        }
    };
    let start = |zone| setup.servers.start("client-desk", "v2", zone, act());
    ZONES.into_iter().map(start).collect::<Result<Vec<_>, _>>().map_err(text)?;
    let end = setup.await_end(record, "v2", deadline + 4.0);
    if end == Some("succeeded") {
        record.line("the servers of v1 stop");
        setup.old.iter().for_each(Server::leave);
    }
    sleep((deadline + 14.0 - record.now()).max(0.5));
    let failed = archive.stop();
    let count = failed.iter().filter(|answer| answer.sent > deadline);
    let bad = count.clone().filter(|answer| answer.status != 200).count();
    record.line(&format!(
        "requests of the route sent after the deadline: {}, of them without success: {bad}",
        count.count()
    ));
    let held = setup.check(record, "v2", ordered, deadline);
    // Without the disruption the version is good, and the rule doesn't bind.
    Ok(if trouble { held } else { end == Some("succeeded") })
}

/// Time to the first event of a stream, and how many times later some come at a bad version.
const FIRST_EVENT: Duration = Duration::from_millis(280);
const SLOWER: u32 = 8;

/// Returns what a server does that sends `percent` of its streams several times later.
fn streaming(percent: u64) -> impl Fn(&Message) -> Action + Send + Sync + 'static {
    let count = Arc::new(AtomicU64::new(0));
    move |_| {
        let number = count.fetch_add(1, Ordering::SeqCst);
        let is_late = number * percent / 100 != (number + 1) * percent / 100;
        Action::Stream(if is_late { FIRST_EVENT * SLOWER } else { FIRST_EVENT })
    }
}

/// A version with 40 in 100 answers that come eight times later, so that their clients leave.
pub fn slow_stream(record: &Record, fleet: &Fleet, trouble: bool) -> Verdict {
    let setup = set_up(record, fleet, 5, 0.0)?;
    let within = 16;
    let ordered = setup.order(record, "v2", within);
    let deadline = ordered + within as f64;
    let percent = if trouble { 40 } else { 0 };
    let start = |zone| setup.servers.start("client-desk", "v2", zone, streaming(percent));
    ZONES.into_iter().map(start).collect::<Result<Vec<_>, _>>().map_err(text)?;
    let end = setup.await_end(record, "v2", deadline + 4.0);
    if end == Some("succeeded") {
        record.line("the servers of v1 stop");
        setup.old.iter().for_each(Server::leave);
    }
    sleep((deadline + 8.0 - record.now()).max(0.5));
    let held = setup.check(record, "v2", ordered, deadline);
    Ok(if trouble { held } else { end == Some("succeeded") })
}

/// Returns what a server does that refuses `percent` of its requests, whatever its load.
fn refusing(percent: u64) -> impl Fn(&Message) -> Action + Send + Sync + 'static {
    let count = Arc::new(AtomicU64::new(0));
    move |_| {
        let number = count.fetch_add(1, Ordering::SeqCst);
        if number * percent / 100 == (number + 1) * percent / 100 {
            Action::Run(Duration::from_millis(30), "200 OK")
        } else {
            Action::Refuse
        }
    }
}

/// A version that refuses 40 in 100 of its requests although it is idle.
pub fn refusals(record: &Record, fleet: &Fleet, trouble: bool) -> Verdict {
    let setup = set_up(record, fleet, 8, 10.0)?;
    let within = 16;
    let ordered = setup.order(record, "v2", within);
    let deadline = ordered + within as f64;
    let percent = if trouble { 40 } else { 0 };
    let start = |zone| setup.servers.start("client-desk", "v2", zone, refusing(percent));
    ZONES.into_iter().map(start).collect::<Result<Vec<_>, _>>().map_err(text)?;
    let end = setup.await_end(record, "v2", deadline + 4.0);
    if end == Some("succeeded") {
        record.line("the servers of v1 stop");
        setup.old.iter().for_each(Server::leave);
    }
    sleep((deadline + 14.0 - record.now()).max(0.5));
    let held = setup.check(record, "v2", ordered, deadline);
    Ok(if trouble { held } else { end == Some("succeeded") })
}
