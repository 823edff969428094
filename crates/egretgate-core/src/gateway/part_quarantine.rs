//! Refuses requests with a part of their prompt under which one upstream after the other crashes.
//!
//! A crash breaks every run at the upstream, so it counts against the parts of all of them, and most
//! against those of runs that had hardly begun to write. Two things tell the part that causes it
//! from the others: no run with it is ever sound, and it breaks runs again and again while requests
//! without it are served. A part that most requests share is cleared by the next sound run,
//! wherever in the fleet that is.
//!
//! Entries report the crashes and sound runs that they saw themselves, and their rulings. A ruling
//! has a number that only grows, so all entries end up with the newest one, however late a report
//! is. A wrong ruling is lifted by a trial: a single request that some entry lets pass.

use std::collections::HashMap;
use std::time::{Duration, Instant};

use super::peer::NameHash;
use super::prompt_part::PartHash;

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
/// Time for which one entry may start the trial before the next one's turn.
const TRIAL_TURN: Duration = Duration::from_secs(1);
/// Time after which a trial without a result may be repeated.
const TRIAL_TIMEOUT: Duration = Duration::from_secs(5);
/// Trials that may break late before one of them decides.
const MAX_LATE_TRIALS: u32 = 2;
/// Time after the last crash at which a part is forgotten.
const RECORD_TTL: Duration = Duration::from_mins(5);
/// Time for which a change is reported: dozens of reports, some of which get lost.
const REPORT_TIME: Duration = Duration::from_secs(5);
/// Time after which every entry has heard of a sound run.
const MAX_REPORT_AGE: Duration = Duration::from_secs(1);
/// Largest number of parts in a report, so that it fits a datagram beside the other fields.
const MAX_REPORTED: usize = 16;
/// Largest number of crashes that are kept for a part, and that are read from a report.
const MAX_CRASHES: usize = 12;
/// Largest number of crashes in a report on a part, the newest.
const MAX_REPORTED_CRASHES: usize = 6;
/// Largest number of parts that are remembered.
const MAX_PARTS: usize = 1024;

/// A crash of an upstream under a part.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
struct Crash {
    upstream: NameHash,
    at: Instant,
    /// True if a run with the part had hardly begun to write.
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

/// A decision on a part. Of two, the greater one holds.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct Ruling {
    /// Number of rulings on the part: odd while it is quarantined.
    pub number: u32,
    /// Trials since then.
    pub trials: u32,
}

impl Ruling {
    /// Returns true if the part is quarantined.
    pub const fn is_quarantined(self) -> bool {
        self.number % 2 == 1
    }
}

/// What one entry reports about a part.
#[derive(Debug, Clone, PartialEq)]
pub struct PartReport {
    /// Part.
    pub part: PartHash,
    /// Its ruling, and its age.
    pub ruling: (Ruling, Duration),
    /// Crashes that the entry saw since the last sound run: upstream and age.
    pub crashes: Vec<AgedCrash>,
    /// Age of the last sound run that the entry saw, if there was one lately.
    pub sound_age: Option<Duration>,
}

/// A crash of an upstream, with its age instead of its time.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct AgedCrash {
    /// Upstream.
    pub upstream: NameHash,
    /// Time since the crash.
    pub age: Duration,
    /// True if a run with the part had hardly begun to write.
    pub is_early: bool,
}

/// A change of the quarantine, for logs.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct PartChange {
    /// Part.
    pub part: PartHash,
    /// What happened.
    pub event: PartEvent,
    /// Crashes known since the last sound run.
    pub crashes: usize,
    /// Runs without the part that this entry saw end since the first of them.
    pub others: OtherRuns,
}

/// What happened to a part.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum PartEvent {
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

impl PartEvent {
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

/// The entry's turn among the entries that reach each other, for trials.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Turn {
    /// Entries whose names sort before its own.
    pub rank: usize,
    /// Entries, itself included; at least 1.
    pub entries: usize,
}

/// How runs without a part ended.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct OtherRuns {
    /// Sound runs.
    pub sound: u32,
    /// Runs that broke.
    pub broken: u32,
}

