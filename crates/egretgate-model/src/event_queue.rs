//! The scheduled events of a simulation run.

use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::time::Instant;

/// Events in the order of their times; events of the same time come in the order in which they were
/// scheduled.
#[derive(Debug)]
pub(crate) struct EventQueue<T> {
    heap: BinaryHeap<Reverse<ScheduledEvent<T>>>,
    added: u64,
}

#[derive(Debug)]
struct ScheduledEvent<T> {
    at: Instant,
    number: u64,
    event: T,
}

impl<T> EventQueue<T> {
    pub(crate) const fn new() -> Self {
        Self { heap: BinaryHeap::new(), added: 0 }
    }

    pub(crate) fn schedule(&mut self, at: Instant, event: T) {
        self.added += 1;
        self.heap.push(Reverse(ScheduledEvent { at, number: self.added, event }));
    }

    /// Removes the next event and returns it with its time.
    pub(crate) fn next(&mut self) -> Option<(Instant, T)> {
        self.heap.pop().map(|Reverse(next)| (next.at, next.event))
    }
}

impl<T> PartialEq for ScheduledEvent<T> {
    fn eq(&self, other: &Self) -> bool {
        (self.at, self.number) == (other.at, other.number)
    }
}

impl<T> Eq for ScheduledEvent<T> {}

impl<T> PartialOrd for ScheduledEvent<T> {
    fn partial_cmp(&self, other: &Self) -> Option<std::cmp::Ordering> {
        Some(self.cmp(other))
    }
}

impl<T> Ord for ScheduledEvent<T> {
    fn cmp(&self, other: &Self) -> std::cmp::Ordering {
        (self.at, self.number).cmp(&(other.at, other.number))
    }
}
