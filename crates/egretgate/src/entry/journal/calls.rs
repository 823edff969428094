//! Keyed calls, and the decisions about them for the tasks of requests.

use bytes::Bytes;
use egretgate_core::intent::{Effect, KeyedCall, Reply};
use egretgate_core::record::body::RecordedAnswer;
use egretgate_core::{Error, ErrorKind, Execution};
use tokio::sync::oneshot;

use crate::entry::journal::{AppendQueue, Journal};

/// Decision about a keyed call.
#[derive(Debug)]
pub(crate) enum CallDecision {
    /// Its intent was read back as the first for the key: it may be dispatched.
    Dispatch,
    /// Another call with the same key has run; this is its recorded answer.
    Recorded(RecordedResult),
    /// It must not be run.
    Refused(Error),
}

/// A whole answer, as recorded in the log.
#[derive(Debug, Clone, Default)]
pub(crate) struct RecordedResult {
    /// HTTP status.
    pub status: u16,
    /// Content type.
    pub content_type: String,
    /// Body; `None` if it was too long to be recorded.
    pub body: Option<Bytes>,
}

impl Journal {
    pub(super) fn begin(&mut self, call: KeyedCall, reply: oneshot::Sender<CallDecision>) {
        self.waiting_calls.insert(call.ticket, reply);
        self.calls.begin(call, self.state.keys(), std::time::Instant::now());
    }

    /// Carries out the effects that the keyed calls requested.
    pub(super) fn run_effects(&mut self) {
        for effect in self.calls.take_effects() {
            match effect {
                Effect::Append(append) => self.send(AppendQueue::Calls, append),
                Effect::Dispatch(ticket) => match self.waiting_calls.remove(&ticket) {
                    Some(reply) if !reply.is_closed() => drop(reply.send(CallDecision::Dispatch)),
                    _ => self.calls.mark_not_run(ticket, ErrorKind::CallerGone),
                },
                Effect::Join(_) => {}
                Effect::Answer(ticket, answer) => {
                    if let Some(reply) = self.waiting_calls.remove(&ticket) {
                        let _ = reply.send(answer.into());
                    }
                }
            }
        }
    }
}

impl From<Reply> for CallDecision {
    fn from(reply: Reply) -> Self {
        match reply {
            Reply::Recorded(done) => Self::Recorded(RecordedResult {
                status: done.status as u16,
                content_type: done.content_type,
                body: done.body,
            }),
            Reply::KeyReused => {
                let detail = "the idempotency key was used with another body";
                Self::Refused(Error::new(ErrorKind::KeyReused, detail))
            }
            Reply::Unknown => {
                let detail = "a call with this key was dispatched; it is not repeated";
                Self::Refused(Error::new(ErrorKind::OutcomeUnknown, detail))
            }
            Reply::NotRun(kind) => Self::Refused(
                Error::new(kind, "the call was not run").with_execution(Execution::NotRun),
            ),
        }
    }
}

impl From<RecordedResult> for RecordedAnswer {
    fn from(recorded: RecordedResult) -> Self {
        let RecordedResult { status, content_type, body } = recorded;
        let has_body = body.is_some();
        let done = Self::new(status.into(), content_type, body.unwrap_or_default());
        Self { body: done.body.filter(|_| has_body), ..done }
    }
}
