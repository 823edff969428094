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
const LIAR: usize = 0;
/// Requests that run concurrently at an upstream.
const SLOTS: usize = 8;
/// Requests queued at an upstream before it refuses more.
const QUEUE: usize = 32;
/// Prompt prefixes that an upstream caches.
const CACHE: usize = 24;
/// Prompt prefixes in use.
const PREFIXES: u64 = 200;
/// Fraction of a prompt that is its prefix.
const SHARED: f64 = 0.75;
/// Seconds per prompt token at speed 1.
const PREFILL: f64 = 0.000_1;
/// Seconds per generated token at speed 1.
const BETWEEN: f64 = 0.024;
/// Seconds between reports, and the maximum delay of one.
const REPORT_EVERY: f64 = 1.0;
const REPORT_LAG: f64 = 2.0;
/// Objective of each tier: seconds to first token.
const OBJECTIVES: [f64; 4] = [0.38, 1.0, 3.0, 10.0];
/// Seconds simulated.
const LENGTH: f64 = 600.0;
/// Requests per second that an upstream can serve on average with the lengths drawn here.
const CAPACITY: f64 = 2.6;
const SEEDS: u64 = 5;
/// Sizes compared: few entries that each handle much of the load, and many that each handle little.
const SCENES: [Scene; 2] =
    [Scene { entries: 3, upstreams: 18 }, Scene { entries: 36, upstreams: 36 }];

#[derive(Debug, Clone, Copy)]
struct Scene {
    entries: usize,
    upstreams: usize,
}

#[derive(Debug, Clone)]
struct Request {
    entry: usize,
    tier: u8,
    prompt: u32,
    output: u32,
    /// Output length as the entry estimates it.
    guess: u32,
    prefix: u64,
    arrived: f64,
    tried: Vec<UpstreamKey>,
    flight: Option<InFlightRequest>,
    first: f64,
}

#[derive(Debug, Default)]
struct Server {
    queue: Vec<usize>,
    running: usize,
    cache: VecDeque<u64>,
}

#[derive(Debug, Clone, Copy)]
enum Event {
    Offer(usize),
    First(usize, usize),
    End(usize, usize),
    Measure(usize),
    Report(usize, usize, LoadReport),
}

/// Metrics of one policy, summed over seeds.
#[derive(Debug, Default)]
struct Figures {
    offered: [u64; 4],
    good: [u64; 4],
    firsts: Vec<f64>,
    refused: u64,
    prefilled: f64,
    wasted: f64,
    hits: u64,
    started: u64,
    liar: u64,
}

struct World {
    scene: Scene,
    start: Instant,
    fleets: Vec<Fleet>,
    keys: Vec<UpstreamKey>,
    servers: Vec<Server>,
    requests: Vec<Request>,
    events: BinaryHeap<Reverse<(u64, u64)>>,
    pending: Vec<Event>,
    rng: ChaCha8Rng,
    figures: Figures,
}

fn main() {
    println!(
        "| entries | upstreams | load | policy | tier 0 good | tier 1 | tier 2 | tier 3 | p95 first token | refused | wasted prefill | prefix hits | to the liar |"
    );
    println!("|---|---|---|---|---|---|---|---|---|---|---|---|---|");
    for scene in SCENES {
        for load in [0.5, 0.8, 1.1] {
            for policy in Policy::ALL {
                compare(scene, policy, load);
            }
        }
    }
}

fn compare(scene: Scene, policy: Policy, load: f64) {
    let mut figures = Figures::default();
    for seed in 0..SEEDS {
        let mut world = World::new(scene, policy, load, seed, figures);
        world.run();
        figures = world.figures;
    }
    figures.print(scene, policy, load);
}

/// Returns the speed of an upstream.
fn speed(server: usize) -> f64 {
    SPEEDS[server / ZONES.len() % SPEEDS.len()]
}

