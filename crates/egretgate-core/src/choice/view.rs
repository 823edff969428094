//! One entry's view of one upstream.

use std::time::{Duration, Instant};

use super::{ChoiceRequest, LoadReport, Upstream};
use crate::ids::{MAX_TIERS, Tier};

/// Age at which a report has half the weight of a fresh one.
const REPORT_HALF_AGE: Duration = Duration::from_secs(1);
/// Time in which a measured excess over the prediction loses half its weight.
const EXCESS_HALF_LIFE: Duration = Duration::from_secs(2);
/// Weight of a new observation in the moving averages.
const MEAN_GAIN: f64 = 0.2;
/// Weight of an observation above the moving lower bound of prefill time. Lower than [`MEAN_GAIN`],
/// so that the bound falls fast and rises slowly.
const PREFILL_RISE_GAIN: f64 = 0.02;
/// Concurrency slots of an upstream that has reported no limit.
const DEFAULT_SLOTS: u32 = 8;
/// Tokens per second of one stream until it is measured.
const DEFAULT_TOKENS_PER_S: f64 = 30.0;
/// Seconds of prefill per prompt token until it is measured.
const DEFAULT_PREFILL_S: f64 = 0.000_2;
/// Streams that must be measured before their speed is used instead of the reported one.
const MIN_MEASURED_STREAMS: u32 = 3;
/// Minimum weight of a report for its shed tier to be used.
const MIN_SHED_FRESHNESS: f64 = 0.25;
/// Excess over the prediction in seconds from which a request counts as having waited.
const WAITED_EXCESS_S: f64 = 0.1;
/// Slots by which [`View::slot_cap`] rises for each request that did not wait.
const SLOT_RECOVERY: f64 = 0.1;
/// Power of the utilization that approximates the probability of waiting.
const WAIT_PROBABILITY_POWER: i32 = 8;
/// Prompt tokens that count as much as one generated token.
const PROMPT_TOKENS_PER_OUTPUT: u64 = 16;

/// A request of the entry at an upstream, from offer to end.
#[derive(Debug, Clone)]
pub struct InFlightRequest {
    /// Outstanding tokens that it adds to the upstream, weighted.
    pub(super) weighted_tokens: u64,
    /// Tier.
    pub(super) tier: Tier,
    /// Prompt length in tokens.
    pub(super) prompt_tokens: u32,
    /// Time to first token in seconds predicted from reports and own requests, without the measured
    /// excess.
    pub(super) predicted_first: f64,
    /// Requests in flight assumed by the prediction.
    pub(super) assumed_load: f64,
    /// Time of the offer.
    pub(super) offered_at: Instant,
    /// Time of the first token.
    pub(super) first_token: Option<Instant>,
}

/// One entry's view of one upstream.
#[derive(Debug, Clone)]
pub struct View {
    /// Name, zone, service and versions.
    pub upstream: Upstream,
    /// Fraction of its full load that it may receive, in 0..=1; 0 excludes it.
    pub(super) weight: f64,
    /// True if the upstream's zone is drained.
    pub(super) drained: bool,
    /// Last load report.
    pub(super) report: LoadReport,
    /// When the last report arrived.
    reported_at: Option<Instant>,
    /// Own requests in flight when the last report arrived, which the report also counts.
    own_reported: u32,
    /// Own requests in flight.
    pub(super) own_in_flight: u32,
    /// Own outstanding tokens, weighted.
    pub(super) weighted_tokens: u64,
    /// Own requests without a first token, by tier. Their sum is at most `own_in_flight`.
    pub(super) unstarted: [u32; MAX_TIERS],
    /// Upper bound of the slots from own observations, whatever limit is reported.
    slot_cap: f64,
    /// Measured tokens per second of one stream.
    token_rate: f64,
    /// Number of own streams from which `token_rate` was measured.
    measured_streams: u32,
    /// Moving lower bound of seconds to first token per prompt token.
    prefill: f64,
    /// Excess over the prediction, by tier, because requests of a lower tier may wait for reasons
    /// that do not affect a higher one.
    excess: [Excess; MAX_TIERS],
}

