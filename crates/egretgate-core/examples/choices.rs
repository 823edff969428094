//! Comparison of the policies on the same requests, with upstreams of different speeds, stale
//! reports and one upstream that always reports itself idle.

use std::cmp::Reverse;
use std::collections::{BinaryHeap, VecDeque};
use std::time::{Duration, Instant};

use egretgate_core::choice::{
    ChoiceRequest, Fleet, InFlightRequest, LoadReport, Policy, Upstream, UpstreamKey,
};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

/// Zones, each with a third of the entries and upstreams.
const ZONES: [&str; 3] = ["boa-viagem", "santo-amaro", "olinda"];
/// Relative speeds of the upstreams, equally many of each.
const SPEEDS: [f64; 3] = [1.0, 2.0, 4.0];
/// The upstream that always reports itself idle; one of the slowest.
const FALSE_REPORTER: usize = 0;
/// Maximum number of requests that run concurrently at an upstream.
const SLOTS: usize = 8;
/// Maximum number of requests queued at an upstream; it refuses more.
const QUEUE_CAPACITY: usize = 32;
/// Number of prompt prefixes that an upstream caches.
const CACHED_PREFIXES: usize = 24;
/// Number of prompt prefixes in use.
const PREFIXES: u64 = 200;
/// Fraction of a prompt that is its prefix.
const PREFIX_FRACTION: f64 = 0.75;
/// Seconds per prompt token at speed 1.
const PREFILL_S: f64 = 0.000_1;
/// Seconds per generated token at speed 1.
const INTER_TOKEN_S: f64 = 0.024;
/// Seconds between reports.
const REPORT_INTERVAL_S: f64 = 1.0;
/// Maximum delay of a report, in seconds.
const MAX_REPORT_DELAY_S: f64 = 2.0;
/// Objective of each tier: seconds to first token.
const OBJECTIVES_S: [f64; 4] = [0.38, 1.0, 3.0, 10.0];
/// Seconds simulated.
const DURATION_S: f64 = 600.0;
/// Requests per second that an upstream can serve on average with the lengths drawn here.
const CAPACITY_PER_S: f64 = 2.6;
/// Seeds simulated for each row of the table.
const SEEDS: u64 = 5;
/// Sizes compared: few entries that each handle much of the load, and many that each handle little.
const SCENARIOS: [Scenario; 2] =
    [Scenario { entries: 3, upstreams: 18 }, Scenario { entries: 36, upstreams: 36 }];

#[derive(Debug, Clone, Copy)]
struct Scenario {
    entries: usize,
    upstreams: usize,
}

#[derive(Debug, Clone)]
struct Request {
    entry: usize,
    tier: u8,
    prompt_tokens: u32,
    output_tokens: u32,
    /// Output length as the entry estimates it.
    estimated_output: u32,
    prefix_hash: u64,
    arrived: f64,
    tried: Vec<UpstreamKey>,
    in_flight: Option<InFlightRequest>,
    /// Time of the first token, in seconds from the start.
    first_token: f64,
}

#[derive(Debug, Default)]
struct Server {
    queue: Vec<usize>,
    running: usize,
    cache: VecDeque<u64>,
}

#[derive(Debug, Clone, Copy)]
enum Event {
    /// Offers a request.
    Offer(usize),
    /// First token from a server, of a request.
    FirstToken(usize, usize),
    /// End at a server, of a request.
    End(usize, usize),
    /// Sends the load reports of a server.
    SendReports(usize),
    /// Arrival of a server's report at an entry.
    Report(usize, usize, LoadReport),
}

/// Metrics of one policy, summed over seeds.
#[derive(Debug, Default)]
struct Metrics {
    offered: [u64; 4],
    good: [u64; 4],
    first_tokens: Vec<f64>,
    refused: u64,
    prefilled: f64,
    wasted: f64,
    hits: u64,
    started: u64,
    to_false_reporter: u64,
}

struct Simulation {
    scenario: Scenario,
    start: Instant,
    fleets: Vec<Fleet>,
    keys: Vec<UpstreamKey>,
    servers: Vec<Server>,
    requests: Vec<Request>,
    /// Time in nanoseconds and index in `scheduled` of each event.
    events: BinaryHeap<Reverse<(u64, u64)>>,
    scheduled: Vec<Event>,
    rng: ChaCha8Rng,
    metrics: Metrics,
}

fn main() {
    println!(
        "| entries | upstreams | load | policy | tier 0 good | tier 1 | tier 2 | tier 3 | p95 first token | refused | wasted prefill | prefix hits | to the false reporter |"
    );
    println!("|---|---|---|---|---|---|---|---|---|---|---|---|---|");
    for scenario in SCENARIOS {
        for load in [0.5, 0.8, 1.1] {
            for policy in Policy::ALL {
                compare(scenario, policy, load);
            }
        }
    }
}

fn compare(scenario: Scenario, policy: Policy, load: f64) {
    let mut metrics = Metrics::default();
    for seed in 0..SEEDS {
        let mut simulation = Simulation::new(scenario, policy, load, seed, metrics);
        simulation.run();
        metrics = simulation.metrics;
    }
    metrics.print(scenario, policy, load);
}

