//! Messages between the parts of two routers that distribute the configuration.
//!
//! All of them are one-way and may be lost, repeated or reordered: each is either a statement that stays true or a
//! request that may be answered twice.

use std::sync::Arc;

use godwitroad_base::ClockSpan;
use serde::{Deserialize, Serialize};

use crate::{
    head::{ChunkDigest, SyncHead},
    progress::ZoneProgress,
};

/// What a node says of its configuration, also in its heartbeats.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct SyncStatus {
    /// The generation in force; zero before the first.
    pub generation: u64,
    /// The digest of the document in force.
    pub digest: Option<ChunkDigest>,
    /// Whether the node has the newest generation that it could find since its start.
    pub is_ready: bool,
    /// The age of the node's own newest read of the head.
    #[serde(rename = "store_age")]
    pub store_contact_age: Option<ClockSpan>,
    /// The age of the node's own newest contact with another zone.
    #[serde(rename = "outside_age")]
    pub other_zone_contact_age: Option<ClockSpan>,
}

/// A message between two routers.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum SyncMessage {
    /// The sender's status, unasked: a new generation is in force.
    Announce(SyncStatus),
    /// Asks for the receiver's status.
    Query {
        /// Echoed in the answer.
        nonce: u64,
    },
    /// Answers [`SyncMessage::Query`].
    Answer {
        /// The number of the query.
        nonce: u64,
        /// The status.
        status: SyncStatus,
    },
    /// Asks for the progress of the receiver's zone.
    ProgressQuery {
        /// Echoed in the answer.
        nonce: u64,
    },
    /// Answers [`SyncMessage::ProgressQuery`].
    Progress {
        /// The number of the query.
        nonce: u64,
        /// The progress of the sender's zone.
        progress: ZoneProgress,
    },
    /// Asks for the head in force.
    HeadRequest,
    /// The head in force at the sender.
    Head(Arc<SyncHead>),
    /// Asks for chunks.
    ChunkRequest(Vec<ChunkDigest>),
    /// A chunk.
    Chunk(#[serde(with = "godwitroad_base::byte_string")] Arc<[u8]>),
    /// The sender doesn't hold these chunks.
    ChunksMissing(Vec<ChunkDigest>),
}

impl SyncMessage {
    /// Returns the approximate size in bytes, by which traffic is counted.
    pub fn weight(&self) -> u64 {
        // A digest takes 32 bytes and a line of the change log 24; the rest of a message is below 64 bytes.
        let body = match self {
            SyncMessage::Head(head) => 32 * head.chunks.len() + 24 * head.log.len(),
            SyncMessage::ChunkRequest(digests) | SyncMessage::ChunksMissing(digests) => {
                32 * digests.len()
            }
            SyncMessage::Chunk(chunk) => chunk.len(),
            _ => 0,
        };
        body as u64 + 64
    }
}
