//! Callers: what they ask for, when, and whether they come back.

use std::time::Duration;

use egretgate_core::gateway::catalog::{Route, RouteKind};
use rand::RngExt;
use rand_chacha::ChaCha8Rng;
use rand_distr::{Distribution, Exp, LogNormal};

use crate::site::{Answer, Kind, Site, What, millis};

/// A request as a caller makes it.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Asked {
    pub(crate) prompt: u32,
    /// Tokens of the answer.
    pub(crate) output: u32,
    /// Events that the caller expects; 0 for a call.
    pub(crate) expected: f64,
    /// Time in a slot of a plain service.
    pub(crate) time: Duration,
}

/// Returns the route of a kind of request.
pub(crate) fn route(kind: &Kind) -> Route {
    let answers = match &kind.answer {
        Answer::Stream { .. } => RouteKind::ResumableStream,
        Answer::Call { safe: true, .. } => RouteKind::Safe,
        Answer::Call { safe: false, .. } => RouteKind::Unsafe,
    };
    let mut route = Route::new(&kind.name, "model", "/", answers).to(&kind.service, 1);
    route.tier = kind.tier;
    route.objective = millis(kind.objective_ms);
    route.timeout = millis(kind.deadline_ms);
    route.attempts = kind.attempts;
    if let Answer::Stream { gap_ms, .. } = &kind.answer {
        route.max_gap = Some(millis(*gap_ms));
    }
    route
}

/// Returns what one request of a kind asks for; events of `event_tokens` tokens.
pub(crate) fn ask(kind: &Kind, event_tokens: u32, rng: &mut ChaCha8Rng) -> Asked {
    match kind.answer {
        Answer::Stream { prompt, events, spread, most, estimate, .. } => {
            let events = around(events, spread, rng).clamp(1.0, f64::from(most)).round();
            Asked {
                prompt,
                output: events as u32 * event_tokens,
                expected: events * around(1.0, estimate, rng),
                time: Duration::ZERO,
            }
        }
        Answer::Call { work_ms, spread, .. } => Asked {
            prompt: 0,
            output: 0,
            expected: 0.0,
            time: millis(around(work_ms, spread, rng)),
        },
    }
}

/// Returns the time to the next request at a rate a second.
pub(crate) fn pause(rate: f64, rng: &mut ChaCha8Rng) -> Option<Duration> {
    let pauses = Exp::new(rate).ok().filter(|_| rate > 0.0)?;
    Some(Duration::from_secs_f64(pauses.sample(rng).min(1e6)))
}

/// Returns the factor of the load at a moment, in seconds from the start.
pub(crate) fn load(site: &Site, at: f64) -> f64 {
    let bursts = site.troubles.iter().filter_map(|trouble| match trouble.what {
        What::Burst { factor } if at >= trouble.at && at < trouble.at + trouble.seconds => {
            Some(factor)
        }
        _ => None,
    });
    bursts.product()
}

/// Returns the highest factor of the load.
pub(crate) fn highest_load(site: &Site) -> f64 {
    let moments = site.troubles.iter().map(|trouble| trouble.at);
    moments.map(|at| load(site, at)).fold(1.0, f64::max)
}

/// Returns the entry that a caller reaches: of its own zone, if there is one.
pub(crate) fn entry(site: &Site, rng: &mut ChaCha8Rng) -> usize {
    let zones = &site.entries.zones;
    let total: f64 = zones.iter().map(|zone| zone.weight).sum();
    let mut point = rng.random_range(0.0..total);
    let found = zones.iter().position(|zone| {
        point -= zone.weight;
        point < 0.0
    });
    let zone = found.unwrap_or(0);
    let here: Vec<usize> =
        (0..site.entries.count).filter(|entry| entry % zones.len() == zone).collect();
    match here.len() {
        0 => rng.random_range(0..site.entries.count),
        count => here[rng.random_range(0..count)],
    }
}

/// Returns a sample of a log-normal distribution by its mean.
fn around(mean: f64, spread: f64, rng: &mut ChaCha8Rng) -> f64 {
    let middle = mean.max(f64::MIN_POSITIVE).ln() - spread * spread / 2.0;
    LogNormal::new(middle, spread.abs()).map_or(mean, |values| values.sample(rng))
}
