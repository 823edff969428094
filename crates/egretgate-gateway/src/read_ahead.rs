//! Reads an answer on while its caller doesn't take it, as far as there is room.
//!
//! The HTTP library asks for the body's next bytes only once it could write most of the earlier
//! ones. A caller that reads slowly would so keep the slot at the upstream, and the upstream cuts an
//! answer that stays unread.

use std::collections::VecDeque;
use std::pin::Pin;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::task::{Context, Poll};
use std::time::{Duration, Instant};

use bytes::Bytes;
use futures::StreamExt;
use futures::stream::BoxStream;
use hyper::body::Frame;
use tokio::time::{Sleep, sleep_until};

use crate::held::{Holder, RoomWait};
use crate::relay::AnswerCut;

/// Time after a request's deadline for which an answer is kept of which its caller takes nothing.
const UNREAD_LIMIT: Duration = Duration::from_secs(10);

type FrameResult = Result<Frame<Bytes>, AnswerCut>;
/// The frames of an answer as they come from upstreams.
pub(crate) type Frames = BoxStream<'static, FrameResult>;

/// The answer that is being passed on to one caller's connection, if there is one.
#[derive(Clone, Default)]
pub(crate) struct ReadAhead(Arc<Mutex<Option<Ahead>>>);

/// An answer that is being passed on.
struct Ahead {
    id: String,
    holder: Arc<Holder>,
    deadline: Instant,
    /// `None` once all was read.
    source: Option<Frames>,
    /// Frames that the caller has not taken.
    ready: VecDeque<FrameResult>,
    /// True while the caller waits for the upstream.
    waits: bool,
    room: Option<RoomWait>,
    /// Next check of whether the caller takes anything.
    check: Option<Pin<Box<Sleep>>>,
    /// Bytes held at the last check, and whether a frame was taken since.
    held: usize,
    taken: bool,
}

/// What came of reading ahead.
pub(crate) enum Reading {
    /// The answer goes on.
    GoesOn,
    /// Its caller takes nothing of it any more.
    Unread {
        /// Id of the request.
        id: String,
        /// Bytes that were held for it.
        held: usize,
    },
}

impl ReadAhead {
    /// Sets the answer that is passed on next and returns its body.
    pub(crate) fn body(
        &self,
        id: String,
        holder: Arc<Holder>,
        deadline: Instant,
        source: Frames,
    ) -> Frames {
        *self.state() = Some(Ahead::new(id, holder, deadline, Some(source)));
        AheadFrames(self.clone()).boxed()
    }

    /// Sets an answer that was read whole and is passed on next, so that it is given up when its
    /// caller takes nothing of it.
    pub(crate) fn watch(&self, id: String, holder: Arc<Holder>, deadline: Instant) {
        *self.state() = Some(Ahead::new(id, holder, deadline, None));
    }

    fn state(&self) -> MutexGuard<'_, Option<Ahead>> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Reads on if the caller doesn't take what is there. Call it each time after its connection was
    /// polled, by the same task.
    pub(crate) fn poll(&self, cx: &mut Context<'_>) -> Reading {
        let mut state = self.state();
        let Some(ahead) = state.as_mut().filter(|ahead| !ahead.waits) else {
            return Reading::GoesOn;
        };
        if ahead.is_passed_on() {
            *state = None;
            return Reading::GoesOn;
        }
        ahead.read_on(cx)
    }
}

impl Ahead {
    fn new(id: String, holder: Arc<Holder>, deadline: Instant, source: Option<Frames>) -> Self {
        Self {
            id,
            holder,
            deadline,
            source,
            ready: VecDeque::new(),
            waits: false,
            room: None,
            check: None,
            held: 0,
            taken: true,
        }
    }

    /// Returns true once the caller's connection has taken all.
    fn is_passed_on(&self) -> bool {
        self.source.is_none() && self.ready.is_empty() && self.holder.held() == 0
    }

    fn read_on(&mut self, cx: &mut Context<'_>) -> Reading {
        while self.source.is_some() {
            // The source itself ends what has timed out.
            if !self.has_room(cx) && Instant::now() < self.deadline {
                break;
            }
            match self.poll_source(cx) {
                Poll::Ready(Some(frame)) => self.ready.push_back(frame),
                Poll::Ready(None) => {}
                Poll::Pending => break,
            }
        }
        self.poll_check(cx)
    }

    fn poll_source(&mut self, cx: &mut Context<'_>) -> Poll<Option<FrameResult>> {
        let Some(source) = &mut self.source else { return Poll::Ready(None) };
        let frame = std::task::ready!(source.poll_next_unpin(cx));
        if !matches!(frame, Some(Ok(_))) {
            self.source = None;
        }
        let holder = &self.holder;
        Poll::Ready(frame.map(|frame| frame.map(|frame| frame.map_data(|data| holder.hold(data)))))
    }

    /// Returns whether there is room for more; if not, the task is woken once there may be.
    fn has_room(&mut self, cx: &mut Context<'_>) -> bool {
        loop {
            if self.holder.has_room() {
                self.room = None;
                return true;
            }
            let holder = &self.holder;
            let room = self.room.get_or_insert_with(|| holder.freed());
            // Room may have been freed before the wait began.
            if self.holder.has_room() {
                continue;
            }
            if room.as_mut().poll(cx).is_pending() {
                return false;
            }
            self.room = None;
        }
    }

    /// Checks, after the deadline and then at intervals, whether the caller takes anything.
    fn poll_check(&mut self, cx: &mut Context<'_>) -> Reading {
        let deadline = self.deadline;
        let check = self.check.get_or_insert_with(|| Box::pin(sleep_until(deadline.into())));
        while check.as_mut().poll(cx).is_ready() {
            let held = self.holder.held();
            let progress = std::mem::take(&mut self.taken) || held < self.held || held == 0;
            let was_checked = Instant::now() >= deadline + UNREAD_LIMIT;
            self.held = held;
            if !progress && was_checked {
                return Reading::Unread { id: std::mem::take(&mut self.id), held };
            }
            check.as_mut().reset((Instant::now() + UNREAD_LIMIT).into());
        }
        Reading::GoesOn
    }

    /// Returns the next frame for the caller.
    fn poll_next(&mut self, cx: &mut Context<'_>) -> Poll<Option<FrameResult>> {
        let frame = match self.ready.pop_front() {
            Some(frame) => Poll::Ready(Some(frame)),
            None => self.poll_source(cx),
        };
        self.waits = frame.is_pending();
        self.taken |= frame.is_ready();
        frame
    }
}

/// The body that the HTTP library takes.
struct AheadFrames(ReadAhead);

impl futures::Stream for AheadFrames {
    type Item = FrameResult;

    fn poll_next(self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<Option<FrameResult>> {
        let mut state = self.0.state();
        state.as_mut().map_or(Poll::Ready(None), |ahead| ahead.poll_next(cx))
    }
}

impl Drop for AheadFrames {
    fn drop(&mut self) {
        // What the HTTP library has not written yet stays watched.
        let unread = self.0.state().as_mut().map(|ahead| {
            ahead.waits = false;
            (ahead.source.take(), std::mem::take(&mut ahead.ready))
        });
        drop(unread);
    }
}
