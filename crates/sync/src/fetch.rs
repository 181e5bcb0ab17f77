//! The download of a new generation: its head, then the chunks that the node doesn't have.
//!
//! The node requests data first from peers of its own zone, then from the store, and from peers of other zones only if
//! the store fails, so that a change crosses a link between regions once per zone.

use std::{
    collections::{BTreeMap, BTreeSet},
    sync::Arc,
};

use godwitroad_base::{ClockTime, VmName};
use godwitroad_store::OperationId;

use crate::head::{ChunkDigest, SyncHead};

/// The number of chunks per request.
///
/// A chunk is smaller than the store's value limit of 1 MB, so four chunks limit a request to 4 MB of memory.
pub(crate) const CHUNKS_AT_ONCE: usize = 4;

#[derive(Clone, Debug, Eq, PartialEq)]
pub(crate) enum FetchSource {
    Idle,
    Peer { peer: VmName, deadline: ClockTime, remaining: usize },
    Store { ops: BTreeMap<OperationId, Option<ChunkDigest>> },
}

/// The data to request next.
#[derive(Clone, Debug, Eq, PartialEq)]
pub(crate) enum MissingData {
    Head,
    Chunks(Vec<ChunkDigest>),
    Nothing,
}

#[derive(Clone, Debug)]
pub(crate) struct ConfigFetch {
    /// The required generation; a later one is accepted too.
    pub(crate) generation: u64,
    pub(crate) head: Option<Arc<SyncHead>>,
    pub(crate) chunks: BTreeMap<ChunkDigest, Arc<[u8]>>,
    pub(crate) source: FetchSource,
    pub(crate) not_before: ClockTime,
    /// The peers that failed to supply data since the store was last tried.
    pub(crate) tried_peers: BTreeSet<VmName>,
    pub(crate) store_failed: bool,
    /// Whether any data came from outside the zone; if so, this node announces the generation to the zone.
    pub(crate) has_data_from_outside_zone: bool,
}

impl ConfigFetch {
    pub(crate) fn new(generation: u64, not_before: ClockTime) -> ConfigFetch {
        ConfigFetch {
            generation,
            head: None,
            chunks: BTreeMap::new(),
            source: FetchSource::Idle,
            not_before,
            tried_peers: BTreeSet::new(),
            store_failed: false,
            has_data_from_outside_zone: false,
        }
    }

    /// Raises the required generation. Chunks are kept, because the later head may contain them too.
    pub(crate) fn raise_generation(&mut self, generation: u64) {
        if generation > self.generation {
            self.generation = generation;
            self.head = None;
            self.source = FetchSource::Idle;
            self.tried_peers.clear();
            self.store_failed = false;
        }
    }

    /// Records a head of the required generation or a later one, and reuses the chunks of the generation in force.
    pub(crate) fn receive_head(
        &mut self,
        head: Arc<SyncHead>,
        local_chunks: &BTreeMap<ChunkDigest, Arc<[u8]>>,
    ) {
        self.generation = head.generation;
        let digests: BTreeSet<ChunkDigest> = head.chunks.iter().copied().collect();
        self.chunks.retain(|digest, _| digests.contains(digest));
        for (digest, chunk) in local_chunks {
            if digests.contains(digest) {
                self.chunks.insert(*digest, chunk.clone());
            }
        }
        self.head = Some(head);
        self.source = FetchSource::Idle;
    }

    /// Records a chunk and returns whether it was missing.
    pub(crate) fn receive_chunk(&mut self, chunk: Arc<[u8]>) -> bool {
        let digest = ChunkDigest::compute(&chunk);
        let is_missing = self.head.as_ref().is_some_and(|head| head.chunks.contains(&digest))
            && !self.chunks.contains_key(&digest);
        if is_missing {
            self.chunks.insert(digest, chunk);
        }
        is_missing
    }

    /// Returns the number of missing chunks, or zero while the head is missing.
    pub(crate) fn missing_chunk_count(&self) -> usize {
        let is_missing = |digest: &&ChunkDigest| !self.chunks.contains_key(*digest);
        self.head.as_ref().map_or(0, |head| head.chunks.iter().filter(is_missing).count())
    }

    pub(crate) fn missing_data(&self) -> MissingData {
        let Some(head) = &self.head else { return MissingData::Head };
        let mut missing_digests: Vec<ChunkDigest> = Vec::new();
        for digest in &head.chunks {
            if !self.chunks.contains_key(digest) && !missing_digests.contains(digest) {
                missing_digests.push(*digest);
            }
            if missing_digests.len() == CHUNKS_AT_ONCE {
                break;
            }
        }
        if missing_digests.is_empty() {
            MissingData::Nothing
        } else {
            MissingData::Chunks(missing_digests)
        }
    }

    /// Marks the current source as failed and returns its name if it is a peer.
    pub(crate) fn abandon_source(&mut self) -> Option<VmName> {
        match std::mem::replace(&mut self.source, FetchSource::Idle) {
            FetchSource::Peer { peer, .. } => {
                self.tried_peers.insert(peer.clone());
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