/// How much longer than predicted the first tokens of a tier take.
#[derive(Debug, Clone, Copy, Default)]
struct Excess {
    /// Average of measured minus predicted time to first token, in seconds; may be negative.
    average: f64,
    /// When `average` was last updated.
    updated_at: Option<Instant>,
    /// Time since which a first token has been awaited and none has arrived.
    stalled_since: Option<Instant>,
}

/// Averages of a group, used in place of an upstream's report as that grows old.
#[derive(Debug, Clone, Copy, Default)]
pub(super) struct GroupAverages {
    /// Other entries' requests per slot.
    pub(super) others_ratio: f64,
    /// Mean weighted tokens of an own request in flight; 0 if there are none.
    pub(super) request_tokens: f64,
    /// Fraction of waiting requests that are of the given tier or a more urgent one.
    pub(super) ahead_fraction: f64,
}

impl InFlightRequest {
    /// Returns the weighted tokens of a request.
    pub(super) fn weighted_tokens(request: &ChoiceRequest<'_>) -> u64 {
        u64::from(request.output_tokens)
            + u64::from(request.prompt_tokens) / PROMPT_TOKENS_PER_OUTPUT
            + 1
    }
}

impl View {
    /// Returns the view of an upstream without reports or measurements.
    pub(super) fn new(upstream: Upstream) -> Self {
        Self {
            upstream,
            weight: 1.0,
            drained: false,
            report: LoadReport { healthy: true, ..LoadReport::default() },
            reported_at: None,
            own_reported: 0,
            own_in_flight: 0,
            weighted_tokens: 0,
            unstarted: [0; MAX_TIERS],
            slot_cap: f64::MAX,
            token_rate: DEFAULT_TOKENS_PER_S,
            measured_streams: 0,
            prefill: DEFAULT_PREFILL_S,
            excess: [Excess::default(); MAX_TIERS],
        }
    }

    /// Returns the last report.
    pub fn report(&self) -> &LoadReport {
        &self.report
    }

    /// Returns the number of the entry's own requests in flight.
    pub fn own_in_flight(&self) -> u32 {
        self.own_in_flight
    }

    /// Returns the fraction of its full load that the upstream may receive.
    pub fn weight(&self) -> f64 {
        self.weight
    }

    /// Returns true if the upstream's zone is drained.
    pub fn is_drained(&self) -> bool {
        self.drained
    }

    /// Returns true if the upstream may be offered requests at all.
    pub fn is_eligible(&self) -> bool {
        !self.drained && self.weight > 0.0 && self.report.healthy
    }

    /// Returns the number of requests that it can run concurrently.
    pub(super) fn slots(&self) -> u32 {
        if self.report.limit == 0 { DEFAULT_SLOTS } else { self.report.limit }
    }

    /// Returns the tokens per second of one stream.
    pub fn token_rate(&self) -> f64 {
        if self.measured_streams < MIN_MEASURED_STREAMS && !self.report.inter_token.is_zero() {
            return 1.0 / self.report.inter_token.as_secs_f64();
        }
        self.token_rate
    }

    /// Returns the number of other entries' requests that the last report counts.
    pub(super) fn other_requests(&self) -> u32 {
        (self.report.queued + self.report.running).saturating_sub(self.own_reported)
    }

    /// Returns the number of requests in flight by the last report, or of the entry's own if these
    /// are more.
    pub(super) fn in_flight(&self) -> u32 {
        self.own_in_flight.max(self.report.queued + self.report.running)
    }

    /// Replaces the report.
    pub(super) fn set_report(&mut self, report: LoadReport, now: Instant) {
        self.report = report;
        self.reported_at = Some(now);
        self.own_reported = self.own_in_flight;
    }

    /// Returns the weight of the last report at `now`, in 0..=1.
    fn freshness(&self, now: Instant) -> f64 {
        let Some(at) = self.reported_at else { return 0.0 };
        decay(now.saturating_duration_since(at), REPORT_HALF_AGE)
    }

