//! Idempotency keys: intents and outcomes in log order, kept by log time.
//!
//! Log time is the sum of the times that successive holders of the keeper's lease measured
//! between their own records on their monotonic clocks. Each of these spans lies between two
//! records of the log and no two overlap, so log time never runs ahead of real time, is the same
//! in every process, and needs no wall clock. A key's window starts at the first tick after its
//! intent, so a key is kept at least as long as declared, and longer by a tick or an outage.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use bytes::Bytes;

use crate::error::{Error, ErrorKind, Result};
use crate::fold::image::{KeyImage, KeysImage};
use crate::fold::writers::Writers;
use crate::fold::{Effect, corrupt};
use crate::ids::{Digest, Incarnation, Offset, Ticket};
use crate::record::body::{Calls, Done, Ending, Intent, Outcome, Tick};

/// Most keys kept; beyond it new intents are refused as not run.
pub const MAX_KEYS: usize = 1 << 18;
/// Most bytes of recorded answers kept; beyond it the oldest are kept by digest only.
pub const MAX_BODY_BYTES: usize = 8 * 1024 * 1024;
/// Most log time that one tick adds.
pub const MAX_TICK: Duration = Duration::from_mins(10);

const MS_PER_S: u64 = 1_000;

/// Keys with an intent within their window.
#[derive(Debug, Default)]
pub struct Keys {
    held: BTreeMap<Digest, Key>,
    clock_ms: u64,
    tick: Option<Offset>,
    /// Keys whose window starts at the next tick.
    fresh: BTreeSet<Digest>,
    /// Other keys, by the log time at which they expire.
    expiry: BTreeSet<(u64, Digest)>,
    /// Keys with a recorded body, by the offset of the outcome.
    bodies: BTreeSet<(Offset, Digest)>,
    body_bytes: usize,
    writers: Writers,
}

/// An idempotency key with its first intent.
#[derive(Debug, Clone, PartialEq)]
pub struct Key {
    /// Request that holds the key.
    pub ticket: Ticket,
    /// Digest of the request's body.
    pub body: Digest,
    /// Offset of the intent: the fencing number of the dispatch.
    pub offset: Offset,
    /// Time for which the key is kept, in seconds of log time.
    pub window_s: u64,
    /// How the call ended, so far.
    pub state: KeyState,
    /// Log time at which it expires, in milliseconds; absent until the next tick.
    until_ms: Option<u64>,
    /// Offset of the outcome.
    ended: Option<Offset>,
}

/// How the call for a key ended, so far.
#[derive(Debug, Clone, PartialEq)]
pub enum KeyState {
    /// No outcome is recorded.
    Open,
    /// It ran and was answered.
    Done(Done),
    /// It was dispatched, and nothing is proven.
    Unknown,
}

/// What happened to a key.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct KeyEvent {
    /// Digest of team, route and key.
    pub key: Digest,
    /// Request whose intent or outcome this is.
    pub ticket: Ticket,
    /// What happened.
    pub change: KeyChange,
}

/// What happened to a key.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum KeyChange {
    /// The intent is the first: its writer may dispatch.
    First,
    /// Another intent holds the key.
    Lost,
    /// The intent was refused because too many keys are kept.
    Full,
    /// An outcome was recorded.
    Ended,
    /// The call is proven not run, and the key is free.
    Freed,
    /// The key's window has passed, and the key is free.
    Expired,
}

impl Keys {
    /// Returns a key within its window.
    pub fn get(&self, key: &Digest) -> Option<&Key> {
        self.held.get(key)
    }

    /// Returns the number of keys kept.
    pub fn len(&self) -> usize {
        self.held.len()
    }

    /// Returns true if no key is kept.
    pub fn is_empty(&self) -> bool {
        self.held.is_empty()
    }

    /// Returns the log time so far.
    pub const fn clock(&self) -> Duration {
        Duration::from_millis(self.clock_ms)
    }

    /// Returns the offset of the last accepted tick.
    pub const fn last_tick(&self) -> Option<Offset> {
        self.tick
    }

    pub(crate) fn apply(
        &mut self,
        offset: Offset,
        writer: Incarnation,
        sequence: u64,
        calls: &Calls,
    ) -> Effect {
        if !self.writers.admit(writer, sequence, offset) {
            return Effect::Double;
        }
        let mut events = Vec::with_capacity(calls.outcomes.len() + calls.intents.len());
        for outcome in &calls.outcomes {
            events.extend(self.end(offset, writer, outcome));
        }
        for intent in &calls.intents {
            events.extend(self.begin(offset, writer, intent));
        }
        self.drop_bodies();
        Effect::Keys(events)
    }

    fn begin(&mut self, offset: Offset, writer: Incarnation, intent: &Intent) -> Option<KeyEvent> {
        let key = Digest::from_slice(&intent.key)?;
        let body = Digest::from_slice(&intent.body)?;
        let ticket = Ticket::from(intent.ticket?);
        if ticket.entry != writer {
            return None;
        }
        let change = self.reserve(key, ticket, body, offset, intent.window_s);
        Some(KeyEvent { key, ticket, change })
    }

    fn reserve(
        &mut self,
        key: Digest,
        ticket: Ticket,
        body: Digest,
        offset: Offset,
        window_s: u64,
    ) -> KeyChange {
        if self.held.contains_key(&key) {
            return KeyChange::Lost;
        }
        if self.held.len() >= MAX_KEYS {
            return KeyChange::Full;
        }
        let state = KeyState::Open;
        let held = Key { ticket, body, offset, window_s, state, until_ms: None, ended: None };
        self.held.insert(key, held);
        self.fresh.insert(key);
        KeyChange::First
    }

