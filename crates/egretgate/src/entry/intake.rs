//! The task that assigns each request its ticket and spawns its task.

use egretgate_caller::{Call, EntryRequest};
use egretgate_core::{Error, ErrorKind, Incarnation, Ticket};
use tokio::sync::{mpsc, oneshot};
use tokio::task::JoinSet;

use crate::entry::request::{Handles, RequestTask};

/// Capacity of the channel from the HTTP server.
pub(crate) const INTAKE_CHANNEL_CAPACITY: usize = 1024;

/// Messages to the intake task.
#[derive(Debug)]
pub(crate) enum IntakeMessage {
    /// Refuse new requests, and reply once every running request has ended.
    Stop(oneshot::Sender<()>),
}

/// State of the intake task.
#[derive(Debug)]
pub(crate) struct Intake {
    incarnation: Incarnation,
    sequence: u64,
    handles: Handles,
    requests: JoinSet<()>,
    stop_reply: Option<oneshot::Sender<()>>,
}

impl Intake {
    /// Returns an intake that has accepted no request yet.
    pub(crate) fn new(incarnation: Incarnation, handles: Handles) -> Self {
        Self { incarnation, sequence: 0, handles, requests: JoinSet::new(), stop_reply: None }
    }

    /// Handles requests until stopped.
    pub(crate) async fn run(
        mut self,
        mut entry_requests: mpsc::Receiver<EntryRequest>,
        mut messages: mpsc::Receiver<IntakeMessage>,
    ) {
        loop {
            tokio::select! {
                request = entry_requests.recv() => match request {
                    Some(EntryRequest::Call(call)) => self.accept(*call),
                    Some(EntryRequest::Models(reply)) => {
                        let _ = reply.send(self.handles.view.borrow().directory.models());
                    }
                    None => return,
                },
                Some(IntakeMessage::Stop(reply)) = messages.recv() => self.stop_reply = Some(reply),
                Some(_) = self.requests.join_next() => {}
            }
            if self.requests.is_empty()
                && let Some(reply) = self.stop_reply.take()
            {
                let _ = reply.send(());
                return;
            }
        }
    }

    fn accept(&mut self, call: Call) {
        if self.stop_reply.is_some() {
            let error = Error::new(ErrorKind::Stopping, "the entry is shutting down");
            let _ = call.reply.try_send(egretgate_caller::Reply::Failed(error));
            return;
        }
        self.sequence += 1;
        let ticket = Ticket::new(self.incarnation, self.sequence);
        metrics::gauge!("egretgate_flights").set(self.requests.len() as f64);
        self.requests.spawn(RequestTask::new(ticket, call, self.handles.clone()).run());
    }
}
