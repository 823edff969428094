//! Appends of one class of a writer's records: one at a time, and retried only if the log does not
//! contain the record.

use std::collections::VecDeque;

use crate::error::Result;
use crate::ids::Incarnation;
use crate::record::{Body, Record};

/// An append to send.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Append {
    /// Sequence of the record; a retry keeps it, so that the fold drops the duplicate.
    pub sequence: u64,
    /// Bytes to append.
    pub data: Vec<u8>,
}

/// Queue of one writer's records of one class.
///
/// Invariant: at most one record is sent and not read back yet, so sequences reach the log in
/// order, and a copy that reaches it late is always recognized as a duplicate.
#[derive(Debug)]
pub struct Outbox {
    writer: Incarnation,
    sequence: u64,
    waiting: VecDeque<Append>,
    in_flight: Option<InFlight>,
}

#[derive(Debug)]
struct InFlight {
    append: Append,
    answer_lost: bool,
}

impl Outbox {
    /// Returns an empty queue.
    pub const fn new(writer: Incarnation) -> Self {
        Self { writer, sequence: 0, waiting: VecDeque::new(), in_flight: None }
    }

    /// Queues a record and returns its sequence, or why it may not be appended.
    pub fn push(&mut self, body: Body) -> Result<u64> {
        let sequence = self.sequence + 1;
        let data = Record::new(self.writer, sequence, body).to_bytes()?;
        self.sequence = sequence;
        self.waiting.push_back(Append { sequence, data });
        Ok(sequence)
    }

    /// Returns the next append to send, or `None` while one is in flight.
    pub fn pop(&mut self) -> Option<Append> {
        if self.in_flight.is_some() {
            return None;
        }
        let append = self.waiting.pop_front()?;
        self.in_flight = Some(InFlight { append: append.clone(), answer_lost: false });
        Some(append)
    }

    /// Removes a queued record that was never sent; returns false if it may be in the log.
    pub fn cancel(&mut self, sequence: u64) -> bool {
        let queued = self.waiting.len();
        self.waiting.retain(|append| append.sequence != sequence);
        self.waiting.len() < queued
    }

    /// Removes every queued record that was never sent.
    pub fn clear(&mut self) {
        self.waiting.clear();
    }

    /// Marks the append with this sequence as unconfirmed: its answer was lost, so the record may
    /// or may not be in the log.
    pub fn mark_answer_lost(&mut self, sequence: u64) {
        if let Some(in_flight) =
            self.in_flight.as_mut().filter(|in_flight| in_flight.append.sequence == sequence)
        {
            in_flight.answer_lost = true;
        }
    }

    /// Returns the append whose answer was lost, to send it again. Call this once the log has been
    /// read up to an end offset that was requested after the loss, without finding the record.
    pub fn retry_append(&mut self) -> Option<Append> {
        let in_flight = self.in_flight.as_mut().filter(|in_flight| in_flight.answer_lost)?;
        in_flight.answer_lost = false;
        Some(in_flight.append.clone())
    }

    /// Confirms the append in flight if the log contains its record; returns false if `writer` and
    /// `sequence` identify another record.
    pub fn confirm(&mut self, writer: Incarnation, sequence: u64) -> bool {
        let is_in_flight =
            self.in_flight.as_ref().is_some_and(|in_flight| in_flight.append.sequence == sequence);
        let found = writer == self.writer && is_in_flight;
        if found {
            self.in_flight = None;
        }
        found
    }

    /// Returns true if the answer to an append was lost and the append has not been retried yet.
    pub fn has_lost_answer(&self) -> bool {
        self.in_flight.as_ref().is_some_and(|in_flight| in_flight.answer_lost)
    }

    /// Returns true if no record is queued or in flight.
    pub fn is_idle(&self) -> bool {
        self.in_flight.is_none() && self.waiting.is_empty()
    }

    /// Returns the sequence of the record in flight.
    pub fn in_flight(&self) -> Option<u64> {
        self.in_flight.as_ref().map(|in_flight| in_flight.append.sequence)
    }
}
