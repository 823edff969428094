//! How many bytes an entry may hold for callers and upstreams that read or send slowly.
//!
//! A holder is one request with its answer. What it may hold grows with what is free in the part of
//! the budget for answers (dynamic thresholds: Choudhury and Hahne, 1998): alone it may hold much,
//! beside many others little. The rest of the budget is for those that come, so slow readers slow
//! their own upstreams before anything new is refused. A caller that reads as fast as its upstream
//! sends holds next to nothing, so it never waits for room that slow ones take.

use std::collections::BTreeSet;

use slotmap::SlotMap;

/// Part of an entry's memory that may be held.
const MEMORY_FRACTION: f64 = 0.25;
/// Memory that is assumed if the settings state none, in bytes.
pub const DEFAULT_MEMORY_BYTES: usize = 256 << 20;
/// Bytes that every holder may hold: a frame on its way.
pub const FLOOR_BYTES: usize = 64 << 10;
/// Part of the budget up to which answers are read ahead of their callers.
const ANSWERS_FRACTION: f64 = 0.5;
/// Part of the budget beyond which new requests are refused; the rest is for admitted ones.
const ADMIT_FRACTION: f64 = 0.8;
/// As [`ADMIT_FRACTION`], for requests with bodies over [`FLOOR_BYTES`]: those that send large bodies
/// slowly leave room for small requests.
const LARGE_FRACTION: f64 = 0.6;

slotmap::new_key_type! {
    /// Key of a holder.
    pub struct HolderKey;
}

/// What a holder's answer needs before it can be passed on.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AnswerUse {
    /// Each of its frames is passed on as it comes.
    Stream,
    /// It must be read whole.
    Whole,
}

#[derive(Debug, Default)]
struct HeldBy {
    bytes: usize,
    /// True once its request has ended; it is removed with its last byte.
    closed: bool,
    /// Place among the answers that are read whole.
    turn: Option<u64>,
}

/// The bytes that an entry holds, and for whom.
#[derive(Debug)]
pub struct HeldBytes {
    budget: usize,
    /// Sum of what the holders hold.
    total: usize,
    holders: SlotMap<HolderKey, HeldBy>,
    /// Turns of the answers that are being read whole.
    turns: BTreeSet<u64>,
    next_turn: u64,
}

impl HeldBytes {
    /// Returns the state of an entry with this memory, in bytes.
    pub fn of_memory(bytes: usize) -> Self {
        Self::new((bytes as f64 * MEMORY_FRACTION) as usize)
    }

    /// Returns the state of an entry that may hold `budget` bytes.
    pub fn new(budget: usize) -> Self {
        let holders = SlotMap::with_key();
        Self { budget, total: 0, holders, turns: BTreeSet::new(), next_turn: 0 }
    }

    /// Returns the bytes that may be held.
    pub const fn budget(&self) -> usize {
        self.budget
    }

    /// Returns the bytes that are held.
    pub const fn total(&self) -> usize {
        self.total
    }

    /// Returns the number of requests that hold bytes or may.
    pub fn holders(&self) -> usize {
        self.holders.len()
    }

    /// Returns the bytes that `key` holds; 0 if it is unknown.
    pub fn held_by(&self, key: HolderKey) -> usize {
        self.holders.get(key).map_or(0, |holder| holder.bytes)
    }

    /// Admits a new request whose body has `body` bytes, or the first of them; `None` if there is no
    /// room for it.
    pub fn admit(&mut self, body: usize) -> Option<HolderKey> {
        if !self.admits(body) {
            return None;
        }
        Some(self.holders.insert(HeldBy::default()))
    }

    /// Returns whether the body of a new request may have `body` bytes more.
    pub fn admits(&self, body: usize) -> bool {
        let part = if body > FLOOR_BYTES { LARGE_FRACTION } else { ADMIT_FRACTION };
        let most = (self.budget as f64 * part) as usize;
        self.total.saturating_add(body) <= most
    }

    /// Returns whether more of an answer may be read for `key`; otherwise its upstream waits.
    ///
    /// Of the answers that are read whole the oldest always goes on: if each waited for the others,
    /// none would end.
    pub fn has_room(&self, key: HolderKey) -> bool {
        let Some(holder) = self.holders.get(key) else { return false };
        let is_next = holder.turn.is_some() && holder.turn.as_ref() == self.turns.first();
        is_next || holder.bytes < FLOOR_BYTES.max(self.free_for_answers() / 2)
    }

    /// Returns true if the budget binds: no answer is read ahead beyond the floor.
    pub fn is_tight(&self) -> bool {
        self.free_for_answers() / 2 < FLOOR_BYTES
    }

    fn free_for_answers(&self) -> usize {
        ((self.budget as f64 * ANSWERS_FRACTION) as usize).saturating_sub(self.total)
    }

    /// Sets what the answer of `key` needs.
    pub fn set_use(&mut self, key: HolderKey, use_: AnswerUse) {
        let Some(holder) = self.holders.get_mut(key) else { return };
        match (use_, holder.turn) {
            (AnswerUse::Whole, None) => {
                self.turns.insert(self.next_turn);
                holder.turn = Some(self.next_turn);
                self.next_turn += 1;
            }
            (AnswerUse::Stream, Some(turn)) => {
                self.turns.remove(&turn);
                holder.turn = None;
            }
            (AnswerUse::Whole, Some(_)) | (AnswerUse::Stream, None) => {}
        }
    }

    /// Counts bytes that were read for `key`.
    pub fn add(&mut self, key: HolderKey, bytes: usize) {
        let Some(holder) = self.holders.get_mut(key) else { return };
        holder.bytes += bytes;
        self.total += bytes;
    }

    /// Counts bytes that are no longer held for `key`.
    pub fn remove(&mut self, key: HolderKey, bytes: usize) {
        let Some(holder) = self.holders.get_mut(key) else { return };
        holder.bytes -= bytes;
        self.total -= bytes;
        self.remove_if_done(key);
    }

    /// Ends the request of `key`; what it still holds stays counted.
    pub fn close(&mut self, key: HolderKey) {
        self.set_use(key, AnswerUse::Stream);
        if let Some(holder) = self.holders.get_mut(key) {
            holder.closed = true;
        }
        self.remove_if_done(key);
    }

    fn remove_if_done(&mut self, key: HolderKey) {
        if self.holders.get(key).is_some_and(|holder| holder.closed && holder.bytes == 0) {
            self.holders.remove(key);
        }
    }
}