    fn end(&mut self, offset: Offset, writer: Incarnation, outcome: &Outcome) -> Option<KeyEvent> {
        let key = Digest::from_slice(&outcome.key)?;
        let ticket = Ticket::from(outcome.ticket?);
        let held = self.held.get_mut(&key)?;
        if ticket.entry != writer || held.ticket != ticket || held.state != KeyState::Open {
            return None;
        }
        let change = match outcome.ending.as_ref()? {
            Ending::NotRun(_) => {
                self.remove(&key);
                KeyChange::Freed
            }
            Ending::Unknown(_) => {
                held.state = KeyState::Unknown;
                held.ended = Some(offset);
                KeyChange::Ended
            }
            Ending::Done(done) => {
                held.state = KeyState::Done(done.clone());
                held.ended = Some(offset);
                self.keep_body(offset, key, done);
                KeyChange::Ended
            }
        };
        Some(KeyEvent { key, ticket, change })
    }

    fn keep_body(&mut self, offset: Offset, key: Digest, done: &Done) {
        if let Some(body) = &done.body {
            self.bodies.insert((offset, key));
            self.body_bytes += body.len();
        }
    }

    fn drop_bodies(&mut self) {
        while self.body_bytes > MAX_BODY_BYTES {
            let Some((_, key)) = self.bodies.pop_first() else {
                return;
            };
            if let Some(Key { state: KeyState::Done(done), .. }) = self.held.get_mut(&key) {
                self.body_bytes -= done.body.take().map_or(0, |body| body.len());
            }
        }
    }

    fn remove(&mut self, key: &Digest) -> Option<Key> {
        let held = self.held.remove(key)?;
        match held.until_ms {
            Some(until) => self.expiry.remove(&(until, *key)),
            None => self.fresh.remove(key),
        };
        if let (Some(ended), KeyState::Done(done)) = (held.ended, &held.state)
            && self.bodies.remove(&(ended, *key))
        {
            self.body_bytes -= done.body.as_ref().map_or(0, Bytes::len);
        }
        Some(held)
    }

    /// Advances log time. The caller has checked the keeper's lease.
    pub(crate) fn tick(&mut self, offset: Offset, tick: &Tick) -> Effect {
        if tick.expects != self.tick {
            return Effect::Refused(Error::new(ErrorKind::Conflict, "not the next tick"));
        }
        self.tick = Some(offset);
        self.clock_ms += tick.elapsed_ms.min(MAX_TICK.as_millis() as u64);
        let events = self.expire();
        self.stamp();
        Effect::Keys(events)
    }

    fn expire(&mut self) -> Vec<KeyEvent> {
        let mut events = Vec::new();
        while let Some(&(until, key)) = self.expiry.first() {
            if until > self.clock_ms {
                break;
            }
            let Some(held) = self.remove(&key) else {
                break;
            };
            events.push(KeyEvent { key, ticket: held.ticket, change: KeyChange::Expired });
        }
        events
    }

    fn stamp(&mut self) {
        for key in std::mem::take(&mut self.fresh) {
            if let Some(held) = self.held.get_mut(&key) {
                let until = self.clock_ms.saturating_add(held.window_s.saturating_mul(MS_PER_S));
                held.until_ms = Some(until);
                self.expiry.insert((until, key));
            }
        }
    }

    pub(crate) fn image(&self) -> KeysImage {
        KeysImage {
            keys: self.held.iter().map(|(key, held)| held.image(key)).collect(),
            clock_ms: self.clock_ms,
            tick: self.tick,
            writers: self.writers.image(),
        }
    }

    pub(crate) fn from_image(image: KeysImage) -> Result<Self> {
        let mut keys = Self {
            clock_ms: image.clock_ms,
            tick: image.tick,
            writers: Writers::from_image(image.writers),
            ..Self::default()
        };
        for image in image.keys {
            let digest = Digest::from_slice(&image.key).ok_or_else(corrupt)?;
            let held = Key::from_image(image).ok_or_else(corrupt)?;
            match held.until_ms {
                Some(until) => keys.expiry.insert((until, digest)),
                None => keys.fresh.insert(digest),
            };
            if let (Some(ended), KeyState::Done(done)) = (held.ended, &held.state) {
                keys.keep_body(ended, digest, done);
            }
            keys.held.insert(digest, held);
        }
        Ok(keys)
    }
}

impl Key {
    fn image(&self, key: &Digest) -> KeyImage {
        let done = match &self.state {
            KeyState::Done(done) => Some(done.clone()),
            KeyState::Open | KeyState::Unknown => None,
        };
        KeyImage {
            key: Bytes::copy_from_slice(key.as_bytes()),
            body: Bytes::copy_from_slice(self.body.as_bytes()),
            entry: self.ticket.entry,
            sequence: self.ticket.sequence,
            offset: self.offset,
            window_s: self.window_s,
            until_ms: self.until_ms,
            ended: self.ended,
            done,
        }
    }

    fn from_image(image: KeyImage) -> Option<Self> {
        let state = match (image.done, image.ended) {
            (Some(done), _) => KeyState::Done(done),
            (None, Some(_)) => KeyState::Unknown,
            (None, None) => KeyState::Open,
        };
        Some(Self {
            ticket: Ticket::new(image.entry, image.sequence),
            body: Digest::from_slice(&image.body)?,
            offset: image.offset,
            window_s: image.window_s,
            state,
            until_ms: image.until_ms,
            ended: image.ended,
        })
    }
}
