//! Traffic split: the choice of a version for each request.

use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use xxhash_rust::xxh3::xxh3_64_with_seed;

use super::{Cap, FULL_SHARE_PPM, MovePlan, Ppm, Progress};
use crate::ids::{Ticket, VersionId};

/// Period in which a small share is concentrated into one burst.
const BURST_CYCLE: Duration = Duration::from_mins(1);

/// How the traffic of one route is split between two versions.
#[derive(Debug, Clone, PartialEq)]
pub struct Split {
    /// Version that gets the remaining requests.
    pub from: VersionId,
    /// Version that gets the share.
    pub to: VersionId,
    /// Mean share of the new version.
    pub share: Ppm,
    /// Share of the new version during a burst; never below `share`.
    pub burst_share: Ppm,
    /// Absolute limit for this entry; `None` once the version is proven.
    pub cap: Option<Cap>,
    /// Seed of the request hash, so that different moves pick different requests.
    pub seed: u64,
}

/// Requests that one entry has sent to the new version on one route.
#[derive(Debug, Clone, Default)]
pub struct Quota {
    /// Requests on the route since the move began.
    total: u64,
    /// Those sent to the new version; at most `share * total` while it is unproven.
    sent: u64,
    /// Requests that may still go to the new version in this cycle, in millionths of a request.
    credit_ppm: u64,
    /// Number of the current cycle.
    cycle: u64,
    /// Requests in flight on the new version.
    in_flight: u32,
    /// Start of the current second, for [`Cap::PerSecond`].
    second_start: Option<Instant>,
    /// Requests sent to the new version in the current second.
    second_sent: u32,
}

impl Split {
    /// Returns the split of a move at its recorded step, for one of `entries` entries.
    ///
    /// `new_upstreams` of the service's `upstreams` run the new version. A share too small to load
    /// them like the others is sent in bursts. During a burst each of them gets as many requests as
    /// each other upstream gets between bursts, so that faults under load show while the mean share
    /// stays small.
    pub fn new(
        plan: &MovePlan,
        progress: Progress,
        new_upstreams: u32,
        upstreams: u32,
        entries: u32,
    ) -> Self {
        let share = plan.share(progress.step);
        let unproven = share <= MovePlan::MAX_UNPROVEN_PPM;
        let old_upstreams = upstreams.saturating_sub(new_upstreams).max(1);
        let equal_share =
            u64::from(FULL_SHARE_PPM) * u64::from(new_upstreams) / u64::from(old_upstreams);
        let burst_share =
            if unproven { (equal_share as Ppm).clamp(share, FULL_SHARE_PPM) } else { share };
        Self {
            from: plan.from.clone(),
            to: plan.to.clone(),
            share,
            burst_share,
            cap: unproven.then(|| plan.cap.per_entry(entries)),
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

    /// Returns true during the burst of the current cycle.
    fn is_bursting(&self, now: SystemTime) -> bool {
        let elapsed = now.duration_since(UNIX_EPOCH).unwrap_or_default();
        let phase_ms = elapsed.as_millis() % BURST_CYCLE.as_millis();
        let burst_ms =
            BURST_CYCLE.as_millis() * u128::from(self.share) / u128::from(self.burst_share.max(1));
        // The burst is at the end of the cycle, when enough credit for it has accumulated.
        phase_ms >= BURST_CYCLE.as_millis() - burst_ms
    }
}

impl Cap {
    /// Returns the limit for one of `entries` entries, at least 1.
    pub fn per_entry(self, entries: u32) -> Self {
        match self {
            Self::InFlight(limit) => Self::InFlight((limit / entries.max(1)).max(1)),
            Self::PerSecond(limit) => Self::PerSecond((limit / entries.max(1)).max(1)),
        }
    }
}

impl Quota {
    /// Counts the end of a request of the new version.
    pub fn end_request(&mut self) {
        self.in_flight = self.in_flight.saturating_sub(1);
    }

    /// Returns the number of requests sent to the new version.
    pub const fn sent(&self) -> u64 {
        self.sent
    }

    /// Returns the number of requests on the route.
    pub const fn total(&self) -> u64 {
        self.total
    }

    /// Returns true if one more request of the new version stays within the share and the cap.
    fn allows(&mut self, split: &Split, now: Instant) -> bool {
        let Some(cap) = split.cap else { return true };
        if self.credit_ppm < u64::from(FULL_SHARE_PPM) {
            return false;
        }
        match cap {
            Cap::InFlight(limit) => self.in_flight < limit,
            Cap::PerSecond(limit) => {
                self.reset_second(now);
                self.second_sent < limit
            }
        }
    }

    /// Counts a request on the route and adds the new version's share of it to the credit.
    fn add_credit(&mut self, split: &Split, wall_time: SystemTime) {
        self.total += 1;
        let elapsed = wall_time.duration_since(UNIX_EPOCH).unwrap_or_default();
        let cycle = elapsed.as_secs() / BURST_CYCLE.as_secs();
        if cycle != self.cycle {
            self.cycle = cycle;
            // Credit left over from one cycle must not enlarge the next burst.
            self.credit_ppm = self.credit_ppm.min(u64::from(FULL_SHARE_PPM));
        }
        self.credit_ppm += u64::from(split.share);
    }

    /// Counts a request sent to the new version.
    fn spend_credit(&mut self) {
        self.credit_ppm = self.credit_ppm.saturating_sub(u64::from(FULL_SHARE_PPM));
        self.sent += 1;
        self.in_flight += 1;
        self.second_sent += 1;
    }

    /// Starts a new second with a count of 0 once the current one is over.
    fn reset_second(&mut self, now: Instant) {
        let over = self.second_start.is_none_or(|at| now - at >= Duration::from_secs(1));
        if over {
            self.second_start = Some(now);
            self.second_sent = 0;
        }
    }
}

/// Returns the version for a request, by a stable hash of its ticket, within share and cap.
///
/// Counts the request, so call it once for each; a request keeps its version. The caller reports
/// the end of a request of the new version with [`Quota::end_request`].
pub fn pick_version<'a>(
    split: &'a Split,
    ticket: Ticket,
    quota: &mut Quota,
    now: Instant,
    wall_time: SystemTime,
) -> &'a VersionId {
    quota.add_credit(split, wall_time);
    let mut bytes = [0; 16];
    bytes[..8].copy_from_slice(&ticket.entry.to_le_bytes());
    bytes[8..].copy_from_slice(&ticket.sequence.to_le_bytes());
    let point = xxh3_64_with_seed(&bytes, split.seed) % u64::from(FULL_SHARE_PPM);
    let chosen = point < u64::from(split.burst_share) && split.is_bursting(wall_time);
    if !chosen || !quota.allows(split, now) {
        return &split.from;
    }
    quota.spend_credit();
    &split.to
}
