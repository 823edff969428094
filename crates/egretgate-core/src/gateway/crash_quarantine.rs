//! Refuses requests that crash one upstream after the other.
//!
//! A suspect is a whole request, or a part that the prompts of many requests share. Only a run whose
//! upstream was down afterwards counts against it: an upstream that loses an answer, sends a wrong
//! one or falls silent has failed by itself.
//!
//! A crash breaks every run at the upstream, so it counts against the suspects of all of them, and
//! most against those of runs that had hardly begun to write. Two things tell the suspect that
//! causes it from the others: no run with it is ever sound, and it breaks runs again and again while
//! requests without it are served. A part that most requests share is cleared by the next sound
//! run, wherever in the fleet that is.
//!
//! Entries report the crashes and sound runs that they saw themselves, and their rulings. A ruling
//! has a number that only grows, so all entries end up with the newest one, however late a report
//! is. A wrong ruling is lifted by a trial: a single request that some entry lets pass. The entries
//! that have refused such requests lately take turns.

use std::collections::HashMap;
use std::time::{Duration, Instant};

use claims::Claims;

use super::peer::NameHash;
use crate::Digest;

mod claims;
mod ruling;

pub use ruling::Ruling;

/// Hash of a whole request or of a part of its prompt.
pub type SuspectHash = u64;

/// Crashes of upstreams after which a whole request is quarantined.
const MIN_REQUEST_CRASHES: usize = 3;
/// Weight of the crashes of upstreams after which a part is quarantined.
const MIN_WEIGHT: u32 = 4 * EARLY_WEIGHT;
/// Weight of a crash that broke a run which had hardly begun to write: a part crashes its upstream
/// when the answer begins.
const EARLY_WEIGHT: u32 = 2;
/// Weight of a crash that broke a run later.
const LATE_WEIGHT: u32 = 1;
/// Distinct times at which they must have happened: many upstreams may go down together.
const MIN_EPISODES: usize = 3;
/// Time between two distinct times.
const EPISODE_GAP: Duration = Duration::from_millis(250);
/// Largest probability that runs with the part broke by chance, if they broke as often as others.
const MAX_CHANCE: f64 = 0.01;
/// Time of writing from which a run has broken late.
const LATE_AFTER: Duration = Duration::from_millis(100);
/// Time within which two crashes of the same upstream are one.
const SAME_CRASH: Duration = Duration::from_secs(1);
/// Time from a ruling until the first trial.
const TRIAL_DELAY: Duration = Duration::from_secs(1);
/// Times from a trial under which an upstream crashed until the next one of a whole request; after
/// that there is none.
const REQUEST_TRIAL_DELAYS: [Duration; 2] = [Duration::from_secs(10), Duration::from_mins(5)];
/// Time after which a trial without a result may be repeated.
const TRIAL_TIMEOUT: Duration = Duration::from_secs(5);
/// Trials that may break late before one of them decides.
const MAX_LATE_TRIALS: u32 = 2;
/// Time after the last crash or ruling at which a suspect is forgotten, and of a whole request also
/// after the last refusal.
const RECORD_TTL: Duration = Duration::from_mins(5);
/// Time for which a change is reported: dozens of reports, some of which get lost.
const REPORT_TIME: Duration = Duration::from_secs(5);
/// Time after which every entry has heard of a sound run.
const MAX_REPORT_AGE: Duration = Duration::from_secs(1);
/// Largest number of suspects in a report, so that it fits a datagram beside the other fields.
const MAX_REPORTED: usize = 16;
/// Largest number of crashes that are kept for a suspect, and that are read from a report.
const MAX_CRASHES: usize = 12;
/// Largest number of crashes in a report on a suspect, the newest.
const MAX_REPORTED_CRASHES: usize = 6;
/// Largest number of suspects that are remembered.
const MAX_SUSPECTS: usize = 1024;

/// What the suspects of a quarantine are.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum SuspectKind {
    /// Whole requests, known by their digests.
    Request,
    /// Parts of prompts. Many requests share one, so the runs without it are compared.
    Part,
}

/// Returns the hash of a whole request.
pub fn request_hash(digest: &Digest) -> SuspectHash {
    digest.prefix()
}

/// A crash of an upstream under a suspect.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
struct Crash {
    upstream: NameHash,
    at: Instant,
    /// True if a run with the suspect had hardly begun to write.
    is_early: bool,
    /// True if this entry saw it.
    is_own: bool,
}

