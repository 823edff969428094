//! The task that answers operators' calls.

use std::time::{Duration, Instant};

use egretgate_core::record::Body;
use egretgate_core::{Error, ErrorKind, Incarnation, InstanceId, Offset, Result, ZoneId};
use egretgate_operator::Call;
use tokio::sync::{mpsc, oneshot};

use crate::entry::fleet::{FleetMessage, SideStatus};
use crate::entry::journal::{Inspection, Journal, JournalMessage};
use crate::entry::request::Handles;

mod apply;
mod queries;
mod zones;

/// Capacity of the channel from the server.
pub(crate) const OPERATOR_CHANNEL_CAPACITY: usize = 64;
/// Longest wait until an accepted change is in force at every process.
const IN_FORCE_TIMEOUT: Duration = Duration::from_secs(2);

/// Answers operators' calls, each in its own task.
#[derive(Debug, Clone)]
pub(crate) struct Operator {
    instance: InstanceId,
    zone: ZoneId,
    incarnation: Incarnation,
    handles: Handles,
    started: Instant,
}

impl Operator {
    /// Returns the task that answers operators' calls to this entry.
    pub(crate) fn new(
        instance: InstanceId,
        zone: ZoneId,
        incarnation: Incarnation,
        handles: Handles,
    ) -> Self {
        Self { instance, zone, incarnation, handles, started: Instant::now() }
    }

    /// Answers calls until the server has ended.
    pub(crate) async fn run(self, mut calls: mpsc::Receiver<Call>) {
        while let Some(call) = calls.recv().await {
            tokio::spawn(self.clone().answer(call));
        }
    }

    async fn answer(self, call: Call) {
        match call {
            Call::Apply(request, reply) => drop(reply.send(self.apply(request).await)),
            Call::Get(request, reply) => drop(reply.send(self.get(request).await)),
            Call::Records(page, reply) => drop(reply.send(self.records(page).await)),
            Call::Move(request, reply) => drop(reply.send(self.moves(request).await)),
            Call::Quarantine(request, reply) => drop(reply.send(self.quarantine(request).await)),
            Call::Zone(request, reply) => drop(reply.send(self.zone(request).await)),
            Call::Burn(_, reply) => drop(reply.send(self.burn().await)),
            Call::Status(_, reply) => drop(reply.send(self.status().await)),
        }
    }

    /// Runs `query` in the journal's task and returns its result.
    async fn inspect<T: Send + 'static>(
        &self,
        query: impl FnOnce(&Journal) -> T + Send + 'static,
    ) -> Result<T> {
        let (reply, answer) = oneshot::channel();
        let query = move |journal: &Journal| drop(reply.send(query(journal)));
        let inspection = Inspection(Box::new(query));
        let _ = self.handles.journal.send(JournalMessage::Inspect(inspection)).await;
        answer.await.map_err(|_| stopping_error())
    }

    /// Appends a record and waits until it was read back and applied or refused.
    async fn append(&self, body: Body) -> Result<Offset> {
        let (reply, answer) = oneshot::channel();
        let _ = self.handles.journal.send(JournalMessage::Append { body, reply }).await;
        answer.await.map_err(|_| stopping_error())?
    }

    async fn sides(&self) -> Result<Vec<SideStatus>> {
        let (reply, answer) = oneshot::channel();
        let _ = self.handles.fleet.send(FleetMessage::Status(reply)).await;
        answer.await.map_err(|_| stopping_error())
    }
}

fn stopping_error() -> Error {
    Error::new(ErrorKind::Stopping, "the entry is shutting down")
}
