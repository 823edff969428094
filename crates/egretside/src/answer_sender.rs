//! Sends one answer to its entry, and keeps each chunk until the caller has taken it.

use std::collections::VecDeque;
use std::time::Duration;

use bytes::Bytes;
use egretgate_core::Ticket;
use egretgate_link::message::{Chunk, ToEntry, to_entry};
use tokio::sync::mpsc;
use tokio::time::{Instant, timeout};

/// Time for which an answer is kept for a disconnected entry.
pub(crate) const RECONNECT_GRACE: Duration = Duration::from_secs(3);
/// Timeout for passing one frame to the connection.
const SEND_TIMEOUT: Duration = Duration::from_secs(1);
/// Maximum size of one chunk, in bytes.
const CHUNK_BYTES: usize = 64 << 10;

/// Sends the chunks of one answer within the entry's credit.
#[derive(Debug)]
pub(crate) struct AnswerSender {
    ticket: Ticket,
    frames: mpsc::Sender<ToEntry>,
    /// Chunks that the caller has not taken yet; the front has index `acked`.
    unacked: VecDeque<Bytes>,
    /// Number of chunks that the caller has taken. Never above `next`.
    acked: u64,
    /// Index of the next chunk to send.
    next: u64,
    /// Maximum number of chunks in flight; at least 1.
    window: u64,
    /// When the entry's connection was lost; `None` while it is connected.
    disconnected: Option<Instant>,
    status: u16,
    content_type: String,
}

impl AnswerSender {
    /// Returns a sender that keeps at most `window` chunks in flight.
    pub(crate) fn new(ticket: Ticket, frames: mpsc::Sender<ToEntry>, window: u32) -> Self {
        Self {
            ticket,
            frames,
            unacked: VecDeque::new(),
            acked: 0,
            next: 0,
            window: window.max(1).into(),
            disconnected: None,
            status: 0,
            content_type: String::new(),
        }
    }

    /// Sets the status and content type that go out with the first chunk.
    pub(crate) fn set_head(&mut self, status: u16, content_type: String) {
        self.status = status;
        self.content_type = content_type;
    }

    pub(crate) const fn ticket(&self) -> Ticket {
        self.ticket
    }

    pub(crate) const fn status(&self) -> u16 {
        self.status
    }

    /// Returns the number of chunks sent so far.
    pub(crate) const fn chunks(&self) -> u64 {
        self.next
    }

    /// Returns whether another chunk may be sent.
    pub(crate) const fn has_credit(&self) -> bool {
        self.next - self.acked < self.window
    }

    /// Returns when to abandon the answer; `None` while the entry is connected.
    pub(crate) fn expiry(&self) -> Option<Instant> {
        self.disconnected.map(|since| since + RECONNECT_GRACE)
    }

    /// Drops the first `taken` chunks of the answer, which the caller has taken.
    pub(crate) fn acknowledge(&mut self, taken: u64) {
        while self.acked < taken && self.unacked.pop_front().is_some() {
            self.acked += 1;
        }
    }

    /// Sends the chunks from `from` on again, over another connection. Returns false if one of them
    /// was dropped already.
    pub(crate) async fn resume(
        &mut self,
        frames: mpsc::Sender<ToEntry>,
        from: u64,
        taken: u64,
    ) -> bool {
        if from < self.acked || from > self.next {
            return false;
        }
        self.frames = frames;
        self.disconnected = None;
        // The entry has received the chunks before `from`: they are not sent again, and not dropped
        // before the caller takes them.
        let received = (from - self.acked) as usize;
        let chunks: Vec<Bytes> = self.unacked.iter().skip(received).cloned().collect();
        self.acknowledge(taken);
        for (index, data) in (from..).zip(chunks) {
            self.send_chunk(index, data).await;
        }
        true
    }

    /// Sends `data` in chunks of at most [`CHUNK_BYTES`].
    pub(crate) async fn send_data(&mut self, mut data: Bytes) {
        while !data.is_empty() {
            let chunk = data.split_to(data.len().min(CHUNK_BYTES));
            let index = self.next;
            self.next += 1;
            self.unacked.push_back(chunk.clone());
            self.send_chunk(index, chunk).await;
        }
    }

    /// Sends one frame. A failure marks the entry as disconnected.
    pub(crate) async fn send(&mut self, body: to_entry::Body) {
        if self.disconnected.is_some() {
            return;
        }
        if !matches!(timeout(SEND_TIMEOUT, self.frames.send(body.into())).await, Ok(Ok(()))) {
            self.disconnected = Some(Instant::now());
        }
    }

    async fn send_chunk(&mut self, index: u64, data: Bytes) {
        let first = index == 0;
        let chunk = Chunk {
            ticket: Some(self.ticket.into()),
            index,
            data,
            status: if first { self.status.into() } else { 0 },
            content_type: if first { self.content_type.clone() } else { String::new() },
        };
        self.send(to_entry::Body::Chunk(chunk)).await;
    }
}
