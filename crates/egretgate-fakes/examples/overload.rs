//! Measures, for each policy, the goodput of the top tier alone and at twice the capacity.
//!
//! The capacity is measured first, by a closed loop of requests sent directly to the engines. Then
//! the same requests of the top tier are sent twice: alone, and together with requests of lower
//! tiers that bring the load to twice the capacity.

use std::collections::BTreeMap;
use std::time::Duration;

use egretgate::Entry;
use egretgate::core::choice::Policy;
use egretgate_engine::TokenMeter;
use egretgate_fakes::engine::{Engine, EngineSpec};
use egretgate_fakes::instances::{Instance, Instances};
use egretgate_fakes::log::Log;
use egretgate_http::{Call, Client};
use egretside::Side;
use eyre::WrapErr;
use http::HeaderName;
use lexopt::{Arg, ValueExt};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use serde::Serialize;
use tokio::task::JoinSet;
use tokio::time::{Instant, sleep_until};

#[path = "support/start.rs"]
mod start;

const HELP: &str = "\
Measures goodput of the top tier alone and at twice the capacity.

  --seconds NUMBER  length of each load [default: 8]
  --seed NUMBER     seed of the loads [default: 1]
  --policy NAME     measure only this policy [default: all]
  --help            print this text

Prints one line of JSON for each load.
";
/// Tiers, most urgent first.
const TIERS: [&str; 3] = ["brief", "caption", "archive"];
/// Request rate of the top tier, as a fraction of the capacity.
const TOP_TIER_LOAD: f64 = 0.5;
/// Request rate of all tiers together, as a fraction of the capacity.
const TOTAL_LOAD: f64 = 2.0;
/// Longest time to first token and longest mean inter-token latency of a good answer.
const LATENCY_TARGETS: (Duration, Duration) =
    (Duration::from_millis(380), Duration::from_millis(34));
/// Concurrent requests per engine while the capacity is measured.
const CONCURRENCY: usize = 16;
/// Duration of the capacity measurement.
const CALIBRATION_TIME: Duration = Duration::from_secs(3);
/// Largest error body read.
const MAX_ERROR_BYTES: usize = 64 << 10;
const DECLARATIONS: &str = r#"
[tiers.brief]
rank = 0
deadline_ms = 4000
[tiers.caption]
rank = 1
deadline_ms = 4000
[tiers.archive]
rank = 2
deadline_ms = 4000
[teams.atelier]
tier = "brief"
tiers = ["brief", "caption", "archive"]
[services.forecast-llm]
kind = "engine"
version = "v1"
[routes.forecast]
service = "forecast-llm"
model = "forecast"
"#;

struct Options {
    seconds: f64,
    seed: u64,
    policies: Vec<Policy>,
}

/// A request and the time at which it is sent, from the start of the load.
#[derive(Debug, Clone)]
struct Job {
    due: Duration,
    tier: usize,
    prompt: String,
    tokens: usize,
}

/// Result of a request; a refusal may carry a retry-after.
enum CallEnd {
    Complete { first_token: Duration, inter_token: Duration },
    Failed { code: String, retry_after: Option<Duration> },
}

#[derive(Debug, Serialize)]
struct Report {
    policy: &'static str,
    load: &'static str,
    seed: u64,
    /// Requests per second that the engines finished in the capacity measurement.
    capacity: f64,
    tiers: Vec<TierRow>,
    /// Number of refusals and failures by error code.
    failed: BTreeMap<String, u64>,
    /// Shortest, median and longest retry-after, in milliseconds.
    after_ms: Option<[u128; 3]>,
    prefill: u64,
    wasted: u64,
}

#[derive(Debug, Serialize)]
struct TierRow {
    tier: &'static str,
    sent: u64,
    /// Number of complete answers.
    whole: u64,
    /// Number of complete answers within both latency targets.
    good: u64,
    goodput: f64,
    /// Complete answers whose time to first token exceeded its target.
    late_first: u64,
    /// Complete answers whose mean inter-token latency exceeded its target.
    late_between: u64,
}

/// The fakes, side processes and entries of one load.
struct World {
    engines: Vec<Engine>,
    sides: Vec<Side>,
    entries: Vec<Entry>,
    _platform: (Log, Instances),
}

