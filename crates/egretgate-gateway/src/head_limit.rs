//! A socket that ends when an upstream sends too many bytes before the head of its answer.
//!
//! The HTTP library limits the length of a head, but skips interim answers, however many there are.

use std::io;
use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::task::{Context, Poll};

use egretgate_http::EndChecked;
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};

/// Most bytes before the end of a head, interim answers included.
const MAX_BYTES: usize = 512 << 10;

/// Bytes that may still arrive before the head; shared by a socket and its user.
#[derive(Debug, Clone, Default)]
pub(crate) struct HeadBudget(Arc<AtomicUsize>);

impl HeadBudget {
    /// Starts to count: the head of an answer is expected.
    pub(crate) fn begin(&self) {
        self.0.store(MAX_BYTES, Ordering::Relaxed);
    }

    /// Ends the count: the head has arrived.
    pub(crate) fn end(&self) {
        self.0.store(usize::MAX, Ordering::Relaxed);
    }
}

/// A connection to an upstream whose reads are counted.
#[derive(Debug)]
pub(crate) struct HeadLimited {
    stream: EndChecked,
    budget: HeadBudget,
}

impl HeadLimited {
    /// Returns the socket; its budget begins to count at once.
    pub(crate) fn new(stream: EndChecked, budget: HeadBudget) -> Self {
        budget.begin();
        Self { stream, budget }
    }
}

impl AsyncRead for HeadLimited {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let left = self.budget.0.load(Ordering::Relaxed);
        if left == 0 {
            return Poll::Ready(Err(io::Error::other("bytes without end before a head")));
        }
        let before = buffer.filled().len();
        let result = Pin::new(&mut self.stream).poll_read(cx, buffer);
        let read = buffer.filled().len() - before;
        // The user ends the count at any time; then this changes nothing.
        let _ = self.budget.0.compare_exchange(
            left,
            if left == usize::MAX { left } else { left.saturating_sub(read) },
            Ordering::Relaxed,
            Ordering::Relaxed,
        );
        result
    }
}

impl AsyncWrite for HeadLimited {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write(cx, bytes)
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(cx)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        slices: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write_vectored(cx, slices)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }
}
