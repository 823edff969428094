//! Idempotency keys: intents and outcomes in log order, which expire by log time.
//!
//! Log time is the sum of the intervals that successive holders of the keeper's lease measured
//! between their own records on their monotonic clocks. Each interval lies between two records of
//! the log and no two overlap, so log time never runs ahead of real time, is the same in every
//! process, and needs no wall clock. A key's window starts at the first tick after its intent, so
//! a key is kept at least as long as declared, and longer by a tick or an outage.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use bytes::Bytes;

use crate::error::{Error, ErrorKind, Result};
use crate::fold::image::{KeyImage, KeysImage};
use crate::fold::writers::Writers;
use crate::fold::{FoldEffect, corrupt};
use crate::ids::{Digest, Incarnation, Offset, Ticket};
use crate::record::body::{CallGroup, Ending, Intent, Outcome, RecordedAnswer, Tick};

/// Largest number of keys kept; beyond it, calls of new intents are refused as not run.
pub const MAX_KEYS: usize = 1 << 18;
/// Largest total size of recorded answers, in bytes; beyond it only the digests of the oldest are
/// kept.
pub const MAX_RECORDED_BYTES: usize = 8 * 1024 * 1024;
/// Largest log time that one tick adds.
pub const MAX_TICK_ELAPSED: Duration = Duration::from_mins(10);

const MS_PER_S: u64 = 1_000;

/// Idempotency keys that are reserved by an intent and whose window has not passed.
#[derive(Debug, Default)]
pub struct KeyTable {
    keys: BTreeMap<Digest, ReservedKey>,
    clock_ms: u64,
    last_tick: Option<Offset>,
    /// Keys whose window starts at the next tick.
    unstarted: BTreeSet<Digest>,
    /// Keys whose window has started, by the log time at which they expire, in milliseconds.
    expiry: BTreeSet<(u64, Digest)>,
    /// Keys whose recorded answer still has its body, by the offset of the outcome.
    bodies: BTreeSet<(Offset, Digest)>,
    body_bytes: usize,
    writers: Writers,
}

/// An idempotency key, reserved by its first intent.
#[derive(Debug, Clone, PartialEq)]
pub struct ReservedKey {
    /// Request that holds the key.
    pub ticket: Ticket,
    /// Digest of the request's body.
    pub body_digest: Digest,
    /// Offset of the intent: the fencing number of the dispatch.
    pub intent_offset: Offset,
    /// Log time for which the key is kept, in seconds.
    pub window_s: u64,
    /// Outcome of the call so far.
    pub state: KeyState,
    /// Log time at which the key expires, in milliseconds; absent until the next tick.
    expires_ms: Option<u64>,
    /// Offset of the outcome.
    outcome_offset: Option<Offset>,
}

/// Outcome of the call for a key so far.
#[derive(Debug, Clone, PartialEq)]
pub enum KeyState {
    /// No outcome is recorded.
    Pending,
    /// The call ran and was answered.
    Answered(RecordedAnswer),
    /// The call was dispatched, and whether it ran is unknown.
    Unknown,
}

/// A change of a key's state, and the request that it concerns.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct KeyEvent {
    /// Digest of team, route and idempotency key.
    pub key: Digest,
    /// Request of the intent or outcome, or the request that held the key if it expired.
    pub ticket: Ticket,
    /// How the key changed.
    pub change: KeyChange,
}

/// How a key changed, or why it did not.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum KeyChange {
    /// The intent reserved the key: its writer may dispatch the call.
    Reserved,
    /// The intent was refused because another intent holds the key.
    Taken,
    /// The intent was refused because too many keys are kept.
    TableFull,
    /// An outcome was recorded.
    Ended,
    /// The call is proven not to have run, and the key is free.
    Freed,
    /// The key's window has passed, and the key is free.
    Expired,
}

impl KeyTable {
    /// Returns a key within its window.
    pub fn get(&self, key: &Digest) -> Option<&ReservedKey> {
        self.keys.get(key)
    }

    /// Returns the number of keys kept.
    pub fn len(&self) -> usize {
        self.keys.len()
    }

    /// Returns true if no key is kept.
    pub fn is_empty(&self) -> bool {
        self.keys.is_empty()
    }

