//! What is known of upstreams whose records are gone.
//!
//! A record may be written late, after its upstream has left, and an upstream that lives may lose
//! its record for a while. When a record of the same incarnation is back, what the upstream has said
//! of itself still holds, and requests that it ran meanwhile are still known.

use std::time::{Duration, Instant};

use super::admission::UpstreamKey;
use super::peer::{LeavingUpstream, NameHash};
use super::upstream::{ListedUpstream, UpstreamState};

/// Time for which an upstream is remembered: longer than one that leaves serves on, and than a
/// write is late.
const MEMORY: Duration = Duration::from_mins(1);
/// Largest number of remembered upstreams.
const MAX_DEPARTED: usize = 1024;

#[derive(Debug, Clone)]
struct DepartedUpstream {
    key: UpstreamKey,
    state: UpstreamState,
    /// Time at which it was first found to be gone; `None` before the next
    /// [`DepartedUpstreams::expire`].
    since: Option<Instant>,
    /// Its present key, once its record is back.
    successor: Option<UpstreamKey>,
}

/// The upstreams whose records are gone, the newest last.
#[derive(Debug, Clone, Default)]
pub(super) struct DepartedUpstreams {
    upstreams: Vec<DepartedUpstream>,
}

impl DepartedUpstreams {
    /// Remembers an upstream.
    pub(super) fn insert(&mut self, key: UpstreamKey, state: UpstreamState) {
        if self.upstreams.len() >= MAX_DEPARTED {
            self.upstreams.remove(0);
        }
        self.upstreams.push(DepartedUpstream { key, state, since: None, successor: None });
    }

    /// Returns the state with which an upstream is back under a new key; `None` if this incarnation
    /// isn't remembered.
    pub(super) fn restore(
        &mut self,
        listed: &ListedUpstream,
        successor: impl FnOnce(UpstreamState) -> UpstreamKey,
    ) -> Option<UpstreamKey> {
        let is_same = |departed: &&mut DepartedUpstream| {
            let old = &departed.state.listed;
            old.id == listed.id && old.is_same_incarnation(listed)
        };
        let departed = self.upstreams.iter_mut().rev().find(is_same)?;
        let (old_key, key) = (departed.key, successor(departed.state.returned(listed.clone())));
        departed.successor = Some(key);
        // Requests may still end under older keys.
        for older in &mut self.upstreams {
            if older.successor == Some(old_key) {
                older.successor = Some(key);
            }
        }
        Some(key)
    }

    /// Returns the present key of an upstream that had this one before it was gone.
    pub(super) fn successor(&self, key: UpstreamKey) -> Option<UpstreamKey> {
        self.upstreams.iter().find(|departed| departed.key == key)?.successor
    }

    /// Returns the state of an upstream that is gone.
    pub(super) fn get(&self, key: UpstreamKey) -> Option<&UpstreamState> {
        let departed = self.upstreams.iter().find(|departed| departed.key == key);
        departed.map(|departed| &departed.state)
    }

    /// Returns the state of an upstream that is gone.
    pub(super) fn get_mut(&mut self, key: UpstreamKey) -> Option<&mut UpstreamState> {
        let departed = self.upstreams.iter_mut().find(|departed| departed.key == key);
        departed.map(|departed| &mut departed.state)
    }

    /// Records that another entry was told that an upstream leaves.
    pub(super) fn record_peer_leaving(&mut self, leaving: LeavingUpstream) {
        for DepartedUpstream { state, .. } in &mut self.upstreams {
            if state.hash == leaving.upstream && state.listed.started_ms == leaving.started_ms {
                state.record_peer_leaving();
            }
        }
    }

    /// Returns the hashes and incarnations of those that said to this entry that they leave.
    pub(super) fn told_leaving(&self) -> impl Iterator<Item = (NameHash, Option<u64>)> {
        let gone = self.upstreams.iter().filter(|departed| departed.successor.is_none());
        let told = gone.map(|departed| &departed.state).filter(|state| state.told_leaving);
        told.map(|state| (state.hash, state.listed.started_ms))
    }

    /// Forgets the upstreams that were gone long ago.
    pub(super) fn expire(&mut self, now: Instant) {
        self.upstreams.retain_mut(|departed| {
            let since = *departed.since.get_or_insert(now);
            now.saturating_duration_since(since) < MEMORY
        });
    }
}
