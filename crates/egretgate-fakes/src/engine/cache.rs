//! The prefix cache: blocks by hash, of which the least recently used are evicted.

use std::collections::{BTreeMap, HashMap};

use serde::Serialize;

/// What happened to a block.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case")]
pub(crate) enum CacheKind {
    /// It was stored.
    Stored,
    /// It was evicted.
    Evicted,
}

/// A change of the cache.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct CacheChange {
    pub(crate) kind: CacheKind,
    pub(crate) block: u64,
}

/// A prefix cache.
#[derive(Debug)]
pub(crate) struct Cache {
    capacity: usize,
    /// Use of each block; holds the same blocks as `order`.
    uses: HashMap<u64, u64>,
    /// Blocks by their last use.
    order: BTreeMap<u64, u64>,
    clock: u64,
}

impl Cache {
    pub(crate) fn new(capacity: usize) -> Self {
        Self { capacity, uses: HashMap::new(), order: BTreeMap::new(), clock: 0 }
    }

    /// Returns how many blocks at the start of a prompt are held.
    pub(crate) fn find(&self, blocks: &[u64]) -> usize {
        blocks.iter().take_while(|block| self.uses.contains_key(block)).count()
    }

    /// Stores blocks, marks them as used and returns what changed.
    pub(crate) fn store(&mut self, blocks: &[u64]) -> Vec<CacheChange> {
        let mut changes = Vec::new();
        for &block in blocks {
            if self.touch(block) {
                changes.push(CacheChange { kind: CacheKind::Stored, block });
            }
        }
        while self.order.len() > self.capacity {
            if let Some((_, block)) = self.order.pop_first() {
                self.uses.remove(&block);
                changes.push(CacheChange { kind: CacheKind::Evicted, block });
            }
        }
        changes
    }

    pub(crate) fn clear(&mut self) {
        self.uses.clear();
        self.order.clear();
    }

    /// Marks a block as used. Returns true if it is new.
    fn touch(&mut self, block: u64) -> bool {
        self.clock += 1;
        let before = self.uses.insert(block, self.clock);
        if let Some(use_before) = before {
            self.order.remove(&use_before);
        }
        self.order.insert(self.clock, block);
        before.is_none()
    }
}