impl Crash {
    fn is_same(&self, other: &Self) -> bool {
        let apart = self.at.max(other.at) - self.at.min(other.at);
        self.upstream == other.upstream && apart < SAME_CRASH
    }
}

/// What one entry reports about a suspect.
#[derive(Debug, Clone, PartialEq)]
pub struct SuspectReport {
    /// Suspect.
    pub suspect: SuspectHash,
    /// Its ruling, and its age.
    pub ruling: (Ruling, Duration),
    /// Age of the last trial that the entry knows of, if there was one since the ruling.
    pub trial_age: Option<Duration>,
    /// Crashes that the entry saw since the last sound run: upstream and age.
    pub crashes: Vec<AgedCrash>,
    /// Age of the last sound run that the entry saw, if there was one lately.
    pub sound_age: Option<Duration>,
    /// Time since the entry last refused a request for it, if it did lately.
    pub claim_age: Option<Duration>,
}

impl SuspectReport {
    /// Returns true if the ruling is old and no refusal shows that it still matters.
    fn is_outdated(&self) -> bool {
        self.ruling.1 >= RECORD_TTL && self.claim_age.is_none_or(|age| age >= RECORD_TTL)
    }
}

/// A crash of an upstream, with its age instead of its time.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct AgedCrash {
    /// Upstream.
    pub upstream: NameHash,
    /// Time since the crash.
    pub age: Duration,
    /// True if a run with the suspect had hardly begun to write.
    pub is_early: bool,
}

/// A change of the quarantine, for logs.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct SuspectChange {
    /// Suspect.
    pub suspect: SuspectHash,
    /// What happened.
    pub event: SuspectEvent,
    /// Crashes known since the last sound run.
    pub crashes: usize,
    /// Runs without the suspect that this entry saw end since the first of them.
    pub others: OtherRuns,
}

/// What happened to a suspect.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum SuspectEvent {
    /// This entry quarantined it.
    Quarantined,
    /// Another entry's ruling was adopted: quarantined.
    AdoptedQuarantine,
    /// This entry lets one request pass.
    Trial,
    /// A sound run released it.
    Released,
    /// Another entry's ruling was adopted: released.
    AdoptedRelease,
}

impl SuspectEvent {
    /// Returns the name used in logs.
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Quarantined => "quarantined",
            Self::AdoptedQuarantine => "quarantined_by_peer",
            Self::Trial => "trial",
            Self::Released => "released",
            Self::AdoptedRelease => "released_by_peer",
        }
    }
}

/// How runs without a suspect ended.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct OtherRuns {
    /// Sound runs.
    pub sound: u32,
    /// Runs that broke in a crash of their upstream.
    pub broken: u32,
}

impl OtherRuns {
    /// Returns the probability that a run breaks, estimated by the rule of succession.
    fn break_rate(self) -> f64 {
        f64::from(self.broken + 1) / f64::from(self.broken + self.sound + 2)
    }
}

#[derive(Debug, Clone)]
struct SuspectRecord {
    kind: SuspectKind,
    /// Crashes since the last sound run, in the order of their times; no two are the same.
    crashes: Vec<Crash>,
    /// Runs without the suspect that this entry saw end since the first crash.
    others: OtherRuns,
    /// Time of the last sound run known.
    sound_at: Option<Instant>,
    /// Time of the last sound run that this entry saw.
    own_sound: Option<Instant>,
    ruling: Ruling,
    ruled_at: Instant,
    /// Time of the last trial known; `None` if it ended without a result.
    trial_at: Option<Instant>,
    /// True while a trial of this entry has no result.
    is_own_trial: bool,
    /// Time of the last crash, sound run or ruling that this entry saw or made itself.
    changed: Instant,
    claims: Claims,
}

impl SuspectRecord {
    fn new(kind: SuspectKind, now: Instant) -> Self {
        Self {
            kind,
            crashes: Vec::new(),
            others: OtherRuns { sound: 0, broken: 0 },
            sound_at: None,
            own_sound: None,
            ruling: Ruling::default(),
            ruled_at: now,
            trial_at: None,
            is_own_trial: false,
            changed: now,
            claims: Claims::default(),
        }
    }

