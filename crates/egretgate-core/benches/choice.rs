//! Cost of one choice of an upstream, by policy and fleet size.

use std::time::{Duration, Instant};

use divan::{Bencher, black_box};
use egretgate_core::choice::{ChoiceRequest, Fleet, LoadReport, Policy, Upstream};
use rand::{Rng, RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

/// Numbers of upstreams.
const SIZES: [usize; 3] = [20, 630, 10_000];
/// Number of upstreams in one zone of the target deployment, which has 10,000 in 38 zones.
const ZONE_SIZE: usize = 264;

fn main() {
    divan::main();
}

fn fleet(policy: Policy, size: usize, now: Instant) -> Fleet {
    let mut rng = ChaCha8Rng::seed_from_u64(1);
    let mut fleet = Fleet::new(policy);
    for index in 0..size {
        let key = fleet.insert(Upstream {
            id: format!("forecast-{index}"),
            zone: format!("zone-{}", index / ZONE_SIZE),
            service: "forecast-llm".into(),
            versions: vec!["v1".into()],
        });
        let report = LoadReport {
            queued: rng.random_range(0..4),
            running: rng.random_range(0..16),
            limit: 16,
            pending_tokens: 1_000,
            first_token: Duration::from_millis(rng.random_range(20..400)),
            inter_token: Duration::from_millis(rng.random_range(8..34)),
            lowest_tier: None,
            shed_tier: None,
            healthy: true,
        };
        fleet.record_report(key, report, now);
    }
    fleet
}

fn request<R: Rng>(rng: &mut R) -> ChoiceRequest<'static> {
    ChoiceRequest {
        service: "forecast-llm",
        version: Some("v1"),
        tier: 1,
        prompt_tokens: 500,
        output_tokens: 100,
        prefix_hash: rng.random(),
        zone: "zone-0",
        excluded: &[],
    }
}

fn decide(bencher: Bencher<'_, '_>, policy: Policy, size: usize) {
    let now = Instant::now();
    let fleet = fleet(policy, size, now);
    let mut rng = ChaCha8Rng::seed_from_u64(2);
    bencher.bench_local(|| fleet.choose(black_box(&request(&mut rng)), now, &mut rng));
}

#[divan::bench(args = SIZES, sample_size = 500)]
fn random(bencher: Bencher<'_, '_>, size: usize) {
    decide(bencher, Policy::Random, size);
}

#[divan::bench(args = SIZES, sample_size = 500)]
fn least_in_flight(bencher: Bencher<'_, '_>, size: usize) {
    decide(bencher, Policy::LeastInFlight, size);
}

#[divan::bench(args = SIZES, sample_size = 500)]
fn two_choices(bencher: Bencher<'_, '_>, size: usize) {
    decide(bencher, Policy::TwoChoices, size);
}

#[divan::bench(args = SIZES, sample_size = 500)]
fn prequal(bencher: Bencher<'_, '_>, size: usize) {
    decide(bencher, Policy::Prequal, size);
}

#[divan::bench(args = SIZES, sample_size = 500)]
fn affinity(bencher: Bencher<'_, '_>, size: usize) {
    decide(bencher, Policy::Affinity, size);
}

/// Offer and end of one request, including the updates of the indexes.
#[divan::bench(args = SIZES, sample_size = 500)]
fn begin_and_end(bencher: Bencher<'_, '_>, size: usize) {
    let now = Instant::now();
    let mut fleet = fleet(Policy::Affinity, size, now);
    let mut rng = ChaCha8Rng::seed_from_u64(2);
    bencher.bench_local(|| {
        let request = request(&mut rng);
        let key = fleet.choose(&request, now, &mut rng).expect("an upstream");
        let in_flight = fleet.begin(key, &request, now);
        fleet.end(key, in_flight, 100, now);
    });
}