#[tokio::main]
async fn main() -> eyre::Result<()> {
    let Some(options) = Options::read()? else {
        print!("{HELP}");
        return Ok(());
    };
    let capacity = measure_capacity(options.seed).await?;
    let top = draw_jobs(options.seed, 0..1, TOP_TIER_LOAD * capacity, options.seconds);
    let lower_rate = (TOTAL_LOAD - TOP_TIER_LOAD) * capacity;
    let mut overload = draw_jobs(options.seed + 1000, 1..TIERS.len(), lower_rate, options.seconds);
    overload.extend(top.iter().cloned());
    overload.sort_by_key(|job| job.due);
    for policy in &options.policies {
        for (load, jobs) in [("alone", &top), ("twice", &overload)] {
            let report = run_load(*policy, load, jobs, options.seed, capacity).await?;
            println!("{}", serde_json::to_string(&report)?);
        }
    }
    Ok(())
}

impl Options {
    fn read() -> eyre::Result<Option<Self>> {
        let mut options = Self { seconds: 8.0, seed: 1, policies: Policy::ALL.to_vec() };
        let mut parser = lexopt::Parser::from_env();
        while let Some(arg) = parser.next()? {
            match arg {
                Arg::Long("seconds") => options.seconds = parser.value()?.parse()?,
                Arg::Long("seed") => options.seed = parser.value()?.parse()?,
                Arg::Long("policy") => {
                    let name = parser.value()?.string()?;
                    options.policies.retain(|policy| policy.as_str() == name);
                }
                Arg::Long("help") | Arg::Short('h') => return Ok(None),
                other => return Err(other.unexpected()).wrap_err("see --help"),
            }
        }
        eyre::ensure!(!options.policies.is_empty(), "no such policy");
        Ok(Some(options))
    }
}

/// Starts three engines of different speed.
async fn start_engines() -> eyre::Result<Vec<Engine>> {
    let mut engines = Vec::new();
    for factor in [2_u32, 3, 4] {
        let spec = EngineSpec::new()
            .token_time(Duration::from_millis(5) * factor)
            .prefill_time(Duration::from_micros(10) * factor)
            .load_lag(Duration::from_millis(500));
        engines.push(Engine::start(spec).await?);
    }
    Ok(engines)
}

/// Returns the requests per second that the engines finish in a closed loop.
async fn measure_capacity(seed: u64) -> eyre::Result<f64> {
    let engines = start_engines().await?;
    let mut tasks = JoinSet::new();
    let until = Instant::now() + CALIBRATION_TIME;
    for (index, engine) in engines.iter().enumerate() {
        for worker in 0..CONCURRENCY {
            let client = Client::new(engine.address());
            // Distinct seeds, so that no two workers send the same prompts.
            let seed = seed + 7919 * (index * CONCURRENCY + worker) as u64;
            tasks.spawn(async move {
                let jobs = draw_jobs(seed, 0..1, 100.0, CALIBRATION_TIME.as_secs_f64());
                let mut done = 0_u32;
                for job in jobs {
                    send(&client, &job).await;
                    if Instant::now() >= until {
                        break;
                    }
                    done += 1;
                }
                done
            });
        }
    }
    let done: u32 = tasks.join_all().await.into_iter().sum();
    Ok(f64::from(done) / CALIBRATION_TIME.as_secs_f64())
}

/// Draws the requests of an open loop with exponential interarrival times.
fn draw_jobs(seed: u64, tiers: std::ops::Range<usize>, rate: f64, seconds: f64) -> Vec<Job> {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let mut jobs = Vec::new();
    let mut due = 0.0;
    loop {
        due += -(1.0 - rng.random::<f64>()).ln() / rate;
        if due > seconds {
            return jobs;
        }
        let tier = rng.random_range(tiers.clone());
        let length = rng.random_range(40..600);
        let prompt = format!("{seed}-{}: {}", jobs.len(), "x".repeat(length));
        // Answer lengths are log-uniform from 2 to 200 tokens.
        let tokens = (2.0 * 100_f64.powf(rng.random::<f64>())) as usize;
        jobs.push(Job { due: Duration::from_secs_f64(due), tier, prompt, tokens });
    }
}

impl World {
    async fn start(policy: Policy) -> eyre::Result<Self> {
        let (log, instances) = (Log::start().await?, Instances::start().await?);
        let engines = start_engines().await?;
        let mut sides = Vec::new();
        for (index, engine) in engines.iter().enumerate() {
            let name = format!("forecast-{index}");
            let side =
                start::side(&name, "olinda", "forecast-llm", "engine", engine.address()).await?;
            instances.set(Instance::new(name, "olinda", "forecast-llm", side.link_address()));
            sides.push(side);
        }
        let mut entries = Vec::new();
        for name in ["entry-0", "entry-1"] {
            entries.push(start::entry(name, "olinda", &log, &instances, policy).await?);
        }
        start::declare(&entries, DECLARATIONS).await?;
        Ok(Self { engines, sides, entries, _platform: (log, instances) })
    }

