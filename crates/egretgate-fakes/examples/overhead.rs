//! Compares requests sent through an entry and a side process with requests sent directly to the
//! engine.
//!
//! Requests alternate between the two paths in one run. The engine generates tokens without delay,
//! so that the difference between the two latency distributions is the overhead of the path.

use std::collections::BTreeMap;
use std::fmt;
use std::process::ExitCode;
use std::time::Duration;

use comfy_table::Table;
use comfy_table::presets::UTF8_HORIZONTAL_ONLY;
use egretgate::core::choice::Policy;
use egretgate_fakes::engine::{Engine, EngineSpec};
use egretgate_fakes::instances::{Instance, Instances};
use egretgate_fakes::log::Log;
use egretgate_http::{Call, Client};
use eyre::WrapErr;
use hdrhistogram::Histogram;
use http::HeaderName;
use lexopt::Arg;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use serde::Serialize;
use tokio::task::JoinSet;
use tokio::time::{Instant, sleep_until};

#[path = "support/start.rs"]
mod start;

const HELP: &str = "\
Compares requests through an entry and a side process with requests sent directly to the engine.

  --requests COUNT  requests sent on each path [default: 4000]
  --rate NUMBER     requests per second on each path [default: 200]
  --tokens COUNT    tokens of each answer [default: 4]
  --seed NUMBER     seed of arrivals [default: 1]
  --json            print JSON instead of a table
  --help            print this text
";
/// Requests sent on each path before the measurement starts.
const WARM_UP_REQUESTS: usize = 200;
/// Largest error body read.
const MAX_ERROR_BYTES: usize = 64 << 10;
const DECLARATIONS: &str = r#"
[tiers.brief]
rank = 0
[teams.atelier]
tier = "brief"
tiers = ["brief"]
[services.forecast-llm]
kind = "engine"
version = "v1"
[routes.forecast]
service = "forecast-llm"
model = "forecast"
"#;

struct Options {
    requests: usize,
    rate: f64,
    tokens: usize,
    seed: u64,
    json: bool,
}

/// Latencies of one request.
struct Times {
    /// True if the request was sent through an entry and a side process.
    through: bool,
    first_token: Duration,
    total: Duration,
}

#[derive(Debug, Serialize)]
struct Report {
    seed: u64,
    rate: f64,
    requests: usize,
    /// Number of failed requests by error code.
    failed: BTreeMap<String, u64>,
    first_us: Comparison,
    whole_us: Comparison,
}

/// Latency quantiles of both paths and their differences, in microseconds.
#[derive(Debug, Serialize)]
struct Comparison {
    direct: Quantiles,
    through: Quantiles,
    added: Quantiles,
}

#[derive(Debug, Clone, Copy, Serialize)]
struct Quantiles {
    p50: i64,
    p95: i64,
    p99: i64,
}

#[tokio::main]
async fn main() -> eyre::Result<ExitCode> {
    let Some(options) = Options::read()? else {
        print!("{HELP}");
        return Ok(ExitCode::SUCCESS);
    };
    let report = measure(&options).await?;
    if options.json {
        println!("{}", serde_json::to_string(&report)?);
    } else {
        println!("{report}");
    }
    Ok(if report.failed.is_empty() { ExitCode::SUCCESS } else { ExitCode::FAILURE })
}

impl Options {
    fn read() -> eyre::Result<Option<Self>> {
        let mut options = Self { requests: 4000, rate: 200.0, tokens: 4, seed: 1, json: false };
        let mut parser = lexopt::Parser::from_env();
        while let Some(arg) = parser.next()? {
            use lexopt::ValueExt;
            match arg {
                Arg::Long("requests") => options.requests = parser.value()?.parse()?,
                Arg::Long("rate") => options.rate = parser.value()?.parse()?,
                Arg::Long("tokens") => options.tokens = parser.value()?.parse()?,
                Arg::Long("seed") => options.seed = parser.value()?.parse()?,
                Arg::Long("json") => options.json = true,
                Arg::Long("help") | Arg::Short('h') => return Ok(None),
                other => return Err(other.unexpected()).wrap_err("see --help"),
            }
        }
        eyre::ensure!(options.rate > 0.0, "--rate must be over 0");
        Ok(Some(options))
    }
}

async fn measure(options: &Options) -> eyre::Result<Report> {
    let log = Log::start().await?;
    let instances = Instances::start().await?;
    let spec = EngineSpec::new().token_time(Duration::ZERO).prefill_time(Duration::ZERO);
    let engine = Engine::start(spec).await?;
    let address = engine.address();
    let side = start::side("forecast-1", "olinda", "forecast-llm", "engine", address).await?;
    instances.set(Instance::new("forecast-1", "olinda", "forecast-llm", side.link_address()));
    let entry = start::entry("entry-1", "olinda", &log, &instances, Policy::default()).await?;
    let entries = [entry];
    start::declare(&entries, DECLARATIONS).await?;
    let through = Client::new(entries[0].caller_address());
    let report = run_load(options, &Client::new(address), &through).await;
    let [entry] = entries;
    entry.stop().await;
    side.stop().await;
    Ok(report)
}

