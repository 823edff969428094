//! Measures how long a configuration change takes to reach every process, and the cost of idle
//! links.
//!
//! All processes run as tasks of this one program. The measured processor time and memory are those
//! of the entries and the side processes together: an upper bound for the side processes alone.

use std::net::SocketAddr;
use std::time::Duration;

use egretgate::Entry;
use egretgate::core::choice::Policy;
use egretgate::operator::Client;
use egretgate_fakes::instances::{Instance, Instances};
use egretgate_fakes::log::Log;
use egretgate_fakes::relay::Relay;
use egretgate_fakes::service::Service;
use egretside::Side;
use eyre::WrapErr;
use lexopt::{Arg, ValueExt};
use serde::Serialize;
use tokio::time::{Instant, sleep};

#[path = "support/start.rs"]
mod start;

const HELP: &str = "\
Measures how long changes take to reach every process, and the cost of idle links.

  --sides COUNT    side processes [default: 20]
  --entries COUNT  entries [default: 3]
  --changes COUNT  changes [default: 5]
  --teams COUNT    additional teams declared [default: 0]
  --rest SECONDS   duration of the idle measurement [default: 10]
  --json           print one line of JSON
  --help           print this text
";
/// Interval at which the entries' status is polled.
const POLL_INTERVAL: Duration = Duration::from_millis(5);
/// Longest time for a change to reach every process.
const CHANGE_TIMEOUT: Duration = Duration::from_secs(30);
/// Time for all links to connect and become idle.
const LINK_SETTLE_TIME: Duration = Duration::from_secs(5);
/// Teams declared in one change.
const TEAMS_PER_CHANGE: usize = 100;
/// Clock ticks per second in `/proc/self/stat`, the value of all common Linux builds.
const TICKS_PER_SECOND: f64 = 100.0;
/// Size of a memory page, the value of all common Linux builds.
const PAGE_BYTES: f64 = 4096.0;
const DECLARATIONS: &str = r#"
[tiers.brief]
rank = 0
[teams.atelier]
tier = "brief"
tiers = ["brief"]
[services.client-desk]
kind = "plain"
version = "v1"
[routes.notes]
service = "client-desk"
path = "/notes"
"#;

#[derive(Debug)]
struct Options {
    sides: usize,
    entries: usize,
    changes: usize,
    teams: usize,
    rest: u64,
    json: bool,
}

#[derive(Debug, Serialize)]
struct Report {
    sides: usize,
    entries: usize,
    teams: usize,
    /// Time from the request of each change until every process had applied it, in milliseconds.
    force_ms: Vec<f64>,
    /// Bytes per second that one side process sends while idle.
    sent: f64,
    /// Bytes per second that one side process receives while idle.
    received: f64,
    /// Fraction of one core that the program uses while idle.
    cpu: f64,
    /// Resident memory of the program while idle, in bytes.
    memory: f64,
}

#[tokio::main]
async fn main() -> eyre::Result<()> {
    let Some(options) = Options::read()? else {
        print!("{HELP}");
        return Ok(());
    };
    let report = measure(&options).await?;
    if options.json {
        println!("{}", serde_json::to_string(&report)?);
    } else {
        println!("{report:#?}");
    }
    Ok(())
}

impl Options {
    fn read() -> eyre::Result<Option<Self>> {
        let mut options =
            Self { sides: 20, entries: 3, changes: 5, teams: 0, rest: 10, json: false };
        let mut parser = lexopt::Parser::from_env();
        while let Some(arg) = parser.next()? {
            match arg {
                Arg::Long("sides") => options.sides = parser.value()?.parse()?,
                Arg::Long("entries") => options.entries = parser.value()?.parse()?,
                Arg::Long("changes") => options.changes = parser.value()?.parse()?,
                Arg::Long("teams") => options.teams = parser.value()?.parse()?,
                Arg::Long("rest") => options.rest = parser.value()?.parse()?,
                Arg::Long("json") => options.json = true,
                Arg::Long("help") | Arg::Short('h') => return Ok(None),
                other => return Err(other.unexpected()).wrap_err("see --help"),
            }
        }
        eyre::ensure!(options.entries > 0 && options.rest > 0, "nothing to measure");
        Ok(Some(options))
    }
}

async fn measure(options: &Options) -> eyre::Result<Report> {
    let (log, instances) = (Log::start().await?, Instances::start().await?);
    let service = Service::start().await?;
    let (mut sides, mut relays) = (Vec::new(), Vec::new());
    for index in 0..options.sides {
        let (side, relay) = start_side(index, service.address(), &instances).await?;
        sides.push(side);
        relays.push(relay);
    }
    let mut entries = Vec::new();
    for index in 0..options.entries {
        let name = format!("entry-{index}");
        entries.push(start::entry(&name, "olinda", &log, &instances, Policy::default()).await?);
    }
    start::declare(&entries, DECLARATIONS).await?;
    let mut clients = connect_operators(&entries).await?;
    add_teams(&mut clients[0], options.teams).await?;
    sleep(LINK_SETTLE_TIME).await;
    let mut force_ms = Vec::new();
    for index in 0..options.changes {
        force_ms.push(time_change(&mut clients, index, options.sides).await?.as_secs_f64() * 1e3);
    }
    let (sent, received, cpu) = measure_idle(&relays, Duration::from_secs(options.rest)).await?;
    let memory = resident_bytes()?;
    drop(sides);
    Ok(Report {
        sides: options.sides,
        entries: options.entries,
        teams: options.teams,
        force_ms,
        sent,
        received,
        cpu,
        memory,
    })
}

