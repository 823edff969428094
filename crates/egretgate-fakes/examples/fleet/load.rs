//! Sends mixed requests in an open loop and records the outcome of each.

use std::net::SocketAddr;
use std::time::Duration;

use egretgate_engine::TokenMeter;
use egretgate_fakes::engine::expected_completion;
use egretgate_http::{Call, Client};
use http::HeaderName;
use indicatif::{ProgressBar, ProgressDrawTarget};
use rand::{Rng, RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use serde::Deserialize;
use tokio::task::JoinSet;
use tokio::time::{Instant, sleep_until};

use crate::options::Options;
use crate::world::World;

/// Tiers of the load, most urgent first.
pub const TIERS: [&str; 4] = ["brief", "rewrite", "caption", "archive"];
/// Fraction of requests that go to the plain service.
const PLAIN_FRACTION: f64 = 0.05;
/// Largest error body read.
const MAX_ERROR_BYTES: usize = 16 << 20;

/// A request of the load.
#[derive(Debug, Clone)]
struct Job {
    tier: usize,
    team: &'static str,
    prompt: String,
    tokens: usize,
    key: Option<String>,
}

/// Outcome of one request.
#[derive(Debug)]
pub struct Outcome {
    /// Index of its tier in [`TIERS`].
    pub tier: usize,
    /// Request body.
    pub body: Vec<u8>,
    /// Idempotency key, for a call to the plain service.
    pub key: Option<String>,
    /// How the request ended.
    pub end: CallEnd,
}

/// How a request ended.
#[derive(Debug)]
pub enum CallEnd {
    /// The answer was complete.
    Complete {
        /// Time to first token.
        first_token: Duration,
        /// Mean inter-token latency.
        inter_token: Duration,
        /// True if the text was the expected one; always true for the plain service.
        exact: bool,
        /// True if the answer was a stream of tokens.
        stream: bool,
    },
    /// The request was refused or failed with an error body.
    Failed {
        /// Error code.
        code: String,
        /// Whether the request was executed: `yes`, `no` or `unknown`.
        ran: String,
    },
    /// The connection failed or the error body was malformed; carries the error message.
    Dropped(String),
}

#[derive(Debug, Deserialize)]
struct ErrorBody {
    error: ErrorFields,
}

#[derive(Debug, Deserialize)]
struct ErrorFields {
    code: String,
    ran: String,
}

/// Sends the load and returns the outcomes of its requests.
pub async fn run(world: &World, options: &Options) -> eyre::Result<Vec<Outcome>> {
    let mut rng = ChaCha8Rng::seed_from_u64(options.seed);
    let caller_addresses = world.caller_addresses();
    let clients: Vec<Client> =
        caller_addresses.iter().map(|address: &SocketAddr| Client::new(*address)).collect();
    let bar =
        ProgressBar::with_draw_target(Some(options.requests as u64), ProgressDrawTarget::stderr());
    let mut tasks = JoinSet::new();
    let mut due = Instant::now();
    for index in 0..options.requests {
        due += Duration::from_secs_f64(exponential(&mut rng) / options.rate);
        sleep_until(due).await;
        let job = draw_job(index, &mut rng);
        let client = clients[index % clients.len()].clone();
        let bar = bar.clone();
        tasks.spawn(async move {
            let outcome = send(client, job).await;
            bar.inc(1);
            outcome
        });
    }
    let outcomes = tasks.join_all().await;
    bar.finish_and_clear();
    Ok(outcomes)
}

/// Draws from the exponential distribution with mean 1.
fn exponential(rng: &mut impl Rng) -> f64 {
    -(1.0 - rng.random::<f64>()).ln()
}

fn draw_job(index: usize, rng: &mut impl Rng) -> Job {
    let tier = rng.random_range(0..TIERS.len());
    let team = if rng.random_bool(0.7) { "atelier" } else { "mills" };
    let key = rng.random_bool(PLAIN_FRACTION).then(|| format!("credit-{index}"));
    let common_prefix = "season notes of the house, kept for every brief. ".repeat(8);
    let prefix = if rng.random_bool(0.5) { common_prefix } else { String::new() };
    let length = rng.random_range(20..400);
    let prompt = format!("{prefix}request {index}: {}", "x".repeat(length));
    // Answer lengths are log-uniform from 2 to 200 tokens.
    let tokens = (2.0 * 100_f64.powf(rng.random::<f64>())) as usize;
    Job { tier, team, prompt, tokens, key }
}

async fn send(client: Client, job: Job) -> Outcome {
    let body = completion_body(&job);
    let path = if job.key.is_some() { "/credits/add" } else { "/v1/completions" };
    let mut call = Call::post(path, body.clone())
        .header(HeaderName::from_static("x-egret-team"), job.team)
        .header(HeaderName::from_static("x-egret-tier"), TIERS[job.tier]);
    if let Some(key) = &job.key {
        call = call.header(HeaderName::from_static("idempotency-key"), key);
    }
    let end = send_call(&client, call, &job).await.unwrap_or_else(CallEnd::Dropped);
    Outcome { tier: job.tier, body, key: job.key, end }
}

fn completion_body(job: &Job) -> Vec<u8> {
    let value = serde_json::json!({
        "model": "forecast",
        "prompt": job.prompt,
        "max_tokens": job.tokens,
        "stream": true,
    });
    value.to_string().into_bytes()
}

async fn send_call(client: &Client, call: Call, job: &Job) -> Result<CallEnd, String> {
    let start_time = Instant::now();
    let mut answer = client.send(call).await.map_err(|error| error.to_string())?;
    if !answer.is_success() {
        let body = answer.collect(MAX_ERROR_BYTES).await.map_err(|error| error.to_string())?;
        let error_body: ErrorBody =
            serde_json::from_slice(&body).map_err(|error| error.to_string())?;
        return Ok(CallEnd::Failed { code: error_body.error.code, ran: error_body.error.ran });
    }
    let stream = job.key.is_none();
    let mut meter = TokenMeter::new();
    let mut received = Vec::new();
    while let Some(chunk) = answer.chunk().await {
        let chunk = chunk.map_err(|error| error.to_string())?;
        meter.feed(&chunk, Instant::now());
        received.extend_from_slice(&chunk);
    }
    let first_token = meter.first_token().unwrap_or_else(Instant::now).duration_since(start_time);
    let inter_token = meter.mean_gap().unwrap_or_default();
    let exact = !stream || stream_text(&received) == expected_completion(&job.prompt, job.tokens);
    Ok(CallEnd::Complete { first_token, inter_token, exact, stream })
}

/// Returns the text in a stream of completion events.
fn stream_text(stream: &[u8]) -> String {
    let mut text = String::new();
    for line in String::from_utf8_lossy(stream).lines() {
        let Some(data) = line.strip_prefix("data: ") else { continue };
        let Ok(event) = serde_json::from_str::<serde_json::Value>(data) else { continue };
        text.push_str(event["choices"][0]["text"].as_str().unwrap_or_default());
    }
    text
}
