//! One new generation on its way to a node: its head, then the chunks that the node doesn't hold.
//!
//! Peers of the own zone are asked first, then the store, and peers of other zones only when the store fails, so that
//! a change crosses a link between regions once for a zone.

use std::{
    collections::{BTreeMap, BTreeSet},
    sync::Arc,
};

use godwitroad_base::{ClockTime, VmName};
use godwitroad_store::OperationId;

use crate::head::{ChunkDigest, SyncHead};

/// The number of chunks asked for at once.
///
/// A chunk is below the store's value limit of 1 MB; four of them bound the memory of a request.
pub(crate) const CHUNKS_AT_ONCE: usize = 4;

#[derive(Clone, Debug, Eq, PartialEq)]
pub(crate) enum FetchSource {
    Idle,
    Peer { peer: VmName, until: ClockTime, left: usize },
    Store { ops: BTreeMap<OperationId, Option<ChunkDigest>> },
}

/// What the node must ask for next.
#[derive(Clone, Debug, Eq, PartialEq)]
pub(crate) enum FetchNeed {
    Head,
    Chunks(Vec<ChunkDigest>),
    Nothing,
}

#[derive(Clone, Debug)]
pub(crate) struct ConfigFetch {
    /// The generation at least wanted.
    pub(crate) generation: u64,
    pub(crate) head: Option<Arc<SyncHead>>,
    pub(crate) parts: BTreeMap<ChunkDigest, Arc<[u8]>>,
    pub(crate) source: FetchSource,
    pub(crate) not_before: ClockTime,
    /// The peers that were asked in vain since the store was last asked.
    pub(crate) tried: BTreeSet<VmName>,
    pub(crate) store_failed: bool,
    /// Whether any part came from outside the zone, so that the zone's other members must be told.
    pub(crate) is_first_hand: bool,
}

impl ConfigFetch {
    pub(crate) fn new(generation: u64, not_before: ClockTime) -> ConfigFetch {
        ConfigFetch {
            generation,
            head: None,
            parts: BTreeMap::new(),
            source: FetchSource::Idle,
            not_before,
            tried: BTreeSet::new(),
            store_failed: false,
            is_first_hand: false,
        }
    }

    /// Raises the wanted generation; parts that the newer head shares are kept.
    pub(crate) fn raise(&mut self, generation: u64) {
        if generation > self.generation {
            self.generation = generation;
            self.head = None;
            self.source = FetchSource::Idle;
            self.tried.clear();
            self.store_failed = false;
        }
    }

    /// Takes a head of the wanted generation or a later one, with the chunks that the node already holds.
    pub(crate) fn take_head(
        &mut self,
        head: Arc<SyncHead>,
        held: &BTreeMap<ChunkDigest, Arc<[u8]>>,
    ) {
        self.generation = head.generation;
        let wanted: BTreeSet<ChunkDigest> = head.chunks.iter().copied().collect();
        self.parts.retain(|digest, _| wanted.contains(digest));
        for (digest, chunk) in held {
            if wanted.contains(digest) {
                self.parts.insert(*digest, chunk.clone());
            }
        }
        self.head = Some(head);
        self.source = FetchSource::Idle;
    }

    /// Takes a chunk and returns whether it was wanted.
    pub(crate) fn take_chunk(&mut self, chunk: Arc<[u8]>) -> bool {
        let digest = ChunkDigest::compute(&chunk);
        let is_wanted = self.head.as_ref().is_some_and(|head| head.chunks.contains(&digest))
            && !self.parts.contains_key(&digest);
        if is_wanted {
            self.parts.insert(digest, chunk);
        }
        is_wanted
    }

    /// Returns the number of chunks that are missing.
    pub(crate) fn missing(&self) -> usize {
        let is_missing = |digest: &&ChunkDigest| !self.parts.contains_key(*digest);
        self.head.as_ref().map_or(0, |head| head.chunks.iter().filter(is_missing).count())
    }

    pub(crate) fn need(&self) -> FetchNeed {
        let Some(head) = &self.head else { return FetchNeed::Head };
        let mut missing: Vec<ChunkDigest> = Vec::new();
        for digest in &head.chunks {
            if !self.parts.contains_key(digest) && !missing.contains(digest) {
                missing.push(*digest);
            }
            if missing.len() == CHUNKS_AT_ONCE {
                break;
            }
        }
        if missing.is_empty() { FetchNeed::Nothing } else { FetchNeed::Chunks(missing) }
    }

    /// Gives up the source that was asked, and returns the peer if it was one.
    pub(crate) fn forsake(&mut self) -> Option<VmName> {
        match std::mem::replace(&mut self.source, FetchSource::Idle) {
            FetchSource::Peer { peer, .. } => {
                self.tried.insert(peer.clone());
                Some(peer)
            }
            FetchSource::Store { .. } => {
                self.store_failed = true;
                None
            }
            FetchSource::Idle => None,
        }
    }
}
