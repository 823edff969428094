//! The version that an entry gives a request.

use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use xxhash_rust::xxh3::xxh3_64_with_seed;

use super::{Cap, FULL_SHARE_PPM, MovePlan, Ppm, Progress};
use crate::ids::{Ticket, VersionId};

/// Length of the cycle in which a small share is concentrated into one burst.
const BURST_CYCLE: Duration = Duration::from_mins(1);

/// How the traffic of one route is split between two versions.
#[derive(Debug, Clone, PartialEq)]
pub struct Split {
    /// Version that serves the rest.
    pub from: VersionId,
    /// Version that gets the share.
    pub to: VersionId,
    /// Mean share of the new version.
    pub share: Ppm,
    /// Share during a burst; never below `share`.
    pub burst_share: Ppm,
    /// Bound in absolute numbers for this entry; `None` once the version is proven.
    pub cap: Option<Cap>,
    /// Seed of the hash, so that moves do not pick the same requests.
    pub seed: u64,
}

/// What one entry has given the new version on one route.
#[derive(Debug, Clone, Default)]
pub struct Quota {
    /// Requests of the route since the move began.
    total: u64,
    /// Requests of those given to the new version. At most `share * total` while unproven.
    sent: u64,
    /// Parts of requests that may still go to the new version in this cycle, in millionths.
    credit_ppm: u64,
    /// Number of the current cycle.
    cycle: u64,
    /// Requests in flight on the new version.
    in_flight: u32,
    /// Start of the current second.
    second_start: Option<Instant>,
    /// Requests given to the new version in it.
    second_sent: u32,
}

impl Split {
    /// Returns the split of a move at its recorded step, for one of `entries` entries.
    ///
    /// `hosts` of the service's `upstreams` run the new version. A share too small to load them
    /// like the others is sent in bursts. In a burst each host gets as much as each of the others
    /// gets between bursts, so that faults under load show while the mean share stays small.
    pub fn new(
        plan: &MovePlan,
        progress: Progress,
        hosts: u32,
        upstreams: u32,
        entries: u32,
    ) -> Self {
        let share = plan.share(progress.step);
        let cautious = share <= MovePlan::MAX_UNPROVEN_PPM;
        let others = upstreams.saturating_sub(hosts).max(1);
        let level = u64::from(FULL_SHARE_PPM) * u64::from(hosts) / u64::from(others);
        let burst = if cautious { (level as Ppm).clamp(share, FULL_SHARE_PPM) } else { share };
        Self {
            from: plan.from.clone(),
            to: plan.to.clone(),
            share,
            burst_share: burst,
            cap: cautious.then(|| plan.cap.per_entry(entries)),
            seed: xxh3_64_with_seed(plan.to.as_bytes(), plan.steps.len() as u64),
        }
    }

    /// Returns the split of a move that was taken back: the new version gets nothing.
    pub fn taken_back(plan: &MovePlan) -> Self {
        Self {
            from: plan.from.clone(),
            to: plan.to.clone(),
            share: 0,
            burst_share: 0,
            cap: Some(plan.cap),
            seed: 0,
        }
    }

    /// Returns true while the burst of the cycle is under way.
    fn is_bursting(&self, now: SystemTime) -> bool {
        let since = now.duration_since(UNIX_EPOCH).unwrap_or_default();
        let phase = since.as_millis() % BURST_CYCLE.as_millis();
        let lasts =
            BURST_CYCLE.as_millis() * u128::from(self.share) / u128::from(self.burst_share.max(1));
        // The burst ends the cycle, so that the share for it has been earned before.
        phase >= BURST_CYCLE.as_millis() - lasts
    }
}

impl Cap {
    /// Returns the part of one of `entries` entries, at least 1.
    pub fn per_entry(self, entries: u32) -> Self {
        match self {
            Self::InFlight(most) => Self::InFlight((most / entries.max(1)).max(1)),
            Self::PerSecond(most) => Self::PerSecond((most / entries.max(1)).max(1)),
        }
    }
}

impl Quota {
    /// Counts the end of a request of the new version.
    pub fn end_request(&mut self) {
        self.in_flight = self.in_flight.saturating_sub(1);
    }

    /// Returns the requests given to the new version.
    pub const fn sent(&self) -> u64 {
        self.sent
    }

    /// Returns the requests of the route.
    pub const fn total(&self) -> u64 {
        self.total
    }

    /// Returns true if one more request stays within the share and the cap.
    fn allows(&mut self, split: &Split, now: Instant) -> bool {
        let Some(cap) = split.cap else { return true };
        if self.credit_ppm < u64::from(FULL_SHARE_PPM) {
            return false;
        }
        match cap {
            Cap::InFlight(most) => self.in_flight < most,
            Cap::PerSecond(most) => {
                self.reset_second(now);
                self.second_sent < most
            }
        }
    }

    /// Counts a request of the route and what it earns for the new version.
    fn add_credit(&mut self, split: &Split, wall: SystemTime) {
        self.total += 1;
        let since = wall.duration_since(UNIX_EPOCH).unwrap_or_default();
        let cycle = since.as_secs() / BURST_CYCLE.as_secs();
        if cycle != self.cycle {
            self.cycle = cycle;
            // What one cycle leaves over must not swell the next one.
            self.credit_ppm = self.credit_ppm.min(u64::from(FULL_SHARE_PPM));
        }
        self.credit_ppm += u64::from(split.share);
    }

    /// Counts a request given to the new version.
    fn spend_credit(&mut self) {
        self.credit_ppm = self.credit_ppm.saturating_sub(u64::from(FULL_SHARE_PPM));
        self.sent += 1;
        self.in_flight += 1;
        self.second_sent += 1;
    }

    /// Starts the next second if the current one is over.
    fn reset_second(&mut self, now: Instant) {
        let over = self.second_start.is_none_or(|at| now - at >= Duration::from_secs(1));
        if over {
            self.second_start = Some(now);
            self.second_sent = 0;
        }
    }
}

/// Returns the version for a request, by a stable hash of its ticket within share and cap.
///
/// Counts the request, so it is called once for each; a request keeps its version. The caller
/// reports the end of those given to the new version by [`Quota::end_request`].
pub fn pick_version<'a>(
    split: &'a Split,
    ticket: Ticket,
    quota: &mut Quota,
    now: Instant,
    wall: SystemTime,
) -> &'a VersionId {
    quota.add_credit(split, wall);
    let mut bytes = [0; 16];
    bytes[..8].copy_from_slice(&ticket.entry.to_le_bytes());
    bytes[8..].copy_from_slice(&ticket.sequence.to_le_bytes());
    let point = xxh3_64_with_seed(&bytes, split.seed) % u64::from(FULL_SHARE_PPM);
    let chosen = point < u64::from(split.burst_share) && split.is_bursting(wall);
    if !chosen || !quota.allows(split, now) {
        return &split.from;
    }
    quota.spend_credit();
    &split.to
}