    /// Predicts the seconds to first token from the last report and own requests.
    ///
    /// `hit_fraction` is the fraction of the prompt expected in the upstream's prefix cache, in
    /// 0..=1.
    pub(super) fn predict(
        &self,
        request: &ChoiceRequest<'_>,
        averages: GroupAverages,
        hit_fraction: f64,
        now: Instant,
    ) -> f64 {
        let freshness = self.freshness(now);
        let slots = self.effective_slots();
        let load = self.load_at(averages, freshness);
        let utilization = (load / slots).min(1.0);
        // Requests sometimes queue below saturation too; the power approximates the probability.
        let queue = (load - slots).max(0.0);
        let ahead =
            if queue > 0.0 { self.requests_ahead(request.tier, queue, averages) } else { 0.0 };
        // Requests of every tier wait alike for the next slot to become free.
        let next_slot = (load + 1.0 - slots).clamp(0.0, 1.0);
        let waiting = next_slot + ahead + utilization.powi(WAIT_PROBABILITY_POWER);
        let tokens = if averages.request_tokens > 0.0 {
            averages.request_tokens
        } else {
            f64::from(request.output_tokens)
        };
        let wait = waiting * tokens / (slots * self.token_rate());
        let prefill = f64::from(request.prompt_tokens) * self.prefill * (1.0 - hit_fraction);
        let contention = prefill * (load / slots);
        let modelled = wait + prefill + contention;
        // While requests are queued, the reported time to first token does not apply to every tier.
        let reported =
            if self.report.queued == 0 { self.report.first_token } else { Duration::ZERO };
        modelled.max(freshness * reported.as_secs_f64())
    }

    /// Returns how many of `queue` waiting requests are of `tier` or a more urgent one.
    fn requests_ahead(&self, tier: Tier, queue: f64, averages: GroupAverages) -> f64 {
        let own: u32 = self.unstarted.iter().sum();
        let urgent: u32 = self.unstarted[..=tier_index(tier)].iter().sum();
        f64::from(urgent).min(queue) + (queue - f64::from(own)).max(0.0) * averages.ahead_fraction
    }

    /// Returns the number of requests in flight: own ones plus other entries', estimated from the
    /// last report and, as that grows old, from the group's averages.
    pub(super) fn load(&self, averages: GroupAverages, now: Instant) -> f64 {
        self.load_at(averages, self.freshness(now))
    }

    fn load_at(&self, averages: GroupAverages, freshness: f64) -> f64 {
        let expected_others = averages.others_ratio * f64::from(self.slots());
        f64::from(self.own_in_flight)
            + freshness * f64::from(self.other_requests())
            + (1.0 - freshness) * expected_others
    }

    /// Returns the number of reported slots, or fewer if own requests waited at a lower load.
    fn effective_slots(&self) -> f64 {
        f64::from(self.slots()).min(self.slot_cap)
    }

    /// Returns the seconds by which own observations of `tier` exceed predictions. More urgent
    /// tiers count too, because their requests wait no longer.
    pub(super) fn excess(&self, tier: Tier, now: Instant) -> f64 {
        self.excess[..=tier_index(tier)].iter().map(|excess| excess.at(now)).fold(0.0, f64::max)
    }

    /// Returns true if the last report says that `tier` would be refused and is recent enough.
    pub(super) fn sheds(&self, tier: u8, now: Instant) -> bool {
        let Some(shed_tier) = self.report.shed_tier else { return false };
        let displaces = self.report.lowest_tier.is_some_and(|lowest| lowest > tier);
        shed_tier <= tier && !displaces && self.freshness(now) > MIN_SHED_FRESHNESS
    }

    /// Counts the offer of an own request.
    pub(super) fn begin(&mut self, request: &InFlightRequest) {
        self.own_in_flight += 1;
        self.weighted_tokens += request.weighted_tokens;
        self.unstarted[tier_index(request.tier)] += 1;
        self.excess[tier_index(request.tier)].stalled_since.get_or_insert(request.offered_at);
    }

