//! Finds the events of a stream and the number of the last one.

use bytes::{Bytes, BytesMut};

/// Splits a stream of bytes after its last complete event.
///
/// ```
/// use egretgate_gateway::EventSplitter;
///
/// let mut splitter = EventSplitter::default();
/// assert_eq!(splitter.push(b"id: 4\ndata: a\n\nid: 5\nda"), "id: 4\ndata: a\n\n");
/// assert_eq!(splitter.last(), Some(4));
/// assert_eq!(splitter.rest(), "id: 5\nda");
/// ```
#[derive(Debug, Default)]
pub struct EventSplitter {
    /// Bytes after the last complete event.
    buffer: BytesMut,
    /// Number of the last complete event.
    last: Option<u64>,
    /// Complete events so far.
    count: u64,
}

impl EventSplitter {
    /// Returns a splitter of a stream that resumes after the event `last`.
    pub fn after(last: Option<u64>) -> Self {
        Self { last, ..Self::default() }
    }

    /// Adds bytes and returns the events that are complete with them.
    pub fn push(&mut self, bytes: &[u8]) -> Bytes {
        self.buffer.extend_from_slice(bytes);
        let mut end = 0;
        let mut line_start = 0;
        let mut number = None;
        while let Some(length) = self.buffer[line_start..].iter().position(|byte| *byte == b'\n') {
            let line = self.buffer[line_start..line_start + length].trim_ascii_end();
            let blank = line.is_empty();
            number = event_number(line).or(number);
            line_start += length + 1;
            if blank {
                end = line_start;
                self.count += 1;
                self.last = number.take().or(self.last);
            }
        }
        self.buffer.split_to(end).freeze()
    }

    /// Returns the number of the last complete event.
    pub const fn last(&self) -> Option<u64> {
        self.last
    }

    /// Returns the number of complete events so far.
    pub const fn count(&self) -> u64 {
        self.count
    }

    /// Returns the number of bytes after the last complete event.
    pub fn partial_bytes(&self) -> usize {
        self.buffer.len()
    }

    /// Removes and returns the bytes after the last complete event.
    pub fn rest(&mut self) -> Bytes {
        self.buffer.split().freeze()
    }
}

fn event_number(line: &[u8]) -> Option<u64> {
    let value = line.strip_prefix(b"id:")?;
    std::str::from_utf8(value).ok()?.trim().parse().ok()
}
