//! The connected entries, and the queued requests of each.

use std::collections::{HashMap, HashSet};
use std::time::Instant;

use egretgate_core::{Incarnation, Ticket};
use egretgate_link::message::{ToEntry, to_entry};
use tokio::sync::mpsc;
use tokio_util::sync::CancellationToken;

use crate::answer_sender::RECONNECT_GRACE;

/// Identifier of a connection, unique within this process.
pub(crate) type ConnectionId = u64;

/// Handle to the task of one connection.
#[derive(Debug, Clone)]
pub(crate) struct ConnectionHandle {
    /// Frames to be written to the entry.
    pub frames: mpsc::Sender<ToEntry>,
    /// Closes the connection.
    pub close: CancellationToken,
}

#[derive(Debug)]
struct EntryState {
    id: ConnectionId,
    connection: ConnectionHandle,
    /// When the connection was lost; `None` while it is open.
    disconnected: Option<Instant>,
    /// Queued tickets of this entry.
    queued: HashSet<Ticket>,
}

/// Every entry that is connected, or was connected less than [`RECONNECT_GRACE`] ago.
#[derive(Debug, Default)]
pub(crate) struct Entries {
    by_incarnation: HashMap<Incarnation, EntryState>,
    last_id: ConnectionId,
}

impl Entries {
    /// Registers a connection and returns its identifier. An earlier connection of the same entry
    /// is closed.
    pub(crate) fn attach(
        &mut self,
        entry: Incarnation,
        connection: ConnectionHandle,
    ) -> ConnectionId {
        self.last_id += 1;
        let id = self.last_id;
        let queued = match self.by_incarnation.remove(&entry) {
            Some(earlier) => {
                earlier.connection.close.cancel();
                earlier.queued
            }
            None => HashSet::new(),
        };
        self.by_incarnation
            .insert(entry, EntryState { id, connection, disconnected: None, queued });
        id
    }

    /// Marks an entry as disconnected, unless it has a newer connection.
    pub(crate) fn detach(&mut self, entry: Incarnation, id: ConnectionId, now: Instant) {
        if let Some(state) = self.by_incarnation.get_mut(&entry)
            && state.id == id
        {
            state.disconnected = Some(now);
        }
    }

    /// Returns the frame channel of a connected entry.
    pub(crate) fn frames(&self, entry: Incarnation) -> Option<&mpsc::Sender<ToEntry>> {
        self.by_incarnation
            .get(&entry)
            .filter(|state| state.disconnected.is_none())
            .map(|state| &state.connection.frames)
    }

    /// Sends a frame. If the entry's channel is full, its connection is closed; the entry then
    /// queries the status of its requests after reconnecting.
    pub(crate) fn send(&self, entry: Incarnation, body: to_entry::Body) {
        let Some(state) = self.by_incarnation.get(&entry) else { return };
        if state.disconnected.is_none() && state.connection.frames.try_send(body.into()).is_err() {
            state.connection.close.cancel();
        }
    }

    /// Sends a frame to every connected entry.
    pub(crate) fn broadcast(&self, body: &to_entry::Body) {
        for entry in self.by_incarnation.keys() {
            self.send(*entry, body.clone());
        }
    }

    /// Returns the connected entries.
    pub(crate) fn connected(&self) -> impl Iterator<Item = Incarnation> + '_ {
        self.by_incarnation
            .iter()
            .filter(|(_, state)| state.disconnected.is_none())
            .map(|(entry, _)| *entry)
    }

    /// Returns the number of connected entries.
    pub(crate) fn len(&self) -> usize {
        self.connected().count()
    }

    /// Records that a ticket of the entry is queued.
    pub(crate) fn add_queued(&mut self, entry: Incarnation, ticket: Ticket) {
        if let Some(state) = self.by_incarnation.get_mut(&entry) {
            state.queued.insert(ticket);
        }
    }

    /// Records that a ticket of the entry is no longer queued.
    pub(crate) fn remove_queued(&mut self, entry: Incarnation, ticket: Ticket) {
        if let Some(state) = self.by_incarnation.get_mut(&entry) {
            state.queued.remove(&ticket);
        }
    }

    /// Removes entries that have been disconnected for [`RECONNECT_GRACE`], and returns their
    /// queued tickets.
    pub(crate) fn remove_expired(&mut self, now: Instant) -> Vec<Ticket> {
        let expired: Vec<Incarnation> = self
            .by_incarnation
            .iter()
            .filter(|(_, state)| {
                state.disconnected.is_some_and(|since| now >= since + RECONNECT_GRACE)
            })
            .map(|(entry, _)| *entry)
            .collect();
        expired
            .iter()
            .filter_map(|entry| self.by_incarnation.remove(entry))
            .flat_map(|state| state.queued)
            .collect()
    }
}