    /// Adds a crash; false if it is known already or older than a sound run.
    fn add_crash(&mut self, crash: Crash) -> bool {
        let is_outdated = self.sound_at.is_some_and(|sound_at| sound_at >= crash.at);
        if is_outdated {
            return false;
        }
        if let Some(known) = self.crashes.iter_mut().find(|known| known.is_same(&crash)) {
            let is_news = crash.is_early && !known.is_early;
            known.is_early |= crash.is_early;
            known.is_own |= crash.is_own;
            return is_news;
        }
        let position = self.crashes.partition_point(|known| known.at <= crash.at);
        self.crashes.insert(position, crash);
        if self.crashes.len() > MAX_CRASHES {
            self.remove_closest();
        }
        true
    }

    /// Removes the crash that follows another one most closely, so that distinct times are kept.
    fn remove_closest(&mut self) {
        let gaps = self.crashes.windows(2).map(|pair| pair[1].at - pair[0].at);
        if let Some((index, _)) = gaps.enumerate().min_by_key(|(_, gap)| *gap) {
            self.crashes.remove(index + 1);
        }
    }

    /// Removes the crashes before a sound run.
    fn add_sound(&mut self, at: Instant) {
        self.sound_at = self.sound_at.max(Some(at));
        self.crashes.retain(|crash| crash.at > at);
        if self.crashes.is_empty() {
            self.others = OtherRuns::default();
        }
    }

    fn weight(&self) -> u32 {
        let weights = self
            .crashes
            .iter()
            .map(|crash| if crash.is_early { EARLY_WEIGHT } else { LATE_WEIGHT });
        weights.sum()
    }

    /// Returns the number of distinct times among the crashes.
    fn episodes(&self) -> usize {
        let mut last: Option<Instant> = None;
        let distinct = self.crashes.iter().filter(|crash| {
            let is_new = last.is_none_or(|last| crash.at >= last + EPISODE_GAP);
            if is_new {
                last = Some(crash.at);
            }
            is_new
        });
        distinct.count()
    }

    /// Returns true if the crashes are enough for a quarantine.
    fn is_due(&self) -> bool {
        let is_enough = match self.kind {
            SuspectKind::Request => self.crashes.len() >= MIN_REQUEST_CRASHES,
            SuspectKind::Part => {
                self.weight() >= MIN_WEIGHT
                    && self.episodes() >= MIN_EPISODES
                    && self.others.break_rate().powi(self.crashes.len() as i32) <= MAX_CHANCE
            }
        };
        is_enough && !self.ruling.is_quarantined()
    }

    fn rule(&mut self, ruling: Ruling, now: Instant) {
        self.ruling = ruling;
        self.ruled_at = now;
        self.trial_at = None;
        self.is_own_trial = false;
        self.changed = now;
    }

    /// Counts a crash against this entry's trial. A run of many that share a part may break late
    /// because of a crash that another run caused, which decides only after the last trial.
    fn end_trial_crashed(&mut self, is_early: bool, now: Instant) {
        let decides =
            self.kind == SuspectKind::Request || is_early || self.ruling.trials >= MAX_LATE_TRIALS;
        if decides && std::mem::take(&mut self.is_own_trial) {
            self.ruling.failed += 1;
            self.changed = now;
        }
    }

    /// Ends this entry's trial without a result, so that the next one needn't wait.
    fn end_trial_undecided(&mut self, now: Instant) {
        if std::mem::take(&mut self.is_own_trial) {
            self.ruling.trials += 1;
            self.trial_at = None;
            self.changed = now;
        }
    }

    /// Returns true if the last trial leaves room for another one now.
    fn allows_trial(&self, now: Instant) -> bool {
        let delay = match (self.kind, self.ruling.failed as usize) {
            (_, 0) => Some(TRIAL_TIMEOUT),
            (SuspectKind::Part, _) => None,
            (SuspectKind::Request, failed) => REQUEST_TRIAL_DELAYS.get(failed - 1).copied(),
        };
        delay.is_some_and(|delay| self.trial_at.is_none_or(|trial_at| now >= trial_at + delay))
    }

    /// Returns true if a trial is due and it is the turn of the entry `own`.
    fn is_trial_due(&self, own: NameHash, now: Instant) -> bool {
        let waited = now.saturating_duration_since(self.ruled_at).checked_sub(TRIAL_DELAY);
        waited.is_some_and(|waited| self.claims.is_turn(own, waited, now)) && self.allows_trial(now)
    }

