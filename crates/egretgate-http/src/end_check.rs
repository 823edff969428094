//! A socket that knows whether an answer came early, and tells the end of an upstream's answer from
//! a connection that was given up.
//!
//! A closed socket first sends its end and resets the connection only when more bytes arrive. An
//! answer that ends with its connection then seems whole, though its request was never read.

use std::io;
use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::task::{Context, Poll, ready};
use std::time::Duration;

use hyper_util::client::legacy::connect::{Connected, Connection};
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;
use tokio::sync::Notify;
use tokio::time::{Instant, Sleep, sleep};

/// Longest request, in bytes, that arrives whole without waiting for the peer: ten segments.
const INITIAL_WINDOW: usize = 14 << 10;
/// Time without a write after which no reset is expected.
const RESET_WAIT: Duration = Duration::from_millis(50);

/// How far a connection has come; shared by a socket and its user.
#[derive(Debug, Clone, Default)]
pub struct EndState(Arc<State>);

#[derive(Debug, Default)]
struct State {
    /// Bytes written of the last request.
    written: AtomicUsize,
    /// True while bytes wait to be written.
    writing: AtomicBool,
    /// Notified when none wait any more.
    flushed: Notify,
    /// True once a part of an answer has arrived before its request was written.
    early: AtomicBool,
    /// True once the upstream has ended the connection.
    ended: AtomicBool,
}

impl EndState {
    /// Records that the last answer is complete.
    pub fn answered(&self) {
        self.0.written.store(0, Ordering::SeqCst);
    }

    /// Returns true once a part of an answer has arrived before its request was written.
    pub fn is_early(&self) -> bool {
        self.0.early.load(Ordering::SeqCst)
    }

    /// Returns once no bytes wait to be written, or the socket was closed.
    pub async fn flushed(&self) {
        while self.0.writing.load(Ordering::SeqCst) {
            self.0.flushed.notified().await;
        }
    }

    fn set_flushed(&self) {
        if self.0.writing.swap(false, Ordering::SeqCst) {
            self.0.flushed.notify_one();
        }
    }

    /// Returns true once the upstream has ended the connection.
    pub fn has_ended(&self) -> bool {
        self.0.ended.load(Ordering::SeqCst)
    }
}

/// A connection to an upstream whose end is held back until the request was written and no reset
/// has followed.
#[derive(Debug)]
pub struct EndChecked {
    stream: TcpStream,
    state: EndState,
    /// True once a part of an answer to what was written has arrived.
    received: bool,
    /// True if bytes were written since the last check.
    wrote: bool,
    check: Option<Pin<Box<Sleep>>>,
}

impl EndChecked {
    /// Returns the socket.
    pub const fn new(stream: TcpStream, state: EndState) -> Self {
        Self { stream, state, received: false, wrote: false, check: None }
    }

    /// Returns once the end may be passed on; an error if the connection was reset.
    fn poll_end(&mut self, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        self.state.0.ended.store(true, Ordering::SeqCst);
        if !self.received || self.state.0.written.load(Ordering::SeqCst) <= INITIAL_WINDOW {
            return Poll::Ready(Ok(()));
        }
        let check = self.check.get_or_insert_with(|| {
            self.wrote = false;
            Box::pin(sleep(RESET_WAIT))
        });
        loop {
            ready!(check.as_mut().poll(cx));
            if !std::mem::take(&mut self.wrote) && !self.state.0.writing.load(Ordering::SeqCst) {
                return Poll::Ready(self.stream.take_error()?.map_or(Ok(()), Err));
            }
            check.as_mut().reset(Instant::now() + RESET_WAIT);
        }
    }

    fn record(&mut self, result: &Poll<io::Result<usize>>) {
        let is_first = !self.state.0.writing.swap(true, Ordering::SeqCst);
        if is_first && std::mem::take(&mut self.received) {
            self.state.0.written.store(0, Ordering::SeqCst);
        }
        if let Poll::Ready(Ok(written)) = result {
            self.wrote = true;
            self.state.0.written.fetch_add(*written, Ordering::SeqCst);
        }
    }
}

impl Connection for EndChecked {
    fn connected(&self) -> Connected {
        Connected::new()
    }
}

impl Drop for EndChecked {
    fn drop(&mut self) {
        self.state.set_flushed();
    }
}

impl AsyncRead for EndChecked {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let before = buffer.filled().len();
        ready!(Pin::new(&mut self.stream).poll_read(cx, buffer))?;
        if buffer.filled().len() == before && buffer.remaining() > 0 {
            return self.poll_end(cx);
        }
        self.received = true;
        if self.state.0.writing.load(Ordering::SeqCst) {
            self.state.0.early.store(true, Ordering::SeqCst);
        }
        Poll::Ready(Ok(()))
    }
}

impl AsyncWrite for EndChecked {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        let result = Pin::new(&mut self.stream).poll_write(cx, bytes);
        self.record(&result);
        result
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        self.state.set_flushed();
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
        let result = Pin::new(&mut self.stream).poll_write_vectored(cx, slices);
        self.record(&result);
        result
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }
}
