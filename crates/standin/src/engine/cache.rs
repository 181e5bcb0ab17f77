//! The prefix cache: a bounded set of pieces with least-recently-used eviction.

use std::collections::{BTreeMap, HashMap};

use godwitroad_router::CacheEvent;

#[derive(Clone, Copy, Debug)]
struct CachedPiece {
    parent: u128,
    used: u64,
}

/// A bounded set of cached pieces, named by their chained hashes.
#[derive(Debug)]
pub struct PrefixCache {
    capacity: usize,
    pieces: HashMap<u128, CachedPiece>,
    by_use: BTreeMap<u64, u128>,
    uses: u64,
}

impl PrefixCache {
    /// Returns an empty cache for `capacity` pieces.
    pub fn new(capacity: usize) -> PrefixCache {
        PrefixCache { capacity, pieces: HashMap::new(), by_use: BTreeMap::new(), uses: 0 }
    }

    /// Returns the number of pieces from the beginning of `chain` that are cached without a gap.
    pub fn hit(&self, chain: &[u128]) -> usize {
        chain.iter().take_while(|piece| self.pieces.contains_key(piece)).count()
    }

    /// Returns the number of cached pieces.
    pub fn len(&self) -> usize {
        self.pieces.len()
    }

    /// Returns whether nothing is cached.
    pub fn is_empty(&self) -> bool {
        self.pieces.is_empty()
    }

    /// Caches all pieces of `chain` and returns the changes in their order.
    ///
    /// Pieces are marked as used from the last to the first, so that a piece is never evicted before the pieces
    /// that follow it, which are useless without it.
    pub fn store(&mut self, chain: &[u128]) -> Vec<CacheEvent> {
        // A prompt longer than the cache keeps only its beginning.
        let chain = &chain[..chain.len().min(self.capacity)];
        let mut events = Vec::new();
        let missing = chain.len() - self.hit(chain);
        for (index, &piece) in chain.iter().enumerate().rev() {
            let parent = if index == 0 { 0 } else { chain[index - 1] };
            self.touch(piece, parent);
        }
        while self.pieces.len() > self.capacity
            && let Some((_, piece)) = self.by_use.pop_first()
        {
            self.pieces.remove(&piece);
            events.push(CacheEvent::Evicted { piece });
        }
        for index in chain.len() - missing..chain.len() {
            let parent = if index == 0 { 0 } else { chain[index - 1] };
            events.push(CacheEvent::Stored { piece: chain[index], parent });
        }
        events
    }

    /// Returns an event for each cached piece, so that a reader can rebuild the whole cache.
    pub fn snapshot(&self) -> Vec<CacheEvent> {
        // Parents were used later than the pieces that follow them, so the newest come first.
        let pieces = self.by_use.values().rev();
        let stored = pieces.filter_map(|piece| {
            let cached = self.pieces.get(piece)?;
            Some(CacheEvent::Stored { piece: *piece, parent: cached.parent })
        });
        stored.collect()
    }

    /// Empties the cache.
    pub fn clear(&mut self) {
        self.pieces.clear();
        self.by_use.clear();
    }

    fn touch(&mut self, piece: u128, parent: u128) {
        self.uses += 1;
        let used = self.uses;
        if let Some(old) = self.pieces.insert(piece, CachedPiece { parent, used }) {
            self.by_use.remove(&old.used);
        }
        self.by_use.insert(used, piece);
    }
}
