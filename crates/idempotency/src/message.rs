//! Messages between the claim tables of two routers.

use std::sync::Arc;

use godwitroad_base::RequestId;
use serde::{Deserialize, Serialize};

use crate::{
    key::ClaimHash,
    merge::{ClaimEntry, ClaimReply},
};

/// A message between the claim tables of two routers.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum ClaimMessage {
    /// An operation for the owner of the key's shard.
    Work(ClaimEntry),
    /// The owner's reply to an operation.
    Reply {
        /// The request that the operation belongs to.
        id: RequestId,
        /// The hash of the account and the idempotency key.
        hash: ClaimHash,
        /// The result of the operation.
        reply: ClaimReply,
    },
    /// Requests the body of a recorded answer from the VM that ran the request.
    BodyRequest {
        /// The repeated request that needs the body.
        id: RequestId,
        /// The hash of the account and the idempotency key.
        hash: ClaimHash,
    },
    /// The reply to a body request.
    Body {
        /// The request that needs the body.
        id: RequestId,
        /// The body, or `None` if the sender has evicted it.
        body: Option<Arc<[u8]>>,
    },
}