/// Starts a side process that entries reach through a relay, which counts the bytes.
async fn start_side(
    index: usize,
    service: SocketAddr,
    instances: &Instances,
) -> eyre::Result<(Side, Relay)> {
    let name = format!("desk-{index}");
    let side = start::side(&name, "olinda", "client-desk", "plain", service).await?;
    let relay = Relay::start(side.link_address()).await?;
    instances.set(Instance::new(name, "olinda", "client-desk", relay.address()));
    Ok((side, relay))
}

async fn connect_operators(entries: &[Entry]) -> eyre::Result<Vec<Client>> {
    let mut clients = Vec::new();
    for entry in entries {
        let client = Client::connect(entry.operator_address(), None).await;
        clients.push(client.map_err(|error| eyre::eyre!("{error}"))?);
    }
    Ok(clients)
}

/// Declares teams, `TEAMS_PER_CHANGE` in each change.
async fn add_teams(client: &mut Client, teams: usize) -> eyre::Result<()> {
    for first in (0..teams).step_by(TEAMS_PER_CHANGE) {
        let team = |index| format!("\n[teams.shop-{index}]\ntier = \"brief\"\nweight = 2\n");
        let added: String = (first..teams.min(first + TEAMS_PER_CHANGE)).map(team).collect();
        let request = start::addition(DECLARATIONS, &format!("{DECLARATIONS}{added}"))?;
        let reply = client.apply(request).await.map_err(|error| eyre::eyre!("{error}"))?;
        eyre::ensure!(reply.accepted, "teams refused: {:?}", reply.refusals);
    }
    Ok(())
}

/// Applies one change and returns the time until every entry reports it as applied by all
/// processes.
async fn time_change(clients: &mut [Client], index: usize, sides: usize) -> eyre::Result<Duration> {
    let text = format!("{DECLARATIONS}\n[teams.mills-{index}]\ntier = \"brief\"\n");
    let request = start::addition(DECLARATIONS, &text)?;
    let mut applier = clients[0].clone();
    let before = clients[0].status().await.map_err(|error| eyre::eyre!("{error}"))?.offset;
    let start_time = Instant::now();
    let applied = tokio::spawn(async move { applier.apply(request).await });
    for client in clients.iter_mut() {
        loop {
            let status = client.status().await.map_err(|error| eyre::eyre!("{error}"))?;
            let arrived = status.processes.iter().filter(|process| process.offset > before).count();
            if arrived > sides {
                break;
            }
            eyre::ensure!(
                start_time.elapsed() < CHANGE_TIMEOUT,
                "the change reached {arrived} of {} processes in time",
                sides + 1
            );
            sleep(POLL_INTERVAL).await;
        }
    }
    let took = start_time.elapsed();
    let reply = applied.await?.map_err(|error| eyre::eyre!("{error}"))?;
    eyre::ensure!(reply.accepted, "change refused: {:?}", reply.refusals);
    Ok(took)
}

/// Returns the bytes per second sent and received by a side process, and the fraction of a core
/// used, measured over `time`.
async fn measure_idle(relays: &[Relay], time: Duration) -> eyre::Result<(f64, f64, f64)> {
    let total = |read: fn(&Relay) -> u64| relays.iter().map(read).sum::<u64>();
    let (sent, received) = (total(Relay::bytes_from_target), total(Relay::bytes_to_target));
    let (cpu_before, start_time) = (cpu_seconds()?, Instant::now());
    sleep(time).await;
    let elapsed = start_time.elapsed().as_secs_f64();
    let per_side = |bytes: u64| bytes as f64 / elapsed / relays.len().max(1) as f64;
    let sent = per_side(total(Relay::bytes_from_target) - sent);
    let received = per_side(total(Relay::bytes_to_target) - received);
    Ok((sent, received, (cpu_seconds()? - cpu_before) / elapsed))
}

/// Returns the processor time used by this program.
fn cpu_seconds() -> eyre::Result<f64> {
    let stat = std::fs::read_to_string("/proc/self/stat")?;
    // User and system time are the 12th and 13th fields after the program name in parentheses.
    let (_, fields) =
        stat.rsplit_once(')').ok_or_else(|| eyre::eyre!("no program name in /proc/self/stat"))?;
    let times = fields.split_whitespace().skip(11).take(2);
    let ticks: f64 = times.map(str::parse::<f64>).sum::<Result<f64, _>>()?;
    Ok(ticks / TICKS_PER_SECOND)
}

/// Returns the resident memory of this program.
fn resident_bytes() -> eyre::Result<f64> {
    let statm = std::fs::read_to_string("/proc/self/statm")?;
    let pages: f64 = statm.split_whitespace().nth(1).unwrap_or_default().parse()?;
    Ok(pages * PAGE_BYTES)
}