    /// Returns the log time so far.
    pub const fn clock(&self) -> Duration {
        Duration::from_millis(self.clock_ms)
    }

    /// Returns the offset of the last accepted tick.
    pub const fn last_tick(&self) -> Option<Offset> {
        self.last_tick
    }

    pub(crate) fn apply(
        &mut self,
        offset: Offset,
        writer: Incarnation,
        sequence: u64,
        group: &CallGroup,
    ) -> FoldEffect {
        if !self.writers.admit(writer, sequence, offset) {
            return FoldEffect::Duplicate;
        }
        let mut events = Vec::with_capacity(group.outcomes.len() + group.intents.len());
        for outcome in &group.outcomes {
            events.extend(self.apply_outcome(offset, writer, outcome));
        }
        for intent in &group.intents {
            events.extend(self.apply_intent(offset, writer, intent));
        }
        self.evict_bodies();
        FoldEffect::Keys(events)
    }

    fn apply_intent(
        &mut self,
        offset: Offset,
        writer: Incarnation,
        intent: &Intent,
    ) -> Option<KeyEvent> {
        let key = Digest::from_slice(&intent.key)?;
        let body_digest = Digest::from_slice(&intent.body_digest)?;
        let ticket = Ticket::from(intent.ticket?);
        if ticket.entry != writer {
            return None;
        }
        let change = self.reserve(key, ticket, body_digest, offset, intent.window_s);
        Some(KeyEvent { key, ticket, change })
    }

    fn reserve(
        &mut self,
        key: Digest,
        ticket: Ticket,
        body_digest: Digest,
        intent_offset: Offset,
        window_s: u64,
    ) -> KeyChange {
        if self.keys.contains_key(&key) {
            return KeyChange::Taken;
        }
        if self.keys.len() >= MAX_KEYS {
            return KeyChange::TableFull;
        }
        let state = KeyState::Pending;
        let reserved = ReservedKey {
            ticket,
            body_digest,
            intent_offset,
            window_s,
            state,
            expires_ms: None,
            outcome_offset: None,
        };
        self.keys.insert(key, reserved);
        self.unstarted.insert(key);
        KeyChange::Reserved
    }

    fn apply_outcome(
        &mut self,
        offset: Offset,
        writer: Incarnation,
        outcome: &Outcome,
    ) -> Option<KeyEvent> {
        let key = Digest::from_slice(&outcome.key)?;
        let ticket = Ticket::from(outcome.ticket?);
        let reserved = self.keys.get_mut(&key)?;
        if ticket.entry != writer
            || reserved.ticket != ticket
            || reserved.state != KeyState::Pending
        {
            return None;
        }
        let change = match outcome.ending.as_ref()? {
            Ending::NotRun(_) => {
                self.remove(&key);
                KeyChange::Freed
            }
            Ending::Unknown(_) => {
                reserved.state = KeyState::Unknown;
                reserved.outcome_offset = Some(offset);
                KeyChange::Ended
            }
            Ending::Answered(answer) => {
                reserved.state = KeyState::Answered(answer.clone());
                reserved.outcome_offset = Some(offset);
                self.keep_body(offset, key, answer);
                KeyChange::Ended
            }
        };
        Some(KeyEvent { key, ticket, change })
    }

    fn keep_body(&mut self, offset: Offset, key: Digest, answer: &RecordedAnswer) {
        if let Some(body) = &answer.body {
            self.bodies.insert((offset, key));
            self.body_bytes += body.len();
        }
    }

    fn evict_bodies(&mut self) {
        while self.body_bytes > MAX_RECORDED_BYTES {
            let Some((_, key)) = self.bodies.pop_first() else {
                return;
            };
            if let Some(ReservedKey { state: KeyState::Answered(answer), .. }) =
                self.keys.get_mut(&key)
            {
                self.body_bytes -= answer.body.take().map_or(0, |body| body.len());
            }
        }
    }

    fn remove(&mut self, key: &Digest) -> Option<ReservedKey> {
        let reserved = self.keys.remove(key)?;
        match reserved.expires_ms {
            Some(expires_ms) => self.expiry.remove(&(expires_ms, *key)),
            None => self.unstarted.remove(key),
        };
        if let (Some(outcome_offset), KeyState::Answered(answer)) =
            (reserved.outcome_offset, &reserved.state)
            && self.bodies.remove(&(outcome_offset, *key))
        {
            self.body_bytes -= answer.body.as_ref().map_or(0, Bytes::len);
        }
        Some(reserved)
    }

