//! Messages between routers for the distribution of the configuration.
//!
//! Messages are one-way and may be lost, duplicated or reordered. Each is either a statement that remains valid or a
//! request that may be answered more than once. The codec, CBOR, writes the names of fields and variants, so the
//! serialized names are part of the protocol. A renamed field or variant keeps its outer name with `#[serde(rename)]`,
//! because routers of two releases exchange messages during a rollout.

use std::sync::Arc;

use godwitroad_base::ClockSpan;
use serde::{Deserialize, Serialize};

use crate::{
    head::{ChunkDigest, SyncHead},
    progress::ZoneProgress,
};

/// The status of a node's configuration, sent in heartbeats and in messages.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct SyncStatus {
    /// The generation in force, or zero if there is none.
    pub generation: u64,
    /// The digest of the document in force, or `None` if there is none.
    pub digest: Option<ChunkDigest>,
    /// Whether the node is ready: since its start, it has had the latest generation that it could find in force.
    pub is_ready: bool,
    /// The time since the node itself last had contact with the store, or `None` if it never had.
    #[serde(rename = "store_age")]
    pub store_contact_age: Option<ClockSpan>,
    /// The time since the node itself last received a status from a node of another zone, or `None` if it never did.
    #[serde(rename = "outside_age")]
    pub other_zone_contact_age: Option<ClockSpan>,
}

/// A message between two routers.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum SyncMessage {
    /// Announces that a new generation is in force at the sender.
    Announce(SyncStatus),
    /// Requests the receiver's status.
    #[serde(rename = "query")]
    StatusRequest {
        /// Returned in the response.
        nonce: u64,
    },
    /// Answers [`SyncMessage::StatusRequest`].
    #[serde(rename = "answer")]
    StatusResponse {
        /// The nonce of the request.
        nonce: u64,
        /// The status of the sender.
        status: SyncStatus,
    },
    /// Requests the progress of the receiver's zone.
    #[serde(rename = "progress_query")]
    ProgressRequest {
        /// Returned in the response.
        nonce: u64,
    },
    /// Answers [`SyncMessage::ProgressRequest`].
    #[serde(rename = "progress")]
    ProgressResponse {
        /// The nonce of the request.
        nonce: u64,
        /// The progress of the sender's zone.
        progress: ZoneProgress,
    },
    /// Requests the head of the generation in force at the receiver.
    HeadRequest,
    /// Answers [`SyncMessage::HeadRequest`] with the head of the generation in force at the sender.
    Head(Arc<SyncHead>),
    /// Requests the chunks with these digests.
    ChunkRequest(Vec<ChunkDigest>),
    /// Answers [`SyncMessage::ChunkRequest`] with one of the chunks.
    Chunk(#[serde(with = "godwitroad_base::byte_string")] Arc<[u8]>),
    /// Answers [`SyncMessage::ChunkRequest`] with the digests of the chunks that the sender doesn't have.
    ChunksMissing(Vec<ChunkDigest>),
}

impl SyncMessage {
    /// Returns the approximate size of the message in bytes, for statistics of traffic.
    pub fn approximate_bytes(&self) -> u64 {
        // A digest takes 32 bytes and an entry of the change log 24; everything else takes less than 64 bytes.
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
