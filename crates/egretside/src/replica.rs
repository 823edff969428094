//! The side process's replica of the shared configuration, updated by records from entries.

use std::time::{Duration, Instant};

use blake3::Hash;
use bytes::Bytes;
use egretgate_core::declaration::ServiceSpec;
use egretgate_core::fold::{ConfigState, FoldEffect, QuarantineView, SyncStatus, VersionMove};
use egretgate_core::poison::{Death, QuarantineState};
use egretgate_core::{Digest, Incarnation, Offset, Tier, UpstreamId};
use egretgate_link::message::{DeathReport, Heartbeat, Records, RecordsRequest};

/// Time after which an unanswered request is sent again, to another entry.
const REQUEST_TIMEOUT: Duration = Duration::from_secs(1);

/// Latency targets.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct Targets {
    /// Time to the first token.
    pub first_token: Duration,
    /// Mean time between tokens.
    pub inter_token: Duration,
}

impl Default for Targets {
    fn default() -> Self {
        Self { first_token: Duration::from_millis(380), inter_token: Duration::from_millis(34) }
    }
}

/// The configuration up to the last record received, and deaths of this process's own engines that
/// may not be in the log yet.
#[derive(Debug, Default)]
pub(crate) struct ConfigReplica {
    state: ConfigState,
    /// Suspect and quarantined requests, including those by deaths that are not in the log yet.
    quarantine: QuarantineView,
    /// The heartbeat with the highest offset so far.
    newest_heartbeat: Option<Heartbeat>,
    /// When records were last requested; `None` once an entry answered.
    requested: Option<Instant>,
    /// True if the received records don't continue this history, so that a snapshot is needed.
    diverged: bool,
}

impl ConfigReplica {
    /// Returns the offset after the last configuration record applied. It never decreases.
    pub(crate) const fn offset(&self) -> Offset {
        self.state.next_offset()
    }

    /// Returns the chain digest at that offset.
    pub(crate) fn digest(&self) -> Bytes {
        Bytes::copy_from_slice(self.state.digest().as_bytes())
    }

    /// Returns the configuration as an encoded snapshot.
    pub(crate) fn encode(&self) -> Bytes {
        self.state.encode().into()
    }

    /// Records an entry's heartbeat, unless an earlier one announced a higher offset.
    pub(crate) fn record_heartbeat(&mut self, heartbeat: &Heartbeat) {
        let is_newer =
            self.newest_heartbeat.as_ref().is_none_or(|newest| heartbeat.offset >= newest.offset);
        if is_newer {
            self.newest_heartbeat = Some(heartbeat.clone());
        }
    }

    /// Returns the request to send to an entry now, if a heartbeat announced records that this
    /// process lacks. A request that was not answered is due again after [`REQUEST_TIMEOUT`].
    pub(crate) fn next_request(&mut self, now: Instant) -> Option<RecordsRequest> {
        if self.requested.is_some_and(|requested| now.duration_since(requested) < REQUEST_TIMEOUT) {
            return None;
        }
        let newest = self.newest_heartbeat.as_ref()?;
        let from = match self.state.compare(newest.offset, &newest.digest) {
            SyncStatus::Behind { from } if !self.diverged => from,
            SyncStatus::Behind { .. } | SyncStatus::Diverged => 0,
            SyncStatus::Same | SyncStatus::Ahead => return None,
        };
        self.requested = Some(now);
        Some(RecordsRequest { from })
    }

    /// Applies records from an entry. Returns true if the offset advanced.
    pub(crate) fn apply(&mut self, records: &Records) -> bool {
        self.requested = None;
        let before = self.state.next_offset();
        if !records.snapshot.is_empty() {
            self.apply_snapshot(&records.snapshot);
        }
        for record in &records.records {
            let Ok(prev) = <[u8; 32]>::try_from(record.prev.as_ref()) else { continue };
            let prev = Hash::from_bytes(prev);
            let applied = self.state.apply_after(&prev, record.offset, &record.data);
            self.diverged = matches!(applied.effect, FoldEffect::Gap { .. });
            if self.diverged {
                break;
            }
        }
        let advanced = self.state.next_offset() > before;
        if advanced {
            self.quarantine.rebase(self.state.quarantine(), self.state.next_offset());
        }
        advanced
    }

    /// Applies a snapshot unless it is older than the replica. One at the same offset replaces a
    /// diverged history.
    fn apply_snapshot(&mut self, bytes: &[u8]) {
        let Ok(state) = ConfigState::decode(bytes) else { return };
        let diverged = state.next_offset() == self.state.next_offset()
            && state.digest() != self.state.digest();
        if state.next_offset() > self.state.next_offset() || diverged {
            self.state = state;
            self.diverged = false;
        }
    }

    /// Returns the weight of a team relative to others.
    pub(crate) fn weight(&self, team: &str) -> u32 {
        self.state.declarations().teams.get(team).map_or(1, |team| team.weight)
    }

    /// Returns whether a version move of the route is under way.
    pub(crate) fn has_open_move(&self, route: &str) -> bool {
        self.state.moves().get(route).is_some_and(VersionMove::is_open)
    }

    /// Returns the declaration of a service.
    pub(crate) fn service(&self, name: &str) -> Option<&ServiceSpec> {
        self.state.declarations().services.get(name)
    }

    /// Returns the targets of a tier, or those of the most urgent one if it is not declared.
    pub(crate) fn targets(&self, tier: Tier) -> Targets {
        let tiers = || self.state.declarations().tiers.values();
        let spec =
            tiers().find(|spec| spec.rank == tier).or_else(|| tiers().min_by_key(|spec| spec.rank));
        spec.map_or_else(Targets::default, |spec| Targets {
            first_token: Duration::from_millis(spec.first_token_ms),
            inter_token: Duration::from_millis(spec.between_tokens_ms),
        })
    }

    /// Returns whether a request must be refused because engines died while they ran it.
    pub(crate) fn is_quarantined(&self, digest: Digest) -> bool {
        self.quarantine.state(digest) == QuarantineState::Quarantined
    }

    /// Returns whether a request must run exclusively.
    pub(crate) fn is_suspect(&self, digest: Digest) -> bool {
        self.quarantine.state(digest) == QuarantineState::Suspect
    }

    /// Records a death of one of this process's engines.
    pub(crate) fn record_death(
        &mut self,
        upstream: &UpstreamId,
        incarnation: Incarnation,
        report: &DeathReport,
    ) {
        let digests: Vec<Digest> =
            report.digests.iter().filter_map(|bytes| Digest::from_slice(bytes)).collect();
        let death = Death::new(upstream, incarnation, report.sequence);
        self.quarantine.add_death(death, digests, self.state.next_offset());
    }

    /// Returns whether the death is in the log, so that it need not be reported again.
    pub(crate) fn is_death_logged(&self, incarnation: Incarnation, report: &DeathReport) -> bool {
        self.state.quarantine().contains_death(Death::new(
            &report.upstream,
            incarnation,
            report.sequence,
        ))
    }
}