impl OtherRuns {
    /// Returns the probability that a run breaks, estimated by the rule of succession.
    fn break_rate(self) -> f64 {
        f64::from(self.broken + 1) / f64::from(self.broken + self.sound + 2)
    }
}

#[derive(Debug, Clone)]
struct PartRecord {
    /// Crashes since the last sound run, in the order of their times; no two are the same.
    crashes: Vec<Crash>,
    /// Runs without the part that this entry saw end since the first crash.
    others: OtherRuns,
    /// Time of the last sound run known.
    sound_at: Option<Instant>,
    /// Time of the last sound run that this entry saw.
    own_sound: Option<Instant>,
    ruling: Ruling,
    ruled_at: Instant,
    /// Time of the last trial known.
    trial_at: Option<Instant>,
    /// Time of the last crash, sound run or ruling that this entry saw or made itself.
    changed: Instant,
}

impl PartRecord {
    const fn new(now: Instant) -> Self {
        Self {
            crashes: Vec::new(),
            others: OtherRuns { sound: 0, broken: 0 },
            sound_at: None,
            own_sound: None,
            ruling: Ruling { number: 0, trials: 0 },
            ruled_at: now,
            trial_at: None,
            changed: now,
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

    fn is_suspect(&self) -> bool {
        !self.ruling.is_quarantined()
            && self.weight() >= MIN_WEIGHT
            && self.episodes() >= MIN_EPISODES
            && self.others.break_rate().powi(self.crashes.len() as i32) <= MAX_CHANCE
    }

    /// Returns true if the trial has decided, or may still do so. A run that breaks late may have
    /// been hit by a crash that another run caused, which decides only after the last trial.
    fn trial_counts(&self, now: Instant) -> bool {
        let is_last = self.ruling.trials >= MAX_LATE_TRIALS;
        self.trial_at.is_some_and(|trial_at| {
            let decides = |crash: &Crash| crash.at > trial_at && (crash.is_early || is_last);
            now < trial_at + TRIAL_TIMEOUT || self.crashes.iter().any(decides)
        })
    }

    /// Returns true if a trial is due and it is this entry's turn. The turn's first and last
    /// quarters are left free, as entries learn of a ruling at different times.
    fn is_trial_due(&self, turn: Turn, now: Instant) -> bool {
        let waited = now.saturating_duration_since(self.ruled_at);
        let Some(waited) = waited.checked_sub(TRIAL_DELAY) else { return false };
        let turns = waited.div_duration_f64(TRIAL_TURN);
        let is_own = turns as usize % turn.entries.max(1) == turn.rank;
        is_own && (0.25..0.75).contains(&turns.fract()) && !self.trial_counts(now)
    }

    fn last_change(&self) -> Instant {
        self.crashes.last().map_or(self.ruled_at, |crash| crash.at.max(self.ruled_at))
    }

    fn change(&self, part: PartHash, event: PartEvent) -> PartChange {
        PartChange { part, event, crashes: self.crashes.len(), others: self.others }
    }
}

/// The parts under which upstreams have crashed.
#[derive(Debug, Clone, Default)]
pub struct PartQuarantine {
    records: HashMap<PartHash, PartRecord>,
    /// Changes that were not taken yet.
    changes: Vec<PartChange>,
}

impl PartQuarantine {
    /// Records that a run of a request with these parts broke at an upstream. `wrote` is the time
    /// from the first to the last data of its answer, if there was any.
    pub fn record_broken(
        &mut self,
        parts: &[PartHash],
        upstream: NameHash,
        wrote: Option<Duration>,
        now: Instant,
    ) {
        if parts.is_empty() {
            return;
        }
        for (part, record) in &mut self.records {
            if !parts.contains(part) {
                record.others.broken += u32::from(!record.crashes.is_empty());
            }
        }
        let is_early = wrote.is_none_or(|wrote| wrote < LATE_AFTER);
        for part in parts {
            self.add_crash(*part, Crash { upstream, at: now, is_early, is_own: true }, now);
        }
        self.judge(now);
    }

    /// Records that a run of a request with these parts was sound.
    pub fn record_sound(&mut self, parts: &[PartHash], now: Instant) {
        if parts.is_empty() {
            return;
        }
        for (part, record) in &mut self.records {
            if !parts.contains(part) {
                record.others.sound += u32::from(!record.crashes.is_empty());
                continue;
            }
            record.add_sound(now);
            record.own_sound = Some(now);
            record.changed = now;
            if record.ruling.is_quarantined() {
                record.ruling = Ruling { number: record.ruling.number + 1, trials: 0 };
                record.ruled_at = now;
                self.changes.push(record.change(*part, PartEvent::Released));
            }
        }
        self.judge(now);
    }

    /// Returns true if a request with these parts must not run. Where a trial is due, one request
    /// passes.
    pub fn is_refused(&mut self, parts: &[PartHash], turn: Turn, now: Instant) -> bool {
        let is_quarantined = |record: &PartRecord| record.ruling.is_quarantined();
        let held: Vec<PartHash> = parts
            .iter()
            .copied()
            .filter(|part| self.records.get(part).is_some_and(is_quarantined))
            .collect();
        let is_due = |part: &PartHash| self.records[part].is_trial_due(turn, now);
        if !held.iter().all(is_due) {
            return true;
        }
        for part in held {
            let Some(record) = self.records.get_mut(&part) else { continue };
            record.ruling.trials += 1;
            record.trial_at = Some(now);
            record.changed = now;
            self.changes.push(record.change(part, PartEvent::Trial));
        }
        false
    }

    /// Returns true if a waiting request with these parts must not start.
    pub fn is_quarantined(&self, parts: &[PartHash]) -> bool {
        parts
            .iter()
            .any(|part| self.records.get(part).is_some_and(|record| record.ruling.is_quarantined()))
    }

    /// Returns the number of parts that are quarantined.
    pub fn quarantined_count(&self) -> usize {
        self.records.values().filter(|record| record.ruling.is_quarantined()).count()
    }

    /// Returns what this entry knows first-hand, and its rulings, for the other entries.
    pub fn report(&mut self, now: Instant) -> Vec<PartReport> {
        self.expire(now);
        let age = |at: Instant| now.saturating_duration_since(at);
        let is_reported = |record: &PartRecord| {
            record.ruling.is_quarantined() || age(record.changed) < REPORT_TIME
        };
        let mut records: Vec<_> =
            self.records.iter().filter(|(_, record)| is_reported(record)).collect();
        records.sort_by_key(|(part, record)| {
            let rank = (record.ruling.number, record.crashes.len(), record.changed);
            std::cmp::Reverse((record.ruling.is_quarantined(), rank, **part))
        });
        let reports = records.into_iter().take(MAX_REPORTED).map(|(part, record)| {
            let own = record.crashes.iter().rev().filter(|crash| crash.is_own);
            let own = own.take(MAX_REPORTED_CRASHES);
            let sound_age = record.own_sound.map(age).filter(|age| *age < REPORT_TIME);
            PartReport {
                part: *part,
                ruling: (record.ruling, age(record.ruled_at)),
                crashes: own
                    .map(|crash| AgedCrash {
                        upstream: crash.upstream,
                        age: age(crash.at),
                        is_early: crash.is_early,
                    })
                    .collect(),
                sound_age,
            }
        });
        reports.collect()
    }

    /// Merges what another entry reports.
    pub fn merge(&mut self, reports: &[PartReport], now: Instant) {
        let at = |age: Duration| now.checked_sub(age).unwrap_or(now);
        for report in reports {
            if report.ruling.1 >= RECORD_TTL && report.crashes.is_empty() {
                continue;
            }
            for AgedCrash { upstream, age, is_early } in
                report.crashes.iter().copied().take(MAX_CRASHES)
            {
                let crash = Crash { upstream, at: at(age), is_early, is_own: false };
                self.add_crash(report.part, crash, now);
            }
            if let (Some(age), Some(record)) =
                (report.sound_age, self.records.get_mut(&report.part))
            {
                record.add_sound(at(age));
            }
            self.adopt(report, now);
        }
        self.judge(now);
    }

    /// Removes and returns the changes since the last call.
    pub fn take_changes(&mut self) -> Vec<PartChange> {
        std::mem::take(&mut self.changes)
    }

    /// Adopts another entry's ruling if it is newer.
    fn adopt(&mut self, report: &PartReport, now: Instant) {
        let (ruling, age) = report.ruling;
        if ruling == Ruling::default() || age >= RECORD_TTL {
            return;
        }
        let Some(record) = self.record(report.part, now) else { return };
        if ruling <= record.ruling {
            if ruling.number < record.ruling.number {
                // The other entry missed the newer one, which is reported again.
                record.changed = now;
            }
            return;
        }
        let was_quarantined = record.ruling.is_quarantined();
        if ruling.number != record.ruling.number {
            record.ruled_at = now.checked_sub(age).unwrap_or(now);
            record.trial_at = None;
        }
        if ruling.trials > 0 {
            record.trial_at = Some(now);
        }
        record.ruling = ruling;
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
            PartEvent::AdoptedRelease
        } else if is_refuted {
            record.ruling = Ruling { number: ruling.number + 1, trials: 0 };
            record.ruled_at = now;
            record.changed = now;
            PartEvent::Released
        } else {
            PartEvent::AdoptedQuarantine
        };
        let change = record.change(report.part, event);
        self.changes.push(change);
        if event == PartEvent::AdoptedQuarantine {
            self.explain(&[report.part]);
        }
    }

    /// Quarantines the parts with the weightiest crashes, as long as some weigh enough.
    fn judge(&mut self, now: Instant) {
        loop {
            let suspects = self.records.iter().filter(|(_, record)| record.is_suspect());
            let Some(most) = suspects.clone().map(|(_, record)| record.weight()).max() else {
                return;
            };
            // Parts that always come together can't be told from each other.
            let found: Vec<PartHash> = suspects
                .filter(|(_, record)| record.weight() == most)
                .map(|(part, _)| *part)
                .collect();
            for part in &found {
                let Some(record) = self.records.get_mut(part) else { continue };
                record.ruling = Ruling { number: record.ruling.number + 1, trials: 0 };
                record.ruled_at = now;
                record.trial_at = None;
                record.changed = now;
                self.changes.push(record.change(*part, PartEvent::Quarantined));
            }
            self.explain(&found);
        }
    }

    /// Removes the crashes of the given parts from all that aren't quarantined.
    fn explain(&mut self, parts: &[PartHash]) {
        let explained: Vec<Crash> = parts
            .iter()
            .filter_map(|part| self.records.get(part))
            .flat_map(|record| record.crashes.iter().copied())
            .collect();
        for record in self.records.values_mut() {
            if !record.ruling.is_quarantined() {
                record.crashes.retain(|crash| !explained.iter().any(|other| other.is_same(crash)));
            }
        }
    }

    fn add_crash(&mut self, part: PartHash, crash: Crash, now: Instant) {
        let is_explained = self.records.iter().any(|(other, record)| {
            *other != part
                && record.ruling.is_quarantined()
                && record.crashes.iter().any(|known| known.is_same(&crash))
        });
        if is_explained && !self.is_quarantined(&[part]) {
            return;
        }
        let Some(record) = self.record(part, now) else { return };
        if record.add_crash(crash) && crash.is_own {
            record.changed = now;
        }
    }

    /// Returns the record of a part, a new one if there is none; `None` if too many are kept.
    fn record(&mut self, part: PartHash, now: Instant) -> Option<&mut PartRecord> {
        if self.records.len() >= MAX_PARTS && !self.records.contains_key(&part) {
            self.expire(now);
            if self.records.len() >= MAX_PARTS {
                return None;
            }
        }
        Some(self.records.entry(part).or_insert_with(|| PartRecord::new(now)))
    }

    /// Forgets the parts whose crashes are long ago, and those that were cleared.
    fn expire(&mut self, now: Instant) {
        self.records.retain(|_, record| {
            let is_open = !record.crashes.is_empty() || record.ruling.number > 0;
            let ttl = if is_open { RECORD_TTL } else { REPORT_TIME };
            now.saturating_duration_since(record.last_change().max(record.changed)) < ttl
        });
    }
}