    /// Returns the time from which the suspect may be forgotten after a while. A whole request that
    /// keeps coming is remembered; it has trials left, which a part has not.
    fn last_change(&self) -> Instant {
        let crashed = self.crashes.last().map_or(self.ruled_at, |crash| crash.at);
        let is_kept = self.kind == SuspectKind::Request && self.ruling.is_quarantined();
        let refused = self.claims.last().filter(|_| is_kept);
        crashed.max(self.ruled_at).max(refused.unwrap_or(self.ruled_at))
    }

    fn change(&self, suspect: SuspectHash, event: SuspectEvent) -> SuspectChange {
        SuspectChange { suspect, event, crashes: self.crashes.len(), others: self.others }
    }
}

/// The suspects of one kind under which upstreams have crashed.
#[derive(Debug, Clone)]
pub struct CrashQuarantine {
    kind: SuspectKind,
    records: HashMap<SuspectHash, SuspectRecord>,
    /// Changes that were not taken yet.
    changes: Vec<SuspectChange>,
}

impl CrashQuarantine {
    /// Returns a quarantine of suspects of this kind.
    pub fn new(kind: SuspectKind) -> Self {
        Self { kind, records: HashMap::new(), changes: Vec::new() }
    }

    /// Records that a run of a request with these suspects broke at an upstream at `at`, and that
    /// the upstream was down afterwards. `wrote` is the time from the first to the last data of its
    /// answer, if there was any.
    pub fn record_crash(
        &mut self,
        suspects: &[SuspectHash],
        upstream: NameHash,
        wrote: Option<Duration>,
        at: Instant,
        now: Instant,
    ) {
        if suspects.is_empty() {
            return;
        }
        for (suspect, record) in &mut self.records {
            if !suspects.contains(suspect) {
                record.others.broken += u32::from(!record.crashes.is_empty());
            }
        }
        let is_early = wrote.is_none_or(|wrote| wrote < LATE_AFTER);
        for suspect in suspects {
            self.add_crash(*suspect, Crash { upstream, at, is_early, is_own: true }, now);
            if let Some(record) = self.records.get_mut(suspect) {
                record.end_trial_crashed(is_early, now);
            }
        }
        self.judge(now);
    }

    /// Records that a run of a request with these suspects was sound.
    pub fn record_sound(&mut self, suspects: &[SuspectHash], now: Instant) {
        match self.kind {
            SuspectKind::Request => {
                for suspect in suspects {
                    self.clear(*suspect, now);
                }
            }
            SuspectKind::Part if suspects.is_empty() => {}
            SuspectKind::Part => {
                for (suspect, record) in &mut self.records {
                    if !suspects.contains(suspect) {
                        record.others.sound += u32::from(!record.crashes.is_empty());
                    }
                }
                for suspect in suspects {
                    self.clear(*suspect, now);
                }
                self.judge(now);
            }
        }
    }

    /// Clears a suspect after a sound run.
    fn clear(&mut self, suspect: SuspectHash, now: Instant) {
        let Some(record) = self.records.get_mut(&suspect) else { return };
        record.add_sound(now);
        record.own_sound = Some(now);
        record.changed = now;
        if record.ruling.is_quarantined() {
            record.rule(record.ruling.next(), now);
            self.changes.push(record.change(suspect, SuspectEvent::Released));
        }
    }

    /// Records that a run of a request with these suspects ended and says nothing about them.
    pub fn record_undecided(&mut self, suspects: &[SuspectHash], now: Instant) {
        for suspect in suspects {
            if let Some(record) = self.records.get_mut(suspect) {
                record.end_trial_undecided(now);
            }
        }
    }

    /// Returns true if upstreams have crashed under one of these suspects since its last sound run.
    pub fn has_crashed(&self, suspects: &[SuspectHash]) -> bool {
        let has_crashed =
            |record: &SuspectRecord| record.ruling.is_quarantined() || !record.crashes.is_empty();
        suspects.iter().any(|suspect| self.records.get(suspect).is_some_and(has_crashed))
    }

