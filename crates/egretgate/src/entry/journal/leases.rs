//! Leases that this entry claims: the keeper's and those on version moves.

use std::collections::BTreeMap;
use std::time::Instant;

use egretgate_core::lease::{LEASE_TTL, LeaseClient, move_lease};
use egretgate_core::{FencingNumber, Incarnation, RouteId};

use crate::entry::journal::Journal;

/// The leases on version moves that this entry observes and tries to hold.
#[derive(Debug)]
pub(super) struct Leases {
    incarnation: Incarnation,
    /// One for each route with a version move.
    moves: BTreeMap<RouteId, LeaseClient>,
}

impl Leases {
    pub(super) fn new(incarnation: Incarnation) -> Self {
        Self { incarnation, moves: BTreeMap::new() }
    }

    /// Returns the fencing number of the lease on a route's move if this entry holds it now.
    pub(super) fn fencing_number(&self, route: &str, now: Instant) -> Option<FencingNumber> {
        self.moves.get(route)?.valid_fence(now)
    }

    /// Keeps a lease client for exactly these routes.
    fn set_routes(&mut self, routes: &[RouteId]) {
        let incarnation = self.incarnation;
        self.moves.retain(|route, _| routes.contains(route));
        for route in routes {
            let new_client = || LeaseClient::new(move_lease(route), incarnation, LEASE_TTL);
            self.moves.entry(route.clone()).or_insert_with(new_client);
        }
    }
}

impl Journal {
    /// Updates every lease from the state, and claims or renews those that are due. Nothing is
    /// appended while the log is unreachable or an append is in flight, so that claims don't pile
    /// up.
    pub(super) fn renew_leases(&mut self) {
        let now = Instant::now();
        let config = self.state.config();
        let routes: Vec<RouteId> = config
            .moves()
            .values()
            .filter(|version_move| version_move.is_open())
            .map(|version_move| version_move.begin.route.clone())
            .collect();
        self.leases.set_routes(&routes);
        let may_append = self.reader.is_up() && self.config_outbox.is_idle();
        if may_append
            && let Some(body) = self.keeper.due_lease_record(now)
            && let Ok(sequence) = self.config_outbox.push(body)
        {
            self.keeper.mark_sent(sequence, now);
        }
        for lease in self.leases.moves.values_mut() {
            lease.observe(self.state.config().lease(lease.name()), now);
            let Some(body) = lease.due_record(now).filter(|_| may_append) else { continue };
            if let Ok(sequence) = self.config_outbox.push(body) {
                lease.mark_sent(sequence, now);
            }
        }
        self.send_config();
    }
}
