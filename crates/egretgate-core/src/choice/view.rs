//! What one entry knows of one upstream.

use std::time::{Duration, Instant};

use super::{Ask, Report, Upstream};
use crate::ids::{MAX_TIERS, Tier};

/// Age at which a report weighs half as much as a fresh one.
const HALF_AGE: Duration = Duration::from_secs(1);
/// Time after which a measured excess over the prediction counts half.
const HALF_EXCESS: Duration = Duration::from_secs(5);
/// Weight of a new observation in the moving averages.
const GAIN: f64 = 0.2;
/// Weight of an observation above the moving lower bound of prefill time.
const RISE: f64 = 0.02;
/// Slots of an upstream that has reported no limit.
const DEFAULT_SLOTS: u32 = 8;
/// Tokens per second of one stream before anything was measured.
const DEFAULT_RATE: f64 = 30.0;
/// Seconds of prefill per prompt token before anything was measured.
const DEFAULT_PREFILL: f64 = 0.000_2;
/// Own streams measured before they go before the reported speed.
const TRUSTED: u32 = 3;
/// Weight of a report down to which its shed level is heeded.
const SHED_FRESHNESS: f64 = 0.25;
/// Excess over the prediction from which a request counts as having waited, in seconds.
const WAITED: f64 = 0.1;
/// Slots regained for each request that did not wait.
const SLOT_GAIN: f64 = 0.1;
/// Power of the utilization that approximates the probability of waiting.
const QUEUE_POWER: i32 = 8;
/// Prompt tokens that weigh as much as one generated token.
const PROMPT_WEIGHT: u64 = 16;

/// One request of the entry at an upstream, from offer to end.
#[derive(Debug, Clone)]
pub struct Flight {
    /// Outstanding tokens that it adds to the upstream, weighted.
    pub(super) work: u64,
    /// Tier.
    pub(super) tier: Tier,
    /// Prompt length in tokens.
    pub(super) prompt: u32,
    /// Time to first token predicted from reports and own work, without the measured excess.
    pub(super) predicted: f64,
    /// Requests in flight that the prediction assumed.
    pub(super) load: f64,
    /// Time of the offer.
    pub(super) begun: Instant,
    /// Time of the first token.
    pub(super) first: Option<Instant>,
}

/// What one entry knows of one upstream.
#[derive(Debug, Clone)]
pub struct View {
    /// Name, zone, service and versions.
    pub upstream: Upstream,
    /// Share of its full load that it may take, in 0..=1; 0 excludes it.
    pub(super) weight: f64,
    /// Last report.
    pub(super) report: Report,
    /// When the last report arrived.
    reported: Option<Instant>,
    /// Own requests in flight when the last report arrived; the report counts them too.
    base: u32,
    /// Own requests in flight.
    pub(super) flights: u32,
    /// Own outstanding tokens, weighted.
    pub(super) work: u64,
    /// Own requests that have no first token yet, by tier. Their sum is at most `flights`.
    pub(super) unstarted: [u32; MAX_TIERS],
    /// Slots that own observations leave believable, whatever is reported.
    believed: f64,
    /// Measured tokens per second of one stream.
    rate: f64,
    /// Streams from which `rate` was measured.
    measured: u32,
    /// Moving lower bound of seconds to first token per prompt token.
    prefill: f64,
    /// Excess over the prediction, by tier: a lower tier may wait for reasons that do not hold
    /// for a higher one.
    excess: [Excess; MAX_TIERS],
}

/// How much longer than predicted the first tokens of a tier take.
#[derive(Debug, Clone, Copy, Default)]
struct Excess {
    /// Average of measured minus predicted time to first token, in seconds; may be negative.
    average: f64,
    /// When `average` was last renewed.
    renewed: Option<Instant>,
    /// Since when no first token has come although one is awaited.
    stalled: Option<Instant>,
}

/// Averages of a group, which stand in for what an old report no longer says.
#[derive(Debug, Clone, Copy, Default)]
pub(super) struct Prior {
    /// Requests of others per slot.
    pub(super) others: f64,
    /// Outstanding tokens of an own request; 0 if there is none.
    pub(super) length: f64,
    /// Share of waiting requests that go before one of the tier asked for, or with it.
    pub(super) ahead: f64,
}

impl Flight {
    /// Returns the weighted tokens of a request.
    pub(super) fn weigh(ask: &Ask<'_>) -> u64 {
        u64::from(ask.output) + u64::from(ask.prompt) / PROMPT_WEIGHT + 1
    }
}