    /// Advances log time. The caller must have checked the keeper's lease.
    pub(crate) fn tick(&mut self, offset: Offset, tick: &Tick) -> FoldEffect {
        if tick.expected_offset != self.last_tick {
            return FoldEffect::Refused(Error::new(ErrorKind::Conflict, "not the next tick"));
        }
        self.last_tick = Some(offset);
        self.clock_ms += tick.elapsed_ms.min(MAX_TICK_ELAPSED.as_millis() as u64);
        let events = self.remove_expired();
        self.start_windows();
        FoldEffect::Keys(events)
    }

    fn remove_expired(&mut self) -> Vec<KeyEvent> {
        let mut events = Vec::new();
        while let Some(&(expires_ms, key)) = self.expiry.first() {
            if expires_ms > self.clock_ms {
                break;
            }
            let Some(reserved) = self.remove(&key) else {
                break;
            };
            events.push(KeyEvent { key, ticket: reserved.ticket, change: KeyChange::Expired });
        }
        events
    }

    fn start_windows(&mut self) {
        for key in std::mem::take(&mut self.unstarted) {
            if let Some(reserved) = self.keys.get_mut(&key) {
                let expires_ms =
                    self.clock_ms.saturating_add(reserved.window_s.saturating_mul(MS_PER_S));
                reserved.expires_ms = Some(expires_ms);
                self.expiry.insert((expires_ms, key));
            }
        }
    }

    pub(crate) fn image(&self) -> KeysImage {
        KeysImage {
            keys: self.keys.iter().map(|(key, reserved)| reserved.image(key)).collect(),
            clock_ms: self.clock_ms,
            last_tick: self.last_tick,
            writers: self.writers.image(),
        }
    }

    pub(crate) fn from_image(image: KeysImage) -> Result<Self> {
        let mut keys = Self {
            clock_ms: image.clock_ms,
            last_tick: image.last_tick,
            writers: Writers::from_image(image.writers),
            ..Self::default()
        };
        for image in image.keys {
            let digest = Digest::from_slice(&image.key).ok_or_else(corrupt)?;
            let reserved = ReservedKey::from_image(image).ok_or_else(corrupt)?;
            match reserved.expires_ms {
                Some(expires_ms) => keys.expiry.insert((expires_ms, digest)),
                None => keys.unstarted.insert(digest),
            };
            if let (Some(outcome_offset), KeyState::Answered(answer)) =
                (reserved.outcome_offset, &reserved.state)
            {
                keys.keep_body(outcome_offset, digest, answer);
            }
            keys.keys.insert(digest, reserved);
        }
        Ok(keys)
    }
}

impl ReservedKey {
    fn image(&self, key: &Digest) -> KeyImage {
        let answer = match &self.state {
            KeyState::Answered(answer) => Some(answer.clone()),
            KeyState::Pending | KeyState::Unknown => None,
        };
        KeyImage {
            key: Bytes::copy_from_slice(key.as_bytes()),
            body_digest: Bytes::copy_from_slice(self.body_digest.as_bytes()),
            entry: self.ticket.entry,
            sequence: self.ticket.sequence,
            intent_offset: self.intent_offset,
            window_s: self.window_s,
            expires_ms: self.expires_ms,
            outcome_offset: self.outcome_offset,
            answer,
        }
    }

    fn from_image(image: KeyImage) -> Option<Self> {
        let state = match (image.answer, image.outcome_offset) {
            (Some(answer), _) => KeyState::Answered(answer),
            (None, Some(_)) => KeyState::Unknown,
            (None, None) => KeyState::Pending,
        };
        Some(Self {
            ticket: Ticket::new(image.entry, image.sequence),
            body_digest: Digest::from_slice(&image.body_digest)?,
            intent_offset: image.intent_offset,
            window_s: image.window_s,
            state,
            expires_ms: image.expires_ms,
            outcome_offset: image.outcome_offset,
        })
    }
}