    /// Returns true if the entry `own` must not run a request with these suspects. Where a trial is
    /// due, one request passes.
    pub fn is_refused(&mut self, suspects: &[SuspectHash], own: NameHash, now: Instant) -> bool {
        let is_quarantined = |record: &SuspectRecord| record.ruling.is_quarantined();
        let held: Vec<SuspectHash> = suspects
            .iter()
            .copied()
            .filter(|suspect| self.records.get(suspect).is_some_and(is_quarantined))
            .collect();
        let is_due = |suspect: &SuspectHash| self.records[suspect].is_trial_due(own, now);
        if !held.iter().all(is_due) {
            for suspect in held {
                if let Some(record) = self.records.get_mut(&suspect) {
                    record.claims.record_own(now);
                }
            }
            return true;
        }
        for suspect in held {
            let Some(record) = self.records.get_mut(&suspect) else { continue };
            record.ruling.trials += 1;
            record.trial_at = Some(now);
            record.is_own_trial = true;
            record.changed = now;
            self.changes.push(record.change(suspect, SuspectEvent::Trial));
        }
        false
    }

    /// Returns true if a waiting request with these suspects must not start.
    pub fn is_quarantined(&self, suspects: &[SuspectHash]) -> bool {
        suspects.iter().any(|suspect| {
            self.records.get(suspect).is_some_and(|record| record.ruling.is_quarantined())
        })
    }

    /// Returns the number of suspects that are quarantined.
    pub fn quarantined_count(&self) -> usize {
        self.records.values().filter(|record| record.ruling.is_quarantined()).count()
    }

    /// Returns what this entry knows first-hand, and its rulings, for the other entries.
    pub fn report(&mut self, now: Instant) -> Vec<SuspectReport> {
        self.expire(now);
        let age = |at: Instant| now.saturating_duration_since(at);
        let is_reported = |record: &SuspectRecord| {
            record.ruling.is_quarantined() || age(record.changed) < REPORT_TIME
        };
        let mut records: Vec<_> =
            self.records.iter().filter(|(_, record)| is_reported(record)).collect();
        records.sort_by_key(|(suspect, record)| {
            let rank = (record.ruling.number, record.crashes.len(), record.changed);
            std::cmp::Reverse((record.ruling.is_quarantined(), rank, **suspect))
        });
        let reports = records.into_iter().take(MAX_REPORTED).map(|(suspect, record)| {
            let own = record.crashes.iter().rev().filter(|crash| crash.is_own);
            let own = own.take(MAX_REPORTED_CRASHES);
            let sound_age = record.own_sound.map(age).filter(|age| *age < REPORT_TIME);
            SuspectReport {
                suspect: *suspect,
                ruling: (record.ruling, age(record.ruled_at)),
                trial_age: record.trial_at.map(age),
                crashes: own
                    .map(|crash| AgedCrash {
                        upstream: crash.upstream,
                        age: age(crash.at),
                        is_early: crash.is_early,
                    })
                    .collect(),
                sound_age,
                claim_age: record.claims.own_age(now),
            }
        });
        reports.collect()
    }

    /// Merges what the entry `from` reports.
    pub fn merge(&mut self, from: NameHash, reports: &[SuspectReport], now: Instant) {
        let at = |age: Duration| now.checked_sub(age).unwrap_or(now);
        for report in reports {
            if report.is_outdated() && report.crashes.is_empty() {
                continue;
            }
            for AgedCrash { upstream, age, is_early } in
                report.crashes.iter().copied().take(MAX_CRASHES)
            {
                let crash = Crash { upstream, at: at(age), is_early, is_own: false };
                self.add_crash(report.suspect, crash, now);
            }
            if let (Some(age), Some(record)) =
                (report.sound_age, self.records.get_mut(&report.suspect))
            {
                record.add_sound(at(age));
            }
            self.adopt(report, now);
            if let (Some(age), Some(record)) =
                (report.claim_age, self.records.get_mut(&report.suspect))
            {
                record.claims.record_peer(from, at(age));
            }
        }
        self.judge(now);
    }

    /// Removes and returns the changes since the last call.
    pub fn take_changes(&mut self) -> Vec<SuspectChange> {
        std::mem::take(&mut self.changes)
    }

