//! Calls that may not be repeated, as requests' tasks see them.

use bytes::Bytes;
use egretgate_core::intent::{Effect, KeyedCall, Reply};
use egretgate_core::record::body::RecordedAnswer;
use egretgate_core::{Error, ErrorKind, Execution};
use tokio::sync::oneshot;

use crate::entry::journal::{Journal, Kind};

/// What the journal says to a call.
#[derive(Debug)]
pub(crate) enum Grant {
    /// Its intent was read back as the first for the key: it may be dispatched.
    Dispatch,
    /// It ran before, or beside; this is its answer.
    Recorded(Recorded),
    /// It is not run here.
    Refused(Error),
}

/// A whole answer, as far as the log keeps it.
#[derive(Debug, Clone, Default)]
pub(crate) struct Recorded {
    /// HTTP status.
    pub status: u16,
    /// Content type.
    pub content_type: String,
    /// Body; `None` if it was too long to be kept.
    pub body: Option<Bytes>,
}

impl Journal {
    pub(super) fn begin(&mut self, call: KeyedCall, reply: oneshot::Sender<Grant>) {
        self.grants.insert(call.ticket, reply);
        self.calls.begin(call, self.state.keys(), std::time::Instant::now());
    }

    /// Carries out what the calls ask for.
    pub(super) fn carry_out(&mut self) {
        for effect in self.calls.effects() {
            match effect {
                Effect::Append(append) => self.send(Kind::Calls, append),
                Effect::Dispatch(ticket) => match self.grants.remove(&ticket) {
                    Some(grant) if !grant.is_closed() => drop(grant.send(Grant::Dispatch)),
                    _ => self.calls.mark_not_run(ticket, ErrorKind::CallerGone),
                },
                Effect::Join(_) => {}
                Effect::Answer(ticket, reply) => {
                    if let Some(grant) = self.grants.remove(&ticket) {
                        let _ = grant.send(reply.into());
                    }
                }
            }
        }
    }
}

impl From<Reply> for Grant {
    fn from(reply: Reply) -> Self {
        match reply {
            Reply::Recorded(done) => Self::Recorded(Recorded {
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

impl From<Recorded> for RecordedAnswer {
    fn from(recorded: Recorded) -> Self {
        let Recorded { status, content_type, body } = recorded;
        let kept = body.is_some();
        let done = Self::new(status.into(), content_type, body.unwrap_or_default());
        Self { body: done.body.filter(|_| kept), ..done }
    }
}
