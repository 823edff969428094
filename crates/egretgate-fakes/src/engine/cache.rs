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
    last_uses: HashMap<u64, u64>,
    /// Blocks by their last use.
    blocks_by_use: BTreeMap<u64, u64>,
    clock: u64,
}

impl Cache {
    pub(crate) fn new(capacity: usize) -> Self {
        Self { capacity, last_uses: HashMap::new(), blocks_by_use: BTreeMap::new(), clock: 0 }
    }

    /// Returns how many blocks at the start of a prompt are held.
    pub(crate) fn cached_blocks(&self, blocks: &[u64]) -> usize {
        blocks.iter().take_while(|block| self.last_uses.contains_key(block)).count()
    }

    /// Stores blocks, marks them as used and returns what changed.
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

    /// Marks a block as used. Returns true if it is new.
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
