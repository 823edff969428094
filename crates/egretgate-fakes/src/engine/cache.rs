//! The prefix cache, which holds blocks by hash and evicts the least recently used.

use std::collections::{BTreeMap, HashMap};

use serde::Serialize;

/// Kind of a cache change.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case")]
pub(crate) enum CacheKind {
    /// The block was stored.
    Stored,
    /// The block was evicted.
    Evicted,
}

/// A block stored or evicted.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct CacheChange {
    pub(crate) kind: CacheKind,
    pub(crate) block: u64,
}

/// A prefix cache.
#[derive(Debug)]
pub(crate) struct Cache {
    capacity: usize,
    /// Clock value of each block's last use; holds the same blocks as `blocks_by_use`.
    last_uses: HashMap<u64, u64>,
    /// Blocks by the clock value of their last use.
    blocks_by_use: BTreeMap<u64, u64>,
    /// Logical clock, advanced by each use.
    clock: u64,
}

impl Cache {
    pub(crate) fn new(capacity: usize) -> Self {
        Self { capacity, last_uses: HashMap::new(), blocks_by_use: BTreeMap::new(), clock: 0 }
    }

    /// Returns the number of leading blocks that are cached.
    pub(crate) fn cached_blocks(&self, blocks: &[u64]) -> usize {
        blocks.iter().take_while(|block| self.last_uses.contains_key(block)).count()
    }

    /// Stores blocks or marks them as used, evicts beyond the capacity, and returns the changes.
    pub(crate) fn store(&mut self, blocks: &[u64]) -> Vec<CacheChange> {
        let mut changes = Vec::new();
        for &block in blocks {
            if self.touch(block) {
                changes.push(CacheChange { kind: CacheKind::Stored, block });
            }
        }
        while self.blocks_by_use.len() > self.capacity {
            if let Some((_, block)) = self.blocks_by_use.pop_first() {
                self.last_uses.remove(&block);
                changes.push(CacheChange { kind: CacheKind::Evicted, block });
            }
        }
        changes
    }

    pub(crate) fn clear(&mut self) {
        self.last_uses.clear();
        self.blocks_by_use.clear();
    }

    /// Marks a block as used and returns true if it was not cached.
    fn touch(&mut self, block: u64) -> bool {
        self.clock += 1;
        let previous = self.last_uses.insert(block, self.clock);
        if let Some(previous_use) = previous {
            self.blocks_by_use.remove(&previous_use);
        }
        self.blocks_by_use.insert(self.clock, block);
        previous.is_none()
    }
}
