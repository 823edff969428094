//! Bounded memory of tickets that have ended here or were never seen.

use std::collections::{HashMap, VecDeque};

use egretgate_core::Ticket;
use egretgate_link::message::TicketStatus;

/// Tickets remembered after their end.
const MAX_TICKETS: usize = 16_384;

/// The last standing of tickets that neither wait nor run.
#[derive(Debug, Default)]
pub(crate) struct FinishedTickets {
    statuses: HashMap<Ticket, TicketStatus>,
    /// Exactly the keys of `ended`, oldest first.
    oldest_first: VecDeque<Ticket>,
}

impl FinishedTickets {
    /// Notes how a ticket ended; the first note holds.
    pub(crate) fn record(&mut self, ticket: Ticket, standing: TicketStatus) {
        if self.statuses.contains_key(&ticket) {
            return;
        }
        if self.oldest_first.len() >= MAX_TICKETS
            && let Some(oldest) = self.oldest_first.pop_front()
        {
            self.statuses.remove(&oldest);
        }
        self.oldest_first.push_back(ticket);
        self.statuses.insert(ticket, standing);
    }

    /// Returns the ticket's last standing, if it is remembered.
    pub(crate) fn get(&self, ticket: Ticket) -> Option<TicketStatus> {
        self.statuses.get(&ticket).copied()
    }
}
