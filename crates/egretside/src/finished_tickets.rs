//! Bounded memory of tickets that have ended, were refused, or were queried before any offer.

use std::collections::{HashMap, VecDeque};

use egretgate_core::Ticket;
use egretgate_link::message::TicketStatus;

/// Maximum number of tickets remembered.
const MAX_FINISHED_TICKETS: usize = 16_384;

/// The final status of tickets that are neither queued nor running.
#[derive(Debug, Default)]
pub(crate) struct FinishedTickets {
    statuses: HashMap<Ticket, TicketStatus>,
    /// The keys of `statuses`, oldest first.
    oldest_first: VecDeque<Ticket>,
}

impl FinishedTickets {
    /// Records the final status of a ticket; the first one recorded stays.
    pub(crate) fn record(&mut self, ticket: Ticket, status: TicketStatus) {
        if self.statuses.contains_key(&ticket) {
            return;
        }
        if self.oldest_first.len() >= MAX_FINISHED_TICKETS
            && let Some(oldest) = self.oldest_first.pop_front()
        {
            self.statuses.remove(&oldest);
        }
        self.oldest_first.push_back(ticket);
        self.statuses.insert(ticket, status);
    }

    /// Returns the ticket's final status, if it is remembered.
    pub(crate) fn get(&self, ticket: Ticket) -> Option<TicketStatus> {
        self.statuses.get(&ticket).copied()
    }
}