    /// Counts the end of an own request.
    pub(super) fn end(&mut self, request: &InFlightRequest, now: Instant) {
        self.own_in_flight = self.own_in_flight.saturating_sub(1);
        self.weighted_tokens = self.weighted_tokens.saturating_sub(request.weighted_tokens);
        if request.first_token.is_none() {
            self.stop_awaiting(request.tier, now);
        }
    }

    /// Counts an own request as no longer waiting for its first token.
    fn stop_awaiting(&mut self, tier: Tier, now: Instant) {
        let unstarted = &mut self.unstarted[tier_index(tier)];
        *unstarted = unstarted.saturating_sub(1);
        let awaited = *unstarted > 0;
        self.excess[tier_index(tier)].stalled_since = awaited.then_some(now);
    }

    /// Records the time to first token of an own request.
    pub(super) fn observe_first_token(&mut self, request: &InFlightRequest, now: Instant) {
        self.stop_awaiting(request.tier, now);
        let seconds = now.saturating_duration_since(request.offered_at).as_secs_f64();
        let excess = seconds - request.predicted_first;
        self.update_slot_cap(request, excess);
        self.excess[tier_index(request.tier)].observe(excess, now);
        let had_free_slot = request.assumed_load + 1.0 <= self.effective_slots();
        if request.prompt_tokens > 0 && had_free_slot {
            let per_token = seconds / f64::from(request.prompt_tokens);
            let gain = if per_token < self.prefill { MEAN_GAIN } else { PREFILL_RISE_GAIN };
            self.prefill += gain * (per_token.min(self.prefill * 4.0) - self.prefill);
        }
    }

    /// Lowers the slot cap after a request that waited, and raises it after one that did not.
    fn update_slot_cap(&mut self, request: &InFlightRequest, excess: f64) {
        let queued = request.assumed_load >= f64::from(self.slots());
        if excess > WAITED_EXCESS_S.max(request.predicted_first) && !queued {
            let slots = self.effective_slots();
            self.slot_cap = f64::midpoint(slots, request.assumed_load.min(slots).max(1.0));
        } else {
            self.slot_cap += SLOT_RECOVERY;
        }
    }

    /// Records the speed of an own stream that ended.
    pub(super) fn observe_stream(&mut self, tokens: u32, duration: Duration) {
        if tokens < 2 || duration.is_zero() {
            return;
        }
        let rate = f64::from(tokens - 1) / duration.as_secs_f64();
        let gain = if self.measured_streams == 0 { 1.0 } else { MEAN_GAIN };
        self.token_rate += gain * (rate - self.token_rate);
        self.measured_streams = self.measured_streams.saturating_add(1);
    }
}

impl Excess {
    fn at(self, now: Instant) -> f64 {
        let since = |at: Instant| now.saturating_duration_since(at);
        let measured = self.updated_at.map_or(0.0, |at| self.average * fade(since(at)));
        let stalled = self.stalled_since.map_or(0.0, |at| since(at).as_secs_f64());
        measured.max(stalled)
    }

    fn observe(&mut self, excess: f64, now: Instant) {
        let age = self.updated_at.map_or(Duration::ZERO, |at| now.saturating_duration_since(at));
        let decayed = self.average * fade(age);
        self.average = decayed + MEAN_GAIN * (excess - decayed);
        self.updated_at = Some(now);
    }
}

/// Returns the array index of a tier.
pub(super) fn tier_index(tier: Tier) -> usize {
    usize::from(tier).min(MAX_TIERS - 1)
}

/// Returns the weight of a measured excess. It falls so fast that an upstream which is avoided for
/// its excess is soon measured again.
fn fade(age: Duration) -> f64 {
    0.5_f64.powf(age.as_secs_f64() / EXCESS_HALF_LIFE.as_secs_f64())
}

/// Returns a weight that falls with age: 1 at age zero, one half at `half_age`.
fn decay(age: Duration, half_age: Duration) -> f64 {
    1.0 / (1.0 + age.as_secs_f64() / half_age.as_secs_f64())
}
