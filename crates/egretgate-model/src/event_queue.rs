//! What happens next in a run.

use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::time::Instant;

/// Things to come, the next one first; of two at one moment, the one that was added first.
#[derive(Debug)]
pub(crate) struct Agenda<T> {
    heap: BinaryHeap<Reverse<Item<T>>>,
    added: u64,
}

#[derive(Debug)]
struct Item<T> {
    at: Instant,
    number: u64,
    what: T,
}

impl<T> Agenda<T> {
    pub(crate) const fn new() -> Self {
        Self { heap: BinaryHeap::new(), added: 0 }
    }

    pub(crate) fn add(&mut self, at: Instant, what: T) {
        self.added += 1;
        self.heap.push(Reverse(Item { at, number: self.added, what }));
    }

    /// Removes and returns the next thing with its moment.
    pub(crate) fn next(&mut self) -> Option<(Instant, T)> {
        self.heap.pop().map(|Reverse(item)| (item.at, item.what))
    }
}

impl<T> PartialEq for Item<T> {
    fn eq(&self, other: &Self) -> bool {
        (self.at, self.number) == (other.at, other.number)
    }
}

impl<T> Eq for Item<T> {}

impl<T> PartialOrd for Item<T> {
    fn partial_cmp(&self, other: &Self) -> Option<std::cmp::Ordering> {
        Some(self.cmp(other))
    }
}

impl<T> Ord for Item<T> {
    fn cmp(&self, other: &Self) -> std::cmp::Ordering {
        (self.at, self.number).cmp(&(other.at, other.number))
    }
}