/// Returns the speed of an upstream.
fn speed(server: usize) -> f64 {
    SPEEDS[server / ZONES.len() % SPEEDS.len()]
}

impl Metrics {
    fn print(mut self, scenario: Scenario, policy: Policy, load: f64) {
        self.first_tokens.sort_by(f64::total_cmp);
        let p95 = self.first_tokens[self.first_tokens.len() * 95 / 100];
        let good = |tier: usize| 100.0 * self.good[tier] as f64 / self.offered[tier] as f64;
        let offered: u64 = self.offered.iter().sum();
        println!(
            "| {} | {} | {load} | {} | {:.1}% | {:.1}% | {:.1}% | {:.1}% | {p95:.3} s | {:.1}% | {:.1}% | {:.1}% | {:.1}% |",
            scenario.entries,
            scenario.upstreams,
            policy.as_str(),
            good(0),
            good(1),
            good(2),
            good(3),
            100.0 * self.refused as f64 / offered as f64,
            100.0 * self.wasted / self.prefilled,
            100.0 * self.hits as f64 / self.started as f64,
            100.0 * self.to_false_reporter as f64 / self.started as f64,
        );
    }
}

impl Simulation {
    fn new(scenario: Scenario, policy: Policy, load: f64, seed: u64, metrics: Metrics) -> Self {
        let mut fleets: Vec<Fleet> = (0..scenario.entries).map(|_| Fleet::new(policy)).collect();
        let mut keys = Vec::new();
        for index in 0..scenario.upstreams {
            for fleet in &mut fleets {
                let key = fleet.insert(Upstream {
                    id: format!("forecast-{index}"),
                    zone: ZONES[index % ZONES.len()].into(),
                    service: "forecast-llm".into(),
                    versions: vec!["v1".into()],
                });
                if keys.len() == index {
                    keys.push(key);
                }
            }
        }
        let mut simulation = Self {
            scenario,
            start: Instant::now(),
            fleets,
            keys,
            servers: (0..scenario.upstreams).map(|_| Server::default()).collect(),
            requests: Vec::new(),
            events: BinaryHeap::new(),
            scheduled: Vec::new(),
            rng: ChaCha8Rng::seed_from_u64(seed ^ 0x5eed),
            metrics,
        };
        simulation.generate_requests(load, seed);
        for server in 0..scenario.upstreams {
            simulation
                .schedule(server as f64 / scenario.upstreams as f64, Event::SendReports(server));
        }
        simulation
    }

    /// Draws the requests of a seed, the same ones for every policy.
    fn generate_requests(&mut self, load: f64, seed: u64) {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let mut arrived = 0.0;
        while arrived < DURATION_S {
            arrived -= (1.0 - rng.random::<f64>()).ln()
                / (CAPACITY_PER_S * self.scenario.upstreams as f64 * load);
            let long = rng.random_bool(0.2);
            let output = if long { rng.random_range(800..2_000) } else { rng.random_range(8..40) };
            let popularity: f64 = rng.random::<f64>() * rng.random::<f64>();
            let prefix = (popularity * PREFIXES as f64) as u64;
            self.requests.push(Request {
                entry: rng.random_range(0..self.scenario.entries),
                tier: rng.random_range(0..4),
                prompt_tokens: rng.random_range(200..2_000),
                output_tokens: output,
                estimated_output: (f64::from(output) * rng.random_range(0.5..2.0)) as u32,
                prefix_hash: xxhash_rust::xxh3::xxh3_64(&prefix.to_le_bytes()),
                arrived,
                tried: Vec::new(),
                in_flight: None,
                first_token: 0.0,
            });
            self.schedule(arrived, Event::Offer(self.requests.len() - 1));
        }
    }

    fn schedule(&mut self, time: f64, event: Event) {
        self.events.push(Reverse(((time * 1e9) as u64, self.scheduled.len() as u64)));
        self.scheduled.push(event);
    }

    fn run(&mut self) {
        while let Some(Reverse((nanos, index))) = self.events.pop() {
            let time = nanos as f64 / 1e9;
            match self.scheduled[index as usize] {
                Event::Offer(request) => self.handle_offer(request, time),
                Event::FirstToken(server, request) => self.begin_stream(server, request, time),
                Event::End(server, request) => self.end_stream(server, request, time),
                Event::SendReports(server) => self.send_reports(server, time),
                Event::Report(server, entry, report) => {
                    let now = self.now(time);
                    self.fleets[entry].record_report(self.keys[server], report, now);
                }
            }
        }
    }

    fn now(&self, time: f64) -> Instant {
        self.start + Duration::from_secs_f64(time)
    }

