//! What the reports of other entries tell about their addresses.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use crate::ZoneId;

/// Time without a report after which an entry is forgotten, so that entries that were replaced get
/// no reports for ever. Listed ones get reports in any case.
const SILENCE_LIMIT: Duration = Duration::from_mins(1);

/// The entries that sent reports; some of them may not be listed yet.
#[derive(Debug, Clone, Default)]
pub struct PeerAddresses {
    /// Zone of each entry, and when it was last heard.
    heard: HashMap<SocketAddr, (ZoneId, Instant)>,
}

impl PeerAddresses {
    /// Records the sender of a report; returns true for its first one.
    pub fn record(&mut self, from: SocketAddr, zone: &str, now: Instant) -> bool {
        match self.heard.get_mut(&from) {
            Some((old, at)) => {
                *at = now;
                if old != zone {
                    zone.clone_into(old);
                }
                false
            }
            None => self.heard.insert(from, (zone.to_owned(), now)).is_none(),
        }
    }

    /// Forgets those that were not heard for long.
    pub fn expire(&mut self, now: Instant) {
        self.heard.retain(|_, (_, at)| now.saturating_duration_since(*at) < SILENCE_LIMIT);
    }

    /// Returns the addresses.
    pub fn iter(&self) -> impl Iterator<Item = SocketAddr> {
        self.heard.keys().copied()
    }

    /// Returns false if the entry is known to be in another zone.
    pub fn may_be_near(&self, address: &SocketAddr, zone: &str) -> bool {
        self.heard.get(address).is_none_or(|(known, _)| known == zone)
    }
}