async fn run_load(options: &Options, direct: &Client, through: &Client) -> Report {
    let mut rng = ChaCha8Rng::seed_from_u64(options.seed);
    let mut tasks = JoinSet::new();
    let mut due = Instant::now();
    let total = 2 * (WARM_UP_REQUESTS + options.requests);
    for index in 0..total {
        due += Duration::from_secs_f64(-(1.0 - rng.random::<f64>()).ln() / (2.0 * options.rate));
        sleep_until(due).await;
        let is_through = index % 2 == 1;
        let client = if is_through { through.clone() } else { direct.clone() };
        let tokens = options.tokens;
        tasks.spawn(async move { (index, send(client, index, tokens, is_through).await) });
    }
    let mut failed = BTreeMap::new();
    let mut measured = Vec::new();
    for (index, result) in tasks.join_all().await {
        match result {
            Ok(times) if index >= 2 * WARM_UP_REQUESTS => measured.push(times),
            Ok(_) => {}
            Err(code) => *failed.entry(code).or_default() += 1,
        }
    }
    Report {
        seed: options.seed,
        rate: options.rate,
        requests: options.requests,
        failed,
        first_us: compare(&measured, |times| times.first_token),
        whole_us: compare(&measured, |times| times.total),
    }
}

async fn send(client: Client, index: usize, tokens: usize, through: bool) -> Result<Times, String> {
    let body = serde_json::json!({
        "model": "forecast",
        "prompt": format!("caption {index}"),
        "max_tokens": tokens,
        "stream": true,
    });
    let call = Call::post("/v1/completions", body.to_string())
        .header(HeaderName::from_static("x-egret-team"), "atelier")
        .header(HeaderName::from_static("x-egret-tier"), "brief");
    let start_time = Instant::now();
    let mut answer = client.send(call).await.map_err(|error| error.to_string())?;
    if !answer.is_success() {
        let body = answer.collect(MAX_ERROR_BYTES).await.map_err(|error| error.to_string())?;
        return Err(error_code(&body));
    }
    let mut first_token = None;
    while let Some(chunk) = answer.chunk().await {
        chunk.map_err(|error| error.to_string())?;
        first_token.get_or_insert_with(|| start_time.elapsed());
    }
    Ok(Times {
        through,
        first_token: first_token.ok_or("empty answer")?,
        total: start_time.elapsed(),
    })
}

/// Returns the code in an error body.
fn error_code(body: &[u8]) -> String {
    let value: serde_json::Value = serde_json::from_slice(body).unwrap_or_default();
    value["error"]["code"].as_str().unwrap_or("no code").to_owned()
}

/// Compares one duration of the requests between the two paths.
fn compare(times: &[Times], duration: impl Fn(&Times) -> Duration) -> Comparison {
    let quantiles = |through| {
        let mut histogram = Histogram::<u64>::new(3).expect("valid precision");
        for call in times.iter().filter(|call| call.through == through) {
            histogram.record(duration(call).as_micros() as u64).expect("the histogram grows");
        }
        let at = |quantile| histogram.value_at_quantile(quantile) as i64;
        Quantiles { p50: at(0.5), p95: at(0.95), p99: at(0.99) }
    };
    let (direct, through) = (quantiles(false), quantiles(true));
    let added = Quantiles {
        p50: through.p50 - direct.p50,
        p95: through.p95 - direct.p95,
        p99: through.p99 - direct.p99,
    };
    Comparison { direct, through, added }
}

impl fmt::Display for Report {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let mut table = Table::new();
        table.load_style(UTF8_HORIZONTAL_ONLY);
        table.set_header(["microseconds", "path", "p50", "p95", "p99"]);
        for (name, compared) in [("first token", &self.first_us), ("whole", &self.whole_us)] {
            let rows = [
                ("direct", compared.direct),
                ("through", compared.through),
                ("added", compared.added),
            ];
            for (path, quantiles) in rows {
                let cells =
                    [quantiles.p50, quantiles.p95, quantiles.p99].map(|value| value.to_string());
                let [p50, p95, p99] = cells;
                table.add_row([name.to_owned(), path.to_owned(), p50, p95, p99]);
            }
        }
        writeln!(f, "{table}")?;
        write!(f, "seed {}, {} requests each way at {}/s, ", self.seed, self.requests, self.rate)?;
        write!(f, "failed {:?}", self.failed)
    }
}
