//! Messages between the claim tables of two routers.

use std::sync::Arc;

use godwitroad_base::RequestId;
use serde::{Deserialize, Serialize};

use crate::{
    key::ClaimHash,
    merge::{ClaimEntry, ClaimReply},
};

/// A message between two routers.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum ClaimMessage {
    /// Work for the owner of a shard.
    Work(ClaimEntry),
    /// The owner's reply.
    Reply {
        /// The request.
        id: RequestId,
        /// The key.
        hash: ClaimHash,
        /// The reply.
        reply: ClaimReply,
    },
    /// Asks for the body of a recorded answer.
    BodyRequest {
        /// The request that asks.
        id: RequestId,
        /// The key.
        hash: ClaimHash,
    },
    /// The body of a recorded answer, or nothing when the sender doesn't hold it any more.
    Body {
        /// The request that asked.
        id: RequestId,
        /// The body.
        body: Option<Arc<[u8]>>,
    },
}