impl View {
    /// Returns the view of an upstream of which nothing else is known.
    pub(super) fn new(upstream: Upstream) -> Self {
        Self {
            upstream,
            weight: 1.0,
            report: Report { healthy: true, ..Report::default() },
            reported: None,
            base: 0,
            flights: 0,
            work: 0,
            unstarted: [0; MAX_TIERS],
            believed: f64::MAX,
            rate: DEFAULT_RATE,
            measured: 0,
            prefill: DEFAULT_PREFILL,
            excess: [Excess::default(); MAX_TIERS],
        }
    }

    /// Returns the last report.
    pub fn report(&self) -> &Report {
        &self.report
    }

    /// Returns the own requests in flight.
    pub fn flights(&self) -> u32 {
        self.flights
    }

    /// Returns the share of full load that the upstream may take.
    pub fn weight(&self) -> f64 {
        self.weight
    }

    /// Returns true if the upstream may be offered requests at all.
    pub(super) fn eligible(&self) -> bool {
        self.weight > 0.0 && self.report.healthy
    }

    /// Returns the requests that it may run at once.
    pub(super) fn slots(&self) -> u32 {
        if self.report.limit == 0 { DEFAULT_SLOTS } else { self.report.limit }
    }

    /// Returns the tokens per second of one stream.
    pub fn rate(&self) -> f64 {
        if self.measured < TRUSTED && !self.report.between.is_zero() {
            return 1.0 / self.report.between.as_secs_f64();
        }
        self.rate
    }

    /// Returns the requests of others that the last report counted.
    pub(super) fn others(&self) -> u32 {
        (self.report.queued + self.report.running).saturating_sub(self.base)
    }

    /// Returns the requests in flight as the server counts them, or as this entry does if more.
    pub(super) fn in_flight(&self) -> u32 {
        self.flights.max(self.report.queued + self.report.running)
    }

    /// Replaces the report.
    pub(super) fn set_report(&mut self, report: Report, now: Instant) {
        self.report = report;
        self.reported = Some(now);
        self.base = self.flights;
    }

    /// Returns the weight of the last report at `now`, in 0..=1.
    fn freshness(&self, now: Instant) -> f64 {
        let Some(at) = self.reported else { return 0.0 };
        halve(now.saturating_duration_since(at), HALF_AGE)
    }

    /// Predicts the seconds to the first token from the last report and own work.
    ///
    /// `hit` is the part of the prompt whose cache entries are expected to be there, in 0..=1.
    pub(super) fn predict(&self, ask: &Ask<'_>, prior: Prior, hit: f64, now: Instant) -> f64 {
        let fresh = self.freshness(now);
        let slots = self.effective_slots();
        let load = self.load_at(prior, fresh);
        let busy = (load / slots).min(1.0);
        // Below saturation a queue still forms at times; the power stands for its probability.
        let queue = (load - slots).max(0.0);
        let ahead = if queue > 0.0 { self.ahead(ask.tier, queue, prior) } else { 0.0 };
        // The next slot to fall free is waited for by every tier alike.
        let slot = (load + 1.0 - slots).clamp(0.0, 1.0);
        let waiting = slot + ahead + busy.powi(QUEUE_POWER);
        let length = if prior.length > 0.0 { prior.length } else { f64::from(ask.output) };
        let wait = waiting * length / (slots * self.rate());
        let prefill = f64::from(ask.prompt) * self.prefill * (1.0 - hit);
        let crowding = prefill * (load / slots);
        let modelled = wait + prefill + crowding;
        // A reported wait says nothing of how long a given tier waits, unless nothing is queued.
        let reported = if self.report.queued == 0 { self.report.first } else { Duration::ZERO };
        modelled.max(fresh * reported.as_secs_f64())
    }

    /// Returns how many of `queue` waiting requests go before one of `tier`, or with it.
    fn ahead(&self, tier: Tier, queue: f64, prior: Prior) -> f64 {
        let own: u32 = self.unstarted.iter().sum();
        let urgent: u32 = self.unstarted[..=rank(tier)].iter().sum();
        f64::from(urgent).min(queue) + (queue - f64::from(own)).max(0.0) * prior.ahead
    }

    /// Returns the requests in flight, by the last report at its age and own ones.
    pub(super) fn load(&self, prior: Prior, now: Instant) -> f64 {
        self.load_at(prior, self.freshness(now))
    }

    fn load_at(&self, prior: Prior, fresh: f64) -> f64 {
        let usual = prior.others * f64::from(self.slots());
        f64::from(self.flights) + fresh * f64::from(self.others()) + (1.0 - fresh) * usual
    }

