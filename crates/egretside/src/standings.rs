//! Bounded memory of tickets that have ended here or were never seen.

use std::collections::{HashMap, VecDeque};

use egretgate_core::Ticket;
use egretgate_link::message::TicketStatus;

/// Tickets remembered after their end.
const MEMORY: usize = 16_384;

/// The last standing of tickets that neither wait nor run.
#[derive(Debug, Default)]
pub(crate) struct Standings {
    ended: HashMap<Ticket, TicketStatus>,
    /// Exactly the keys of `ended`, oldest first.
    order: VecDeque<Ticket>,
}

impl Standings {
    /// Notes how a ticket ended; the first note holds.
    pub(crate) fn note(&mut self, ticket: Ticket, standing: TicketStatus) {
        if self.ended.contains_key(&ticket) {
            return;
        }
        if self.order.len() >= MEMORY
            && let Some(oldest) = self.order.pop_front()
        {
            self.ended.remove(&oldest);
        }
        self.order.push_back(ticket);
        self.ended.insert(ticket, standing);
    }

    /// Returns the ticket's last standing, if it is remembered.
    pub(crate) fn get(&self, ticket: Ticket) -> Option<TicketStatus> {
        self.ended.get(&ticket).copied()
    }
}
