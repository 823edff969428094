//! Which entries get a report, and when.
//!
//! In a small fleet every entry sends each of its reports to all others. In a large one that takes
//! processor time and bytes in proportion to the square of the fleet, and the reports become older
//! than a request takes. There, the entries of an availability zone report to each other often,
//! and to those of other zones seldom: requests mostly run in the zone in which they arrive.

use std::time::Duration;

/// Largest number of peers to which every report is sent.
const MAX_FULL_MESH_PEERS: usize = 32;
/// Interval between reports for each peer that gets all of them. With it, reports cost an entry the
/// same processor time in a fleet of any size, until the longest interval is reached.
const INTERVAL_PER_PEER: Duration = Duration::from_millis(4);
/// Shortest interval between reports: requests take some hundred milliseconds.
const MIN_INTERVAL: Duration = Duration::from_millis(40);
/// Longest interval between reports to near peers.
const MAX_INTERVAL: Duration = Duration::from_millis(200);
/// Longest interval between reports to far peers: what an entry admits for a team is unknown to the
/// others until its next report, and they must not exceed the team's limit together.
const FAR_INTERVAL: Duration = Duration::from_millis(200);

/// Intervals between reports after which the next one is overdue: one may be lost.
const OVERDUE_INTERVALS: u32 = 3;
/// Least age at which a report is overdue: processes and networks pause for so long.
const MIN_OVERDUE_AGE: Duration = Duration::from_millis(250);

/// The schedule of the reports of one entry.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ReportSchedule {
    /// Interval between reports to near peers.
    near: Duration,
    /// Reports to near peers for each one to a far peer; at least 1.
    far_every: u64,
}

impl ReportSchedule {
    /// Returns the schedule of an entry with `near` peers in its own zone and `far` in others.
    pub fn new(near: usize, far: usize) -> Self {
        let peers = near + far;
        let direct = if peers <= MAX_FULL_MESH_PEERS { peers } else { near };
        let interval = (INTERVAL_PER_PEER * direct as u32).clamp(MIN_INTERVAL, MAX_INTERVAL);
        let far_every = if peers <= MAX_FULL_MESH_PEERS {
            1
        } else {
            (FAR_INTERVAL.div_duration_f64(interval) as u64).max(1)
        };
        Self { near: interval, far_every }
    }

    /// Returns the interval between two reports to the same near peer.
    pub const fn near_interval(&self) -> Duration {
        self.near
    }

    /// Returns the interval between two reports to the same far peer.
    pub fn far_interval(&self) -> Duration {
        self.near * self.far_every as u32
    }

    /// Returns the age at which a peer's last report is overdue.
    pub fn overdue_age(&self) -> Duration {
        (self.far_interval() * OVERDUE_INTERVALS).max(MIN_OVERDUE_AGE)
    }

    /// Returns true if the far peer at position `index` gets the report with this number. The far
    /// peers take turns, so that the reports to them are spread over time.
    pub const fn is_far_due(&self, number: u64, index: usize) -> bool {
        (number + index as u64).is_multiple_of(self.far_every)
    }
}
