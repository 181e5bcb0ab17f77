//! The prefix cache: a bounded set of prompt blocks with least-recently-used eviction.

use std::collections::{BTreeMap, HashMap};

use godwitroad_router::CacheEvent;

#[derive(Clone, Copy, Debug)]
struct CachedBlock {
    /// The hash of the preceding block of the prompt, or zero for the first block.
    parent: u128,
    /// The value of [`PrefixCache::last_use`] at the block's last use.
    used: u64,
}

/// A bounded set of cached prompt blocks, identified by their chained hashes.
#[derive(Debug)]
pub struct PrefixCache {
    capacity: usize,
    blocks: HashMap<u128, CachedBlock>,
    by_use: BTreeMap<u64, u128>,
    /// A counter that increases with each use of a block.
    last_use: u64,
}

impl PrefixCache {
    /// Returns an empty cache for `capacity` blocks.
    pub fn new(capacity: usize) -> PrefixCache {
        PrefixCache { capacity, blocks: HashMap::new(), by_use: BTreeMap::new(), last_use: 0 }
    }

    /// Returns the number of leading blocks of a prompt that are cached.
    pub fn cached_prefix_len(&self, hashes: &[u128]) -> usize {
        hashes.iter().take_while(|block| self.blocks.contains_key(block)).count()
    }

    /// Returns the number of cached blocks.
    pub fn len(&self) -> usize {
        self.blocks.len()
    }

    /// Returns whether nothing is cached.
    pub fn is_empty(&self) -> bool {
        self.blocks.is_empty()
    }

    /// Caches the blocks of a prompt and returns the cache events in their order.
    ///
    /// Blocks are marked as used from the last to the first, so that a block is never evicted before the blocks that
    /// follow it, which can't be used without it.
    pub fn store(&mut self, hashes: &[u128]) -> Vec<CacheEvent> {
        // Only the beginning of a prompt that is longer than the cache is stored.
        let hashes = &hashes[..hashes.len().min(self.capacity)];
        let mut events = Vec::new();
        let missing = hashes.len() - self.cached_prefix_len(hashes);
        for (index, &block) in hashes.iter().enumerate().rev() {
            let parent = if index == 0 { 0 } else { hashes[index - 1] };
            self.mark_used(block, parent);
        }
        while self.blocks.len() > self.capacity
            && let Some((_, block)) = self.by_use.pop_first()
        {
            self.blocks.remove(&block);
            events.push(CacheEvent::Evicted { piece: block });
        }
        for index in hashes.len() - missing..hashes.len() {
            let parent = if index == 0 { 0 } else { hashes[index - 1] };
            events.push(CacheEvent::Stored { piece: hashes[index], parent });
        }
        events
    }

    /// Returns a `Stored` event for each cached block, from which a reader can rebuild the complete cache.
    pub fn snapshot(&self) -> Vec<CacheEvent> {
        // A parent was marked as used after the blocks that follow it, so the reverse order of use lists parents first.
        let blocks = self.by_use.values().rev();
        let stored = blocks.filter_map(|block| {
            let cached = self.blocks.get(block)?;
            Some(CacheEvent::Stored { piece: *block, parent: cached.parent })
        });
        stored.collect()
    }

    /// Empties the cache.
    pub fn clear(&mut self) {
        self.blocks.clear();
        self.by_use.clear();
    }

    fn mark_used(&mut self, block: u128, parent: u128) {
        self.last_use += 1;
        let used = self.last_use;
        if let Some(old) = self.blocks.insert(block, CachedBlock { parent, used }) {
            self.by_use.remove(&old.used);
        }
        self.by_use.insert(used, block);
    }
}
