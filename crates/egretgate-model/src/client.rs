//! Callers: the requests that they send, when, and to which entry.

use std::time::Duration;

use egretgate_core::gateway::catalog::{Route, RouteKind};
use rand::RngExt;
use rand_chacha::ChaCha8Rng;
use rand_distr::{Distribution, Exp, LogNormal};

use crate::site::{AnswerSpec, RequestKind, Site, TroubleKind, millis};

/// The sizes of one request.
#[derive(Debug, Clone, Copy)]
pub(crate) struct RequestShape {
    pub(crate) prompt_tokens: u32,
    /// Tokens of the answer.
    pub(crate) output_tokens: u32,
    /// Number of events that the caller estimates; 0 for a call.
    pub(crate) expected_events: f64,
    /// Time in a slot of a plain service.
    pub(crate) service_time: Duration,
}

/// Returns the route of a kind of request.
pub(crate) fn route(kind: &RequestKind) -> Route {
    let route_kind = match &kind.answer {
        AnswerSpec::Stream { .. } => RouteKind::ResumableStream,
        AnswerSpec::Call { safe: true, .. } => RouteKind::Safe,
        AnswerSpec::Call { safe: false, .. } => RouteKind::Unsafe,
    };
    let mut route = Route::new(&kind.name, "model", "/", route_kind).to(&kind.service, 1);
    route.tier = kind.tier;
    route.objective = millis(kind.objective_ms);
    route.timeout = millis(kind.deadline_ms);
    route.attempts = kind.attempts;
    if let AnswerSpec::Stream { gap_ms, .. } = &kind.answer {
        route.max_gap = Some(millis(*gap_ms));
    }
    route
}

/// Draws the sizes of one request of a kind; each of its events has `event_tokens` tokens.
pub(crate) fn sample_request(
    kind: &RequestKind,
    event_tokens: u32,
    rng: &mut ChaCha8Rng,
) -> RequestShape {
    match kind.answer {
        AnswerSpec::Stream { prompt, events, spread, most, estimate, .. } => {
            let events = sample_log_normal(events, spread, rng).clamp(1.0, f64::from(most)).round();
            RequestShape {
                prompt_tokens: prompt,
                output_tokens: events as u32 * event_tokens,
                expected_events: events * sample_log_normal(1.0, estimate, rng),
                service_time: Duration::ZERO,
            }
        }
        AnswerSpec::Call { work_ms, spread, .. } => RequestShape {
            prompt_tokens: 0,
            output_tokens: 0,
            expected_events: 0.0,
            service_time: millis(sample_log_normal(work_ms, spread, rng)),
        },
    }
}

/// Draws the time to the next request at a rate of requests a second; `None` if the rate is 0.
pub(crate) fn sample_interval(rate: f64, rng: &mut ChaCha8Rng) -> Option<Duration> {
    let intervals = Exp::new(rate).ok().filter(|_| rate > 0.0)?;
    Some(Duration::from_secs_f64(intervals.sample(rng).min(1e6)))
}

/// Returns the load factor at a time, in seconds from the start.
pub(crate) fn load_factor(site: &Site, at: f64) -> f64 {
    let bursts = site.troubles.iter().filter_map(|trouble| match trouble.what {
        TroubleKind::Burst { factor } if at >= trouble.at && at < trouble.at + trouble.seconds => {
            Some(factor)
        }
        _ => None,
    });
    bursts.product()
}

/// Returns the highest load factor of the run.
pub(crate) fn peak_load_factor(site: &Site) -> f64 {
    let starts = site.troubles.iter().map(|trouble| trouble.at);
    starts.map(|at| load_factor(site, at)).fold(1.0, f64::max)
}

/// Draws a caller's zone and returns an entry of this zone, or any entry if the zone has none.
pub(crate) fn sample_entry(site: &Site, rng: &mut ChaCha8Rng) -> usize {
    let zones = &site.entries.zones;
    let total: f64 = zones.iter().map(|zone| zone.weight).sum();
    let mut point = rng.random_range(0.0..total);
    let found = zones.iter().position(|zone| {
        point -= zone.weight;
        point < 0.0
    });
    let zone = found.unwrap_or(0);
    let in_zone: Vec<usize> =
        (0..site.entries.count).filter(|entry| entry % zones.len() == zone).collect();
    match in_zone.len() {
        0 => rng.random_range(0..site.entries.count),
        count => in_zone[rng.random_range(0..count)],
    }
}

/// Draws from a log-normal distribution with this mean.
fn sample_log_normal(mean: f64, spread: f64, rng: &mut ChaCha8Rng) -> f64 {
    let location = mean.max(f64::MIN_POSITIVE).ln() - spread * spread / 2.0;
    LogNormal::new(location, spread.abs()).map_or(mean, |distribution| distribution.sample(rng))
}
