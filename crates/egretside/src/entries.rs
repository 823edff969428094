//! The entries that are attached, and what each has waiting here.

use std::collections::{HashMap, HashSet};
use std::time::Instant;

use egretgate_core::{Incarnation, Ticket};
use egretgate_link::message::{ToEntry, to_entry};
use tokio::sync::mpsc;
use tokio_util::sync::CancellationToken;

use crate::answer_sender::RECONNECT_GRACE;

/// Number of one connection within the life of the side process.
pub(crate) type ConnectionId = u64;

/// The sending side of one connection.
#[derive(Debug, Clone)]
pub(crate) struct ConnectionHandle {
    /// Frames on their way to the entry.
    pub frames: mpsc::Sender<ToEntry>,
    /// Closes the connection.
    pub close: CancellationToken,
}

#[derive(Debug)]
struct Entry {
    id: ConnectionId,
    connection: ConnectionHandle,
    /// When the connection was lost; `None` while it stands.
    disconnected: Option<Instant>,
    /// Tickets of this entry in the queue.
    waiting: HashSet<Ticket>,
}

/// Every entry that is attached or was until shortly ago.
#[derive(Debug, Default)]
pub(crate) struct Entries {
    by_incarnation: HashMap<Incarnation, Entry>,
    last_id: ConnectionId,
}

impl Entries {
    /// Notes a connection and returns its number. It takes the place of an earlier one of the
    /// same entry.
    pub(crate) fn attach(&mut self, entry: Incarnation, peer: ConnectionHandle) -> ConnectionId {
        self.last_id += 1;
        let id = self.last_id;
        let waiting = match self.by_incarnation.remove(&entry) {
            Some(earlier) => {
                earlier.connection.close.cancel();
                earlier.waiting
            }
            None => HashSet::new(),
        };
        self.by_incarnation
            .insert(entry, Entry { id, connection: peer, disconnected: None, waiting });
        id
    }

    /// Notes that a connection is gone, unless a later one has taken its place.
    pub(crate) fn detach(&mut self, entry: Incarnation, id: ConnectionId, now: Instant) {
        if let Some(known) = self.by_incarnation.get_mut(&entry)
            && known.id == id
        {
            known.disconnected = Some(now);
        }
    }

    /// Returns the sending side of an attached entry.
    pub(crate) fn frames(&self, entry: Incarnation) -> Option<&mpsc::Sender<ToEntry>> {
        self.by_incarnation
            .get(&entry)
            .filter(|known| known.disconnected.is_none())
            .map(|known| &known.connection.frames)
    }

    /// Sends a frame, and closes the connection of an entry that doesn't take it: what it misses
    /// it must ask for after reconnecting.
    pub(crate) fn send(&self, entry: Incarnation, body: to_entry::Body) {
        let Some(known) = self.by_incarnation.get(&entry) else { return };
        if known.disconnected.is_none() && known.connection.frames.try_send(body.into()).is_err() {
            known.connection.close.cancel();
        }
    }

    /// Sends a frame to every attached entry.
    pub(crate) fn broadcast(&self, body: &to_entry::Body) {
        for entry in self.by_incarnation.keys() {
            self.send(*entry, body.clone());
        }
    }

    /// Returns the attached entries.
    pub(crate) fn attached(&self) -> impl Iterator<Item = Incarnation> + '_ {
        self.by_incarnation
            .iter()
            .filter(|(_, known)| known.disconnected.is_none())
            .map(|(entry, _)| *entry)
    }

    /// Returns the number of attached entries.
    pub(crate) fn len(&self) -> usize {
        self.attached().count()
    }

    /// Notes that a ticket of the entry waits.
    pub(crate) fn add_waiting(&mut self, entry: Incarnation, ticket: Ticket) {
        if let Some(known) = self.by_incarnation.get_mut(&entry) {
            known.waiting.insert(ticket);
        }
    }

    /// Notes that a ticket of the entry no longer waits.
    pub(crate) fn remove_waiting(&mut self, entry: Incarnation, ticket: Ticket) {
        if let Some(known) = self.by_incarnation.get_mut(&entry) {
            known.waiting.remove(&ticket);
        }
    }

    /// Forgets entries that have been gone for [`CUT_GRACE`] and returns what they had waiting.
    pub(crate) fn forget_lost(&mut self, now: Instant) -> Vec<Ticket> {
        let gone: Vec<Incarnation> = self
            .by_incarnation
            .iter()
            .filter(|(_, known)| {
                known.disconnected.is_some_and(|lost| now >= lost + RECONNECT_GRACE)
            })
            .map(|(entry, _)| *entry)
            .collect();
        gone.iter()
            .filter_map(|entry| self.by_incarnation.remove(entry))
            .flat_map(|known| known.waiting)
            .collect()
    }
}
