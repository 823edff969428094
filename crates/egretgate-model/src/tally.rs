//! Results of one run.

use std::time::Duration;

use hdrhistogram::Histogram;
use serde::Serialize;

use crate::site::Site;

/// Longest time that histograms distinguish, in microseconds; longer ones count as this one.
const MAX_TIME_US: u64 = 120_000_000;

/// How a request ended for its caller.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum RequestResult {
    /// Whole, with its first event and all gaps in time.
    InTime,
    /// Whole, but its first event was late.
    Late,
    /// Whole, but a gap between its events was too long.
    Paused,
    /// Refused for good.
    Refused,
    /// Lost, failed or not whole by the caller's deadline.
    Failed,
}

/// Callers' results for one kind of request.
#[derive(Debug, Clone, Default, Serialize)]
pub struct KindResult {
    /// Name of the kind.
    pub kind: String,
    /// Tier of the kind.
    pub tier: u8,
    /// Number of requests.
    pub asked: u64,
    /// Number of requests answered in time.
    pub in_time: u64,
    /// Number of requests answered late.
    pub late: u64,
    /// Of the late ones, those whose first event was in time but not a later one.
    pub paused: u64,
    /// Number of requests refused for good.
    pub refused: u64,
    /// Number of requests that failed, were lost or got no whole answer by the caller's deadline.
    pub failed: u64,
    /// Worth earned, as a fraction of the worth if all requests were answered in time.
    pub value: f64,
    /// Median time to the first event, in milliseconds.
    pub median_ms: f64,
    /// Ninety-ninth percentile of the time to the first event, in milliseconds.
    pub p99_ms: f64,
}

/// Results of one second for one tier.
#[derive(Debug, Clone, Default, Serialize)]
pub struct SecondResult {
    /// Second in which the requests arrived.
    pub second: usize,
    /// Tier.
    pub tier: u8,
    /// Number of requests.
    pub asked: u64,
    /// Number of requests answered in time.
    pub in_time: u64,
    /// Mean time to the first event of those that had one, in milliseconds.
    pub first_ms: f64,
}

/// Results of one run.
#[derive(Debug, Clone, Serialize)]
pub struct Results {
    /// Seed of the run.
    pub seed: u64,
    /// Worth earned, as a fraction of the worth if all requests were answered in time; over all
    /// kinds.
    pub value: f64,
    /// Fraction of the requests that were answered, in time or late.
    pub served: f64,
    /// Fraction of the upstreams' slots in use, on average over the run.
    pub used: f64,
    /// Requests queued at upstreams, per slot, on average over the run.
    pub queued: f64,
    /// Number of preemptions in engines for lack of memory.
    pub preempted: u64,
    /// Results by kind of request.
    pub kinds: Vec<KindResult>,
    /// Results by second and tier.
    pub seconds: Vec<SecondResult>,
}

/// Collects the results of a run.
#[derive(Debug)]
pub(crate) struct Tally {
    kinds: Vec<KindCount>,
    /// By second, then tier.
    seconds: Vec<Vec<SecondCount>>,
    used: f64,
    queued: f64,
    samples: u64,
}

#[derive(Debug)]
struct KindCount {
    result: KindResult,
    worth: f64,
    late_worth: f64,
    first_us: Histogram<u64>,
}

#[derive(Debug, Clone, Default)]
struct SecondCount {
    asked: u64,
    in_time: u64,
    first_count: u64,
    first_sum: Duration,
}

impl Tally {
    pub(crate) fn new(site: &Site) -> Self {
        let count = |kind: &crate::site::RequestKind| KindCount {
            result: KindResult {
                kind: kind.name.clone(),
                tier: kind.tier,
                ..KindResult::default()
            },
            worth: kind.worth,
            late_worth: kind.late_worth,
            first_us: Histogram::new_with_bounds(1, MAX_TIME_US, 3).expect("valid bounds"),
        };
        let tiers = site.requests.iter().map(|kind| usize::from(kind.tier) + 1).max().unwrap_or(0);
        let seconds = vec![vec![SecondCount::default(); tiers]; site.seconds.ceil() as usize + 1];
        let kinds = site.requests.iter().map(count).collect();
        Self { kinds, seconds, used: 0.0, queued: 0.0, samples: 0 }
    }

    /// Records a request that arrived `at` after the start.
    pub(crate) fn record_request(&mut self, kind: usize, at: Duration) {
        let count = &mut self.kinds[kind];
        count.result.asked += 1;
        let tier = usize::from(count.result.tier);
        self.second(at, tier).asked += 1;
    }

    /// Records the end of a request that arrived `at` after the start, with the time to its first
    /// event.
    pub(crate) fn record_end(
        &mut self,
        kind: usize,
        at: Duration,
        result: RequestResult,
        first: Option<Duration>,
    ) {
        let count = &mut self.kinds[kind];
        match result {
            RequestResult::InTime => count.result.in_time += 1,
            RequestResult::Late => count.result.late += 1,
            RequestResult::Paused => {
                count.result.late += 1;
                count.result.paused += 1;
            }
            RequestResult::Refused => count.result.refused += 1,
            RequestResult::Failed => count.result.failed += 1,
        }
        if let Some(first) = first {
            count.first_us.saturating_record(first.as_micros() as u64);
        }
        let tier = usize::from(count.result.tier);
        let second = self.second(at, tier);
        second.in_time += u64::from(result == RequestResult::InTime);
        if let Some(first) = first {
            second.first_count += 1;
            second.first_sum += first;
        }
    }

    /// Records a sample of the running and the queued requests at upstreams, per slot.
    pub(crate) fn record_sample(&mut self, used: f64, queued: f64) {
        self.used += used;
        self.queued += queued;
        self.samples += 1;
    }

    pub(crate) fn finish(mut self, seed: u64, preempted: u64) -> Results {
        let (mut total_earned, mut total_possible, mut served, mut asked) = (0.0, 0.0, 0, 0);
        for count in &mut self.kinds {
            let result = &mut count.result;
            let earned =
                result.in_time as f64 * count.worth + result.late as f64 * count.late_worth;
            let possible = result.asked as f64 * count.worth;
            result.value = ratio(earned, possible);
            result.median_ms = count.first_us.value_at_quantile(0.5) as f64 / 1_000.0;
            result.p99_ms = count.first_us.value_at_quantile(0.99) as f64 / 1_000.0;
            total_earned += earned;
            total_possible += possible;
            served += result.in_time + result.late;
            asked += result.asked;
        }
        let seconds = self.seconds.iter().enumerate().flat_map(|(second, tiers)| {
            tiers.iter().enumerate().map(move |(tier, count)| SecondResult {
                second,
                tier: tier as u8,
                asked: count.asked,
                in_time: count.in_time,
                first_ms: count.first_sum.as_secs_f64() * 1_000.0 / count.first_count.max(1) as f64,
            })
        });
        Results {
            seed,
            value: ratio(total_earned, total_possible),
            served: ratio(served as f64, asked as f64),
            used: ratio(self.used, self.samples as f64),
            queued: ratio(self.queued, self.samples as f64),
            preempted,
            seconds: seconds.filter(|second| second.asked > 0).collect(),
            kinds: self.kinds.into_iter().map(|count| count.result).collect(),
        }
    }

    fn second(&mut self, at: Duration, tier: usize) -> &mut SecondCount {
        let last = self.seconds.len() - 1;
        &mut self.seconds[(at.as_secs() as usize).min(last)][tier]
    }
}

/// Returns `some / all`, or 1 if `all` is 0.
fn ratio(some: f64, all: f64) -> f64 {
    if all > 0.0 { some / all } else { 1.0 }
}