    async fn stop(self) {
        for entry in self.entries {
            entry.stop().await;
        }
        for side in self.sides {
            side.stop().await;
        }
    }
}

async fn run_load(
    policy: Policy,
    load: &'static str,
    jobs: &[Job],
    seed: u64,
    capacity: f64,
) -> eyre::Result<Report> {
    let world = World::start(policy).await?;
    let clients: Vec<Client> =
        world.entries.iter().map(|entry| Client::new(entry.caller_address())).collect();
    let mut tasks = JoinSet::new();
    let start_time = Instant::now();
    for (index, job) in jobs.iter().cloned().enumerate() {
        sleep_until(start_time + job.due).await;
        let client = clients[index % clients.len()].clone();
        tasks.spawn(async move { (job.tier, send(&client, &job).await) });
    }
    let ends = tasks.join_all().await;
    let counts: Vec<_> = world.engines.iter().map(Engine::counts).collect();
    world.stop().await;
    let mut failed = BTreeMap::new();
    let mut delays_ms = Vec::new();
    for (_, end) in &ends {
        if let CallEnd::Failed { code, retry_after } = end {
            *failed.entry(code.clone()).or_default() += 1;
            delays_ms.extend(retry_after.map(|delay| delay.as_millis()));
        }
    }
    delays_ms.sort_unstable();
    let after_ms = delays_ms
        .first()
        .zip(delays_ms.last())
        .map(|(first, last)| [*first, delays_ms[delays_ms.len() / 2], *last]);
    Ok(Report {
        policy: policy.as_str(),
        load,
        seed,
        capacity,
        tiers: (0..TIERS.len()).map(|tier| tier_row(tier, &ends)).collect(),
        failed,
        after_ms,
        prefill: counts.iter().map(|engine| engine.prefill).sum(),
        wasted: counts.iter().map(|engine| engine.wasted).sum(),
    })
}

fn tier_row(tier: usize, ends: &[(usize, CallEnd)]) -> TierRow {
    let (mut sent, mut whole, mut good) = (0, 0, 0);
    let (mut late_first, mut late_between) = (0, 0);
    for (_, end) in ends.iter().filter(|(sent_tier, _)| *sent_tier == tier) {
        sent += 1;
        if let CallEnd::Complete { first_token, inter_token } = end {
            whole += 1;
            late_first += u64::from(*first_token > LATENCY_TARGETS.0);
            late_between += u64::from(*inter_token > LATENCY_TARGETS.1);
            good +=
                u64::from(*first_token <= LATENCY_TARGETS.0 && *inter_token <= LATENCY_TARGETS.1);
        }
    }
    let goodput = good as f64 / (sent as f64).max(1.0);
    TierRow { tier: TIERS[tier], sent, whole, good, goodput, late_first, late_between }
}

async fn send(client: &Client, job: &Job) -> CallEnd {
    try_send(client, job).await.unwrap_or_else(|code| CallEnd::Failed { code, retry_after: None })
}

/// Sends a request and reads its answer. The error is a connection failure or an empty answer.
async fn try_send(client: &Client, job: &Job) -> Result<CallEnd, String> {
    let body = serde_json::json!({
        "model": "forecast",
        "prompt": job.prompt,
        "max_tokens": job.tokens,
        "stream": true,
    });
    let call = Call::post("/v1/completions", body.to_string())
        .header(HeaderName::from_static("x-egret-team"), "atelier")
        .header(HeaderName::from_static("x-egret-tier"), TIERS[job.tier]);
    let start_time = Instant::now();
    let mut answer = client.send(call).await.map_err(|error| error.to_string())?;
    if !answer.is_success() {
        let body = answer.collect(MAX_ERROR_BYTES).await.map_err(|error| error.to_string())?;
        let value: serde_json::Value = serde_json::from_slice(&body).unwrap_or_default();
        let code = value["error"]["code"].as_str().unwrap_or("no code").to_owned();
        let retry_after = value["error"]["retry_after_ms"].as_u64().map(Duration::from_millis);
        return Ok(CallEnd::Failed { code, retry_after });
    }
    let mut meter = TokenMeter::new();
    while let Some(chunk) = answer.chunk().await {
        meter.feed(&chunk.map_err(|error| error.to_string())?, Instant::now());
    }
    let first_token = meter.first_token().ok_or("empty answer")?.duration_since(start_time);
    Ok(CallEnd::Complete { first_token, inter_token: meter.mean_gap().unwrap_or_default() })
}