    /// Returns the slots reported, or fewer if own requests waited at a lesser load.
    fn effective_slots(&self) -> f64 {
        f64::from(self.slots()).min(self.believed)
    }

    /// Returns the time by which own observations of `tier` and of more urgent ones, which wait
    /// no longer, exceed predictions, in seconds.
    pub(super) fn excess(&self, tier: Tier, now: Instant) -> f64 {
        self.excess[..=rank(tier)].iter().map(|excess| excess.at(now)).fold(0.0, f64::max)
    }

    /// Returns true if the last report, at its age, says that `tier` would be refused.
    pub(super) fn sheds(&self, tier: u8, now: Instant) -> bool {
        let Some(shed) = self.report.shed else { return false };
        let displaces = self.report.lowest.is_some_and(|lowest| lowest > tier);
        shed <= tier && !displaces && self.freshness(now) > SHED_FRESHNESS
    }

    /// Counts the offer of an own request.
    pub(super) fn begin(&mut self, flight: &Flight) {
        self.flights += 1;
        self.work += flight.work;
        self.unstarted[rank(flight.tier)] += 1;
        self.excess[rank(flight.tier)].stalled.get_or_insert(flight.begun);
    }

    /// Counts the end of an own request.
    pub(super) fn end(&mut self, flight: &Flight, now: Instant) {
        self.flights = self.flights.saturating_sub(1);
        self.work = self.work.saturating_sub(flight.work);
        if flight.first.is_none() {
            self.start(flight.tier, now);
        }
    }

    /// Counts that an own request no longer awaits its first token.
    fn start(&mut self, tier: Tier, now: Instant) {
        let unstarted = &mut self.unstarted[rank(tier)];
        *unstarted = unstarted.saturating_sub(1);
        let awaited = *unstarted > 0;
        self.excess[rank(tier)].stalled = awaited.then_some(now);
    }

    /// Takes in the time to the first token of an own request.
    pub(super) fn observe_first(&mut self, flight: &Flight, now: Instant) {
        self.start(flight.tier, now);
        let seconds = now.saturating_duration_since(flight.begun).as_secs_f64();
        let over = seconds - flight.predicted;
        self.believe(flight, over);
        self.excess[rank(flight.tier)].observe(over, now);
        let idle = flight.load + 1.0 <= self.effective_slots();
        if flight.prompt > 0 && idle {
            let unit = seconds / f64::from(flight.prompt);
            let gain = if unit < self.prefill { GAIN } else { RISE };
            self.prefill += gain * (unit.min(self.prefill * 4.0) - self.prefill);
        }
    }

    /// Lowers the believed slots after a request that waited, raises them after one that did not.
    fn believe(&mut self, flight: &Flight, over: f64) {
        let queued = flight.load >= f64::from(self.slots());
        if over > WAITED.max(flight.predicted) && !queued {
            let slots = self.effective_slots();
            self.believed = f64::midpoint(slots, flight.load.min(slots).max(1.0));
        } else {
            self.believed += SLOT_GAIN;
        }
    }

    /// Takes in the speed of an own stream that ended.
    pub(super) fn observe_stream(&mut self, tokens: u32, lasted: Duration) {
        if tokens < 2 || lasted.is_zero() {
            return;
        }
        let rate = f64::from(tokens - 1) / lasted.as_secs_f64();
        let gain = if self.measured == 0 { 1.0 } else { GAIN };
        self.rate += gain * (rate - self.rate);
        self.measured = self.measured.saturating_add(1);
    }
}

impl Excess {
    fn at(self, now: Instant) -> f64 {
        let since = |at: Instant| now.saturating_duration_since(at);
        let measured = self.renewed.map_or(0.0, |at| self.average * halve(since(at), HALF_EXCESS));
        let stalled = self.stalled.map_or(0.0, |at| since(at).as_secs_f64());
        measured.max(stalled)
    }

    fn observe(&mut self, over: f64, now: Instant) {
        let age = self.renewed.map_or(Duration::ZERO, |at| now.saturating_duration_since(at));
        let faded = self.average * halve(age, HALF_EXCESS);
        self.average = faded + GAIN * (over - faded);
        self.renewed = Some(now);
    }
}

/// Returns the index of a tier.
pub(super) fn rank(tier: Tier) -> usize {
    usize::from(tier).min(MAX_TIERS - 1)
}

/// Returns a weight that falls with age: 1 at none, one half at `half`.
fn halve(age: Duration, half: Duration) -> f64 {
    1.0 / (1.0 + age.as_secs_f64() / half.as_secs_f64())
}
