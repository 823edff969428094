//! Splits the traffic of routes with a version move between the two versions.

use std::collections::BTreeMap;
use std::time::{Instant, SystemTime};

use egretgate_core::moves::{
    MovePlan, Progress, Quota, RequestOutcome, Split, StopCause, VersionBreaker, pick_version,
};
use egretgate_core::{RouteId, Ticket, VersionId};

/// A route's version move and its progress.
#[derive(Debug, Clone)]
pub(crate) struct RouteSplit {
    /// Route.
    pub route: RouteId,
    /// Plan of the move.
    pub plan: MovePlan,
    /// Current step according to the log.
    pub progress: Progress,
}

#[derive(Debug)]
struct MovingRoute {
    split: Split,
    quota: Quota,
    breaker: VersionBreaker,
}

/// The routes with a version move, and this entry's counts for them.
#[derive(Debug, Default)]
pub(crate) struct TrafficSplitter {
    routes: BTreeMap<RouteId, MovingRoute>,
}

impl TrafficSplitter {
    /// Sets the splits according to the log. A route whose new version is unchanged keeps its quota
    /// and circuit breaker.
    pub(crate) fn set_splits(
        &mut self,
        splits: Vec<RouteSplit>,
        split_of: impl Fn(&MovePlan, Progress) -> Split,
    ) {
        let mut routes = BTreeMap::new();
        for RouteSplit { route, plan, progress } in splits {
            let split = split_of(&plan, progress);
            let known = self.routes.remove(&route).filter(|known| known.split.to == split.to);
            let (quota, breaker) =
                known.map(|known| (known.quota, known.breaker)).unwrap_or_default();
            routes.insert(route, MovingRoute { split, quota, breaker });
        }
        self.routes = routes;
    }

    pub(crate) fn is_empty(&self) -> bool {
        self.routes.is_empty()
    }

    /// Returns the version for a request, if its route has a version move. A new version that was
    /// stopped at this entry gets no more requests, even before the log records the stop.
    pub(crate) fn pick(&mut self, route: &str, ticket: Ticket) -> Option<VersionId> {
        let moving = self.routes.get_mut(route)?;
        if moving.breaker.cause().is_some() {
            return Some(moving.split.from.clone());
        }
        let (now, wall) = (Instant::now(), SystemTime::now());
        Some(pick_version(&moving.split, ticket, &mut moving.quota, now, wall).clone())
    }

    /// Counts the outcome of a request. Returns the reason if this outcome trips the circuit
    /// breaker, which stops the new version at this entry.
    pub(crate) fn record_outcome(
        &mut self,
        route: &str,
        version: &str,
        outcome: RequestOutcome,
    ) -> Option<StopCause> {
        let moving = self.routes.get_mut(route).filter(|moving| moving.split.to == version)?;
        moving.quota.end_request();
        let before = moving.breaker.cause();
        moving.breaker.record(outcome).filter(|_| before.is_none())
    }

    /// Returns the reason for which a new version was stopped at this entry, if any.
    pub(crate) fn first_stop(&self) -> Option<StopCause> {
        self.routes.values().find_map(|moving| moving.breaker.cause())
    }
}