impl Figures {
    fn print(mut self, scene: Scene, policy: Policy, load: f64) {
        self.firsts.sort_by(f64::total_cmp);
        let p95 = self.firsts[self.firsts.len() * 95 / 100];
        let good = |tier: usize| 100.0 * self.good[tier] as f64 / self.offered[tier] as f64;
        let offered: u64 = self.offered.iter().sum();
        println!(
            "| {} | {} | {load} | {} | {:.1}% | {:.1}% | {:.1}% | {:.1}% | {p95:.3} s | {:.1}% | {:.1}% | {:.1}% | {:.1}% |",
            scene.entries,
            scene.upstreams,
            policy.as_str(),
            good(0),
            good(1),
            good(2),
            good(3),
            100.0 * self.refused as f64 / offered as f64,
            100.0 * self.wasted / self.prefilled,
            100.0 * self.hits as f64 / self.started as f64,
            100.0 * self.liar as f64 / self.started as f64,
        );
    }
}

impl World {
    fn new(scene: Scene, policy: Policy, load: f64, seed: u64, figures: Figures) -> Self {
        let mut fleets: Vec<Fleet> = (0..scene.entries).map(|_| Fleet::new(policy)).collect();
        let mut keys = Vec::new();
        for index in 0..scene.upstreams {
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
        let mut world = Self {
            scene,
            start: Instant::now(),
            fleets,
            keys,
            servers: (0..scene.upstreams).map(|_| Server::default()).collect(),
            requests: Vec::new(),
            events: BinaryHeap::new(),
            pending: Vec::new(),
            rng: ChaCha8Rng::seed_from_u64(seed ^ 0x5eed),
            figures,
        };
        world.arrive(load, seed);
        for server in 0..scene.upstreams {
            world.at(server as f64 / scene.upstreams as f64, Event::Measure(server));
        }
        world
    }

    /// Draws the requests of a seed, the same ones for every policy.
    fn arrive(&mut self, load: f64, seed: u64) {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let mut arrived = 0.0;
        while arrived < LENGTH {
            arrived -=
                (1.0 - rng.random::<f64>()).ln() / (CAPACITY * self.scene.upstreams as f64 * load);
            let long = rng.random_bool(0.2);
            let output = if long { rng.random_range(800..2_000) } else { rng.random_range(8..40) };
            let popular: f64 = rng.random::<f64>() * rng.random::<f64>();
            let prefix = (popular * PREFIXES as f64) as u64;
            self.requests.push(Request {
                entry: rng.random_range(0..self.scene.entries),
                tier: rng.random_range(0..4),
                prompt: rng.random_range(200..2_000),
                output,
                guess: (f64::from(output) * rng.random_range(0.5..2.0)) as u32,
                prefix: xxhash_rust::xxh3::xxh3_64(&prefix.to_le_bytes()),
                arrived,
                tried: Vec::new(),
                flight: None,
                first: 0.0,
            });
            self.at(arrived, Event::Offer(self.requests.len() - 1));
        }
    }

    fn at(&mut self, time: f64, event: Event) {
        self.events.push(Reverse(((time * 1e9) as u64, self.pending.len() as u64)));
        self.pending.push(event);
    }

    fn run(&mut self) {
        while let Some(Reverse((nanos, index))) = self.events.pop() {
            let time = nanos as f64 / 1e9;
            match self.pending[index as usize] {
                Event::Offer(request) => self.offer(request, time),
                Event::First(server, request) => self.first(server, request, time),
                Event::End(server, request) => self.end(server, request, time),
                Event::Measure(server) => self.measure(server, time),
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

    fn offer(&mut self, index: usize, time: f64) {
        let now = self.now(time);
        let request = &mut self.requests[index];
        let tier = usize::from(request.tier);
        if request.tried.is_empty() {
            self.figures.offered[tier] += 1;
        }
        let ask = ChoiceRequest {
            service: "forecast-llm",
            version: None,
            tier: request.tier,
            prompt_tokens: request.prompt,
            output_tokens: request.guess,
            prefix_hash: request.prefix,
            zone: ZONES[request.entry % ZONES.len()],
            excluded: &request.tried,
        };
        let fleet = &mut self.fleets[request.entry];
        let chosen = fleet.choose(&ask, now, &mut self.rng);
        let Some(key) = chosen.filter(|_| request.tried.len() < 3) else {
            self.figures.refused += 1;
            return;
        };
        let flight = fleet.begin(key, &ask, now);
        let server = self.keys.iter().position(|&other| other == key).expect("a known key");
        if self.servers[server].queue.len() >= QUEUE {
            fleet.end(key, flight, 0, now);
            request.tried.push(key);
            self.at(time + 0.002, Event::Offer(index));
            return;
        }
        request.flight = Some(flight);
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
        let (zone, _) = waiting.min_by_key(|&(_, &r)| (requests[r].tier, r)).expect("a request");
        let chosen = server.queue.remove(zone);
        server.running += 1;
        let request = &self.requests[chosen];
        let hit = server.cache.contains(&request.prefix);
        server.cache.retain(|&prefix| prefix != request.prefix);
        server.cache.push_back(request.prefix);
        if server.cache.len() > CACHE {
            server.cache.pop_front();
        }
        let tokens = f64::from(request.prompt) * if hit { 1.0 - SHARED } else { 1.0 };
        let first = time + tokens * PREFILL / speed(index);
        let objective = OBJECTIVES[usize::from(request.tier)];
        self.figures.prefilled += tokens;
        self.figures.wasted += if first - request.arrived > objective { tokens } else { 0.0 };
        self.figures.hits += u64::from(hit);
        self.figures.started += 1;
        self.figures.liar += u64::from(index == LIAR);
        self.at(first, Event::First(index, chosen));
    }

    fn first(&mut self, server: usize, index: usize, time: f64) {
        let now = self.now(time);
        let request = &mut self.requests[index];
        request.first = time;
        let took = time - request.arrived;
        let tier = usize::from(request.tier);
        self.figures.good[tier] += u64::from(took <= OBJECTIVES[tier]);
        self.figures.firsts.push(took);
        if let Some(flight) = &mut request.flight {
            self.fleets[request.entry].record_first_token(self.keys[server], flight, now);
        }
        let lasts = f64::from(request.output) * BETWEEN / speed(server);
        self.at(time + lasts, Event::End(server, index));
    }

    fn end(&mut self, server: usize, index: usize, time: f64) {
        let now = self.now(time);
        let request = &mut self.requests[index];
        let (entry, tokens) = (request.entry, request.output);
        if let Some(flight) = request.flight.take() {
            self.fleets[entry].end(self.keys[server], flight, tokens, now);
        }
        self.servers[server].running -= 1;
        self.start_next(server, time);
        let report = self.load(server);
        self.at(time + 0.001, Event::Report(server, entry, report));
    }

    /// Sends the load report to every entry, with a random delay.
    fn measure(&mut self, server: usize, time: f64) {
        let report = self.load(server);
        for entry in 0..self.scene.entries {
            let lag = self.rng.random_range(0.0..REPORT_LAG);
            self.at(time + lag, Event::Report(server, entry, report));
        }
        if time < LENGTH {
            self.at(time + REPORT_EVERY, Event::Measure(server));
        }
    }

    fn load(&self, index: usize) -> LoadReport {
        let server = &self.servers[index];
        let idle = LoadReport { limit: SLOTS as u32, healthy: true, ..LoadReport::default() };
        if index == LIAR {
            return LoadReport { limit: 64, first_token: Duration::from_millis(1), ..idle };
        }
        let between = BETWEEN / speed(index);
        let waiting = &server.queue;
        let tokens: u64 = waiting.iter().map(|&r| u64::from(self.requests[r].output)).sum();
        let wait = tokens as f64 * between / SLOTS as f64;
        LoadReport {
            queued: waiting.len() as u32,
            running: server.running as u32,
            pending_tokens: tokens,
            first_token: Duration::from_secs_f64(wait + 1_100.0 * PREFILL / speed(index)),
            inter_token: Duration::from_secs_f64(between),
            ..idle
        }
    }
}