    /// Adopts another entry's ruling if it is newer.
    fn adopt(&mut self, report: &SuspectReport, now: Instant) {
        let (ruling, age) = report.ruling;
        if ruling == Ruling::default() || report.is_outdated() {
            return;
        }
        let Some(record) = self.record(report.suspect, now) else { return };
        let merged = record.ruling.merge(ruling);
        if merged == record.ruling {
            if ruling.number < record.ruling.number {
                // The other entry missed the newer one, which is reported again.
                record.changed = now;
            }
            return;
        }
        let was_quarantined = record.ruling.is_quarantined();
        let at = |age: Duration| now.checked_sub(age).unwrap_or(now);
        if ruling.number != record.ruling.number {
            record.rule(ruling, at(age));
        }
        if ruling.trials >= merged.trials {
            record.trial_at = report.trial_age.map(at);
        }
        record.ruling = merged;
        if ruling.is_quarantined() == was_quarantined {
            return;
        }
        // A ruling that overlooks a later sound run is lifted.
        let last_crash = record.crashes.last().map(|crash| crash.at);
        let is_refuted = record.own_sound.is_some_and(|sound_at| {
            Some(sound_at) > last_crash && sound_at + MAX_REPORT_AGE > record.ruled_at
        });
        let event = if !ruling.is_quarantined() {
            record.crashes.clear();
            record.others = OtherRuns::default();
            SuspectEvent::AdoptedRelease
        } else if is_refuted {
            record.rule(ruling.next(), now);
            SuspectEvent::Released
        } else {
            SuspectEvent::AdoptedQuarantine
        };
        let change = record.change(report.suspect, event);
        self.changes.push(change);
        if event == SuspectEvent::AdoptedQuarantine {
            self.explain(&[report.suspect]);
        }
    }

    /// Quarantines the suspects with the weightiest crashes, as long as some weigh enough.
    fn judge(&mut self, now: Instant) {
        loop {
            let suspects = self.records.iter().filter(|(_, record)| record.is_due());
            let Some(most) = suspects.clone().map(|(_, record)| record.weight()).max() else {
                return;
            };
            // Suspects that always come together can't be told from each other.
            let found: Vec<SuspectHash> = suspects
                .filter(|(_, record)| record.weight() == most)
                .map(|(suspect, _)| *suspect)
                .collect();
            for suspect in &found {
                let Some(record) = self.records.get_mut(suspect) else { continue };
                record.rule(record.ruling.next(), now);
                self.changes.push(record.change(*suspect, SuspectEvent::Quarantined));
            }
            self.explain(&found);
        }
    }

    /// Removes the crashes of the given suspects from all that aren't quarantined.
    fn explain(&mut self, suspects: &[SuspectHash]) {
        let explained: Vec<Crash> = suspects
            .iter()
            .filter_map(|suspect| self.records.get(suspect))
            .flat_map(|record| record.crashes.iter().copied())
            .collect();
        for record in self.records.values_mut() {
            if !record.ruling.is_quarantined() {
                record.crashes.retain(|crash| !explained.iter().any(|other| other.is_same(crash)));
            }
        }
    }

    fn add_crash(&mut self, suspect: SuspectHash, crash: Crash, now: Instant) {
        let is_explained = self.records.iter().any(|(other, record)| {
            *other != suspect
                && record.ruling.is_quarantined()
                && record.crashes.iter().any(|known| known.is_same(&crash))
        });
        if is_explained && !self.is_quarantined(&[suspect]) {
            return;
        }
        let Some(record) = self.record(suspect, now) else { return };
        if record.add_crash(crash) && crash.is_own {
            record.changed = now;
        }
    }

    /// Returns the record of a suspect, a new one if there is none; `None` if too many are
    /// quarantined.
    fn record(&mut self, suspect: SuspectHash, now: Instant) -> Option<&mut SuspectRecord> {
        if self.records.len() >= MAX_SUSPECTS && !self.records.contains_key(&suspect) {
            self.expire(now);
            self.make_room()?;
        }
        let kind = self.kind;
        Some(self.records.entry(suspect).or_insert_with(|| SuspectRecord::new(kind, now)))
    }

    /// Forgets the suspect with the fewest crashes if too many are kept; `None` if all of them are
    /// quarantined.
    fn make_room(&mut self) -> Option<()> {
        if self.records.len() < MAX_SUSPECTS {
            return Some(());
        }
        let open = self.records.iter().filter(|(_, record)| !record.ruling.is_quarantined());
        let least = open.min_by_key(|(suspect, record)| {
            (record.crashes.len(), record.last_change(), **suspect)
        });
        let least = *least?.0;
        self.records.remove(&least);
        Some(())
    }

    /// Forgets the suspects whose crashes are long ago, and those that were cleared.
    fn expire(&mut self, now: Instant) {
        self.records.retain(|_, record| {
            record.claims.expire(now);
            let is_open = !record.crashes.is_empty() || record.ruling.number > 0;
            let ttl = if is_open { RECORD_TTL } else { REPORT_TIME };
            now.saturating_duration_since(record.last_change().max(record.changed)) < ttl
        });
    }
}
