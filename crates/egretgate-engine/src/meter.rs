//! Counts the tokens of a streamed answer and measures their inter-token latency.

use std::time::Duration;

use tokio::time::Instant;

/// Payload of the event that ends a stream.
const END_PAYLOAD: &[u8] = b"[DONE]";
/// Field name before an event's payload.
const DATA_FIELD: &[u8] = b"data:";
/// Bytes that are kept of each line: enough to distinguish the end mark from a token.
const LINE_PREFIX_BYTES: usize = 16;

/// Tokens of one chunk of an answer.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct MeteredChunk {
    /// Tokens that the chunk completed.
    pub tokens: u32,
    /// Time since the previous token, divided by the number of tokens in the chunk; `None` if the
    /// chunk contains the answer's first token or completed none.
    pub gap: Option<Duration>,
}

/// Counts the tokens in a stream of server-sent events that is split into chunks anywhere.
///
/// Each event with data is one token, except the event that ends the stream. Memory use is
/// constant.
#[derive(Debug, Clone, Default)]
pub struct TokenMeter {
    /// Start of the current line, at most [`LINE_PREFIX_BYTES`].
    line: Vec<u8>,
    /// True if bytes have arrived since the last event ended.
    inside_event: bool,
    /// True if the current event has a data line.
    has_data: bool,
    /// True if the last data line of the current event is the end mark.
    has_end: bool,
    /// True once the end mark has been seen.
    done: bool,
    tokens: u32,
    first_token: Option<Instant>,
    last_token: Option<Instant>,
    longest_gap: Duration,
}

impl TokenMeter {
    /// Returns a meter that has counted nothing.
    pub fn new() -> Self {
        Self::default()
    }

    /// Processes the next chunk of the answer, which arrived at `now`.
    pub fn feed(&mut self, chunk: &[u8], now: Instant) -> MeteredChunk {
        let mut tokens = 0;
        for segment in chunk.split_inclusive(|&byte| byte == b'\n') {
            let (text, ended) =
                segment.strip_suffix(b"\n").map_or((segment, false), |text| (text, true));
            let remaining = LINE_PREFIX_BYTES - self.line.len();
            self.line.extend_from_slice(&text[..text.len().min(remaining)]);
            self.inside_event |= !text.is_empty();
            if ended {
                tokens += u32::from(self.end_line());
            }
        }
        self.record_tokens(tokens, now)
    }

    /// Returns the number of tokens.
    pub const fn tokens(&self) -> u32 {
        self.tokens
    }

    /// Returns when the first token was complete.
    pub const fn first_token(&self) -> Option<Instant> {
        self.first_token
    }

    /// Returns when the latest token was complete.
    pub const fn last_token(&self) -> Option<Instant> {
        self.last_token
    }

    /// Returns the longest inter-token latency.
    pub const fn longest_gap(&self) -> Duration {
        self.longest_gap
    }

    /// Returns the mean inter-token latency; `None` before the second token.
    pub fn mean_gap(&self) -> Option<Duration> {
        let gaps = self.tokens.checked_sub(1).filter(|&gaps| gaps > 0)?;
        Some((self.last_token? - self.first_token?) / gaps)
    }

    /// Returns true once the stream has ended with its end mark.
    pub const fn is_done(&self) -> bool {
        self.done
    }

    /// Returns true if an event has begun and not ended.
    pub const fn is_inside_event(&self) -> bool {
        self.inside_event
    }

    /// Processes the end of the current line. Returns true if the line ended an event that is a
    /// token.
    fn end_line(&mut self) -> bool {
        if self.line.last() == Some(&b'\r') {
            self.line.pop();
        }
        let is_token = if self.line.is_empty() { self.end_event() } else { self.read_line() };
        self.line.clear();
        is_token
    }

    fn read_line(&mut self) -> bool {
        if let Some(payload) = self.line.strip_prefix(DATA_FIELD) {
            self.has_data = true;
            self.has_end =
                self.line.len() < LINE_PREFIX_BYTES && payload.trim_ascii() == END_PAYLOAD;
        }
        false
    }

    fn end_event(&mut self) -> bool {
        let is_token = self.has_data && !self.has_end;
        self.done |= self.has_data && self.has_end;
        self.inside_event = false;
        self.has_data = false;
        self.has_end = false;
        is_token
    }

    fn record_tokens(&mut self, tokens: u32, now: Instant) -> MeteredChunk {
        if tokens == 0 {
            return MeteredChunk::default();
        }
        let gap = self.last_token.map(|last| now.duration_since(last) / tokens);
        self.longest_gap = self.longest_gap.max(gap.unwrap_or_default());
        self.tokens += tokens;
        self.first_token = self.first_token.or(Some(now));
        self.last_token = Some(now);
        MeteredChunk { tokens, gap }
    }
}
