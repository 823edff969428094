//! Reassembly of an answer from chunks.
//!
//! Chunks carry their index. Late and duplicate chunks are dropped, chunks out of order are put in
//! order within a bounded window, and an answer is complete only if every chunk that its end counts
//! has arrived.
//!
//! ```
//! use bytes::Bytes;
//! use egretgate_core::reply::{Assembly, AssemblyState};
//!
//! let mut assembly = Assembly::new(8);
//! assert_eq!(assembly.accept_chunk(1, Bytes::from("b")), Ok(vec![]));
//! assert_eq!(assembly.accept_chunk(0, Bytes::from("a")), Ok(vec!["a".into(), "b".into()]));
//! assert_eq!(assembly.accept_end(2, None), Ok(()));
//! assert_eq!(*assembly.state(), AssemblyState::Complete);
//! ```

use std::collections::BTreeMap;

use bytes::Bytes;

use crate::error::{Error, ErrorKind, Result};

/// State of an answer's assembly.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum AssemblyState {
    /// Chunks are missing, or the end has not arrived.
    Open,
    /// Every chunk has been returned in order.
    Complete,
    /// The answer ended in an error.
    Failed(Error),
}

/// Puts the chunks of one answer in order.
#[derive(Debug, Clone)]
pub struct Assembly {
    /// Index of the next chunk to return.
    next: u64,
    /// Chunks that arrived out of order, by index; all in `next + 1..next + window`.
    early: BTreeMap<u64, Bytes>,
    /// Maximum number of chunks in flight from `next` on.
    window: u64,
    /// Number of chunks of the complete answer, once the end has arrived.
    chunk_count: Option<u64>,
    state: AssemblyState,
}

impl Assembly {
    /// Returns the assembly of an answer with at most `window` chunks, at least 1, in flight at a
    /// time.
    pub fn new(window: u32) -> Self {
        Self {
            next: 0,
            early: BTreeMap::new(),
            window: u64::from(window.max(1)),
            chunk_count: None,
            state: AssemblyState::Open,
        }
    }

    /// Accepts a chunk and returns those that are now in order.
    ///
    /// The answer fails on a chunk outside the window, which exceeds the sender's credit, or beyond
    /// the end.
    pub fn accept_chunk(&mut self, index: u64, data: Bytes) -> Result<Vec<Bytes>> {
        if self.state != AssemblyState::Open || index < self.next {
            return Ok(Vec::new());
        }
        if index - self.next >= self.window {
            return Err(self.fail("a chunk is outside the receive window"));
        }
        if self.chunk_count.is_some_and(|count| index >= count) {
            return Err(self.fail("a chunk is beyond the end of the answer"));
        }
        self.early.entry(index).or_insert(data);
        Ok(self.take_ready())
    }

    /// Accepts the end of the answer: the number of its chunks, or the error with which it ended.
    ///
    /// The end may arrive before the last chunks.
    pub fn accept_end(&mut self, chunks: u64, error: Option<Error>) -> Result<()> {
        if self.state != AssemblyState::Open || self.chunk_count == Some(chunks) && error.is_none()
        {
            return Ok(());
        }
        if let Some(error) = error {
            self.close(error.clone());
            return Err(error);
        }
        let min_count = self.early.last_key_value().map_or(self.next, |(&index, _)| index + 1);
        if chunks < min_count || self.chunk_count.is_some() {
            return Err(self.fail("the end states a chunk count that contradicts earlier frames"));
        }
        self.chunk_count = Some(chunks);
        self.check_complete();
        Ok(())
    }

    /// Records that the link is disconnected, so no more frames can arrive. An answer that is not
    /// complete fails.
    pub fn disconnect(&mut self) -> Result<()> {
        if self.state == AssemblyState::Open {
            return Err(self.fail("the link was disconnected before the answer was complete"));
        }
        Ok(())
    }

    /// Returns the state.
    pub const fn state(&self) -> &AssemblyState {
        &self.state
    }

    /// Returns the index of the next chunk to return, from which a stream can be resumed.
    pub const fn next_index(&self) -> u64 {
        self.next
    }

    /// Returns the number of chunks that wait for an earlier one.
    pub fn waiting(&self) -> usize {
        self.early.len()
    }

    fn take_ready(&mut self) -> Vec<Bytes> {
        let mut ready = Vec::new();
        while let Some(data) = self.early.remove(&self.next) {
            ready.push(data);
            self.next += 1;
        }
        self.check_complete();
        ready
    }

    fn check_complete(&mut self) {
        if self.chunk_count == Some(self.next) {
            self.state = AssemblyState::Complete;
        }
    }

    fn fail(&mut self, detail: &str) -> Error {
        let error = Error::new(ErrorKind::AnswerCut, detail);
        self.close(error.clone());
        error
    }

    fn close(&mut self, error: Error) {
        self.early.clear();
        self.state = AssemblyState::Failed(error);
    }
}

/// Flow control of an answer at its receiver, which returns credit to the sender.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ReceiveWindow {
    window: u32,
    /// Consumed chunks whose credit has not been returned; less than half of the window.
    unreturned: u32,
}

impl ReceiveWindow {
    /// Returns the window of a receiver that buffers at most `window` chunks, at least 1. The
    /// sender starts with credit for the whole window.
    pub fn new(window: u32) -> Self {
        Self { window: window.max(1), unreturned: 0 }
    }

    /// Returns the credit that the sender starts with, in chunks.
    pub const fn window(&self) -> u32 {
        self.window
    }

    /// Records chunks that the caller has taken, and returns the credit to send once it is half of
    /// the window, so that not every chunk causes a message.
    pub fn consume(&mut self, chunks: u32) -> Option<u32> {
        self.unreturned = self.unreturned.saturating_add(chunks);
        if self.unreturned < self.window.div_ceil(2) {
            return None;
        }
        Some(std::mem::take(&mut self.unreturned))
    }
}

/// Flow control of an answer at its sender, which spends credit.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Credit {
    chunks: u32,
}

impl Credit {
    /// Returns credit for `chunks` chunks.
    pub const fn new(chunks: u32) -> Self {
        Self { chunks }
    }

    /// Adds credit from the receiver.
    pub fn add(&mut self, chunks: u32) {
        self.chunks = self.chunks.saturating_add(chunks);
    }

    /// Takes the credit for one chunk; false if there is none and the chunk must wait.
    #[must_use]
    pub fn take(&mut self) -> bool {
        let Some(left) = self.chunks.checked_sub(1) else { return false };
        self.chunks = left;
        true
    }

    /// Returns the number of chunks that may be sent.
    pub const fn left(&self) -> u32 {
        self.chunks
    }
}
