//! Drained zones: their upstreams get no new requests, and what runs there ends.

use std::collections::BTreeSet;

use egretgate_core::ZoneId;
use slog::info;

use super::{Fleet, RoutingRequest};

impl Fleet {
    pub(super) fn set_drained(&mut self, zones: BTreeSet<ZoneId>) {
        for zone in zones.difference(&self.drained) {
            let upstreams = self.upstreams_in(zone);
            info!(self.log, "zone drained"; "zone" => zone, "upstreams" => upstreams);
        }
        for zone in self.drained.difference(&zones) {
            let upstreams = self.upstreams_in(zone);
            info!(self.log, "zone restored"; "zone" => zone, "upstreams" => upstreams);
        }
        metrics::gauge!("egretgate_drained_zones").set(zones.len() as f64);
        self.choice.set_drained(zones.clone());
        self.drained = zones;
    }

    fn upstreams_in(&self, zone: &str) -> usize {
        self.choice.iter().filter(|(_, view)| view.upstream.zone == zone).count()
    }

    /// Returns why no upstream can run the request.
    pub(super) fn unserved_detail(&self, request: &RoutingRequest) -> &'static str {
        let drained = self.choice.iter().any(|(_, view)| {
            view.is_drained()
                && view.upstream.service == request.service
                && view.upstream.versions.contains(&request.version)
        });
        if !drained {
            return "no upstream serves the route";
        }
        metrics::counter!("egretgate_drained_refusals_total").increment(1);
        "every upstream that could serve the route is in a drained zone"
    }
}