    fn handle_offer(&mut self, index: usize, time: f64) {
        let now = self.now(time);
        let request = &mut self.requests[index];
        let tier = usize::from(request.tier);
        if request.tried.is_empty() {
            self.metrics.offered[tier] += 1;
        }
        let choice_request = ChoiceRequest {
            service: "forecast-llm",
            version: None,
            tier: request.tier,
            prompt_tokens: request.prompt_tokens,
            output_tokens: request.estimated_output,
            prefix_hash: request.prefix_hash,
            zone: ZONES[request.entry % ZONES.len()],
            excluded: &request.tried,
        };
        let fleet = &mut self.fleets[request.entry];
        let chosen = fleet.choose(&choice_request, now, &mut self.rng);
        let Some(key) = chosen.filter(|_| request.tried.len() < 3) else {
            self.metrics.refused += 1;
            return;
        };
        let in_flight = fleet.begin(key, &choice_request, now);
        let server = self.keys.iter().position(|&other| other == key).expect("a known key");
        if self.servers[server].queue.len() >= QUEUE_CAPACITY {
            fleet.end(key, in_flight, 0, now);
            request.tried.push(key);
            self.schedule(time + 0.002, Event::Offer(index));
            return;
        }
        request.in_flight = Some(in_flight);
        self.servers[server].queue.push(index);
        self.start_next(server, time);
    }

    /// Starts the most urgent queued request if a slot is free.
    fn start_next(&mut self, index: usize, time: f64) {
        let server = &mut self.servers[index];
        if server.running >= SLOTS || server.queue.is_empty() {
            return;
        }
        let requests = &self.requests;
        let waiting = server.queue.iter().enumerate();
        let (position, _) =
            waiting.min_by_key(|&(_, &r)| (requests[r].tier, r)).expect("a request");
        let chosen = server.queue.remove(position);
        server.running += 1;
        let request = &self.requests[chosen];
        let hit = server.cache.contains(&request.prefix_hash);
        server.cache.retain(|&prefix| prefix != request.prefix_hash);
        server.cache.push_back(request.prefix_hash);
        if server.cache.len() > CACHED_PREFIXES {
            server.cache.pop_front();
        }
        let tokens =
            f64::from(request.prompt_tokens) * if hit { 1.0 - PREFIX_FRACTION } else { 1.0 };
        let first = time + tokens * PREFILL_S / speed(index);
        let objective = OBJECTIVES_S[usize::from(request.tier)];
        self.metrics.prefilled += tokens;
        self.metrics.wasted += if first - request.arrived > objective { tokens } else { 0.0 };
        self.metrics.hits += u64::from(hit);
        self.metrics.started += 1;
        self.metrics.to_false_reporter += u64::from(index == FALSE_REPORTER);
        self.schedule(first, Event::FirstToken(index, chosen));
    }

    fn begin_stream(&mut self, server: usize, index: usize, time: f64) {
        let now = self.now(time);
        let request = &mut self.requests[index];
        request.first_token = time;
        let took = time - request.arrived;
        let tier = usize::from(request.tier);
        self.metrics.good[tier] += u64::from(took <= OBJECTIVES_S[tier]);
        self.metrics.first_tokens.push(took);
        if let Some(in_flight) = &mut request.in_flight {
            self.fleets[request.entry].record_first_token(self.keys[server], in_flight, now);
        }
        let duration = f64::from(request.output_tokens) * INTER_TOKEN_S / speed(server);
        self.schedule(time + duration, Event::End(server, index));
    }

    fn end_stream(&mut self, server: usize, index: usize, time: f64) {
        let now = self.now(time);
        let request = &mut self.requests[index];
        let (entry, tokens) = (request.entry, request.output_tokens);
        if let Some(in_flight) = request.in_flight.take() {
            self.fleets[entry].end(self.keys[server], in_flight, tokens, now);
        }
        self.servers[server].running -= 1;
        self.start_next(server, time);
        let report = self.load_report(server);
        self.schedule(time + 0.001, Event::Report(server, entry, report));
    }

    /// Sends the load report to every entry, with a random delay.
    fn send_reports(&mut self, server: usize, time: f64) {
        let report = self.load_report(server);
        for entry in 0..self.scenario.entries {
            let delay = self.rng.random_range(0.0..MAX_REPORT_DELAY_S);
            self.schedule(time + delay, Event::Report(server, entry, report));
        }
        if time < DURATION_S {
            self.schedule(time + REPORT_INTERVAL_S, Event::SendReports(server));
        }
    }

    fn load_report(&self, index: usize) -> LoadReport {
        let server = &self.servers[index];
        let idle = LoadReport { limit: SLOTS as u32, healthy: true, ..LoadReport::default() };
        if index == FALSE_REPORTER {
            return LoadReport { limit: 64, first_token: Duration::from_millis(1), ..idle };
        }
        let inter_token = INTER_TOKEN_S / speed(index);
        let waiting = &server.queue;
        let tokens: u64 = waiting.iter().map(|&r| u64::from(self.requests[r].output_tokens)).sum();
        let wait = tokens as f64 * inter_token / SLOTS as f64;
        LoadReport {
            queued: waiting.len() as u32,
            running: server.running as u32,
            pending_tokens: tokens,
            first_token: Duration::from_secs_f64(wait + 1_100.0 * PREFILL_S / speed(index)),
            inter_token: Duration::from_secs_f64(inter_token),
            ..idle
        }
    }
}
