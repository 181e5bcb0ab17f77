//! Messages between routers.

use godwitroad_balance::DispatchHint;
use godwitroad_idempotency::ClaimMessage;
use godwitroad_limits::RateMessage;
use godwitroad_member::{Heartbeat, MemberMessage};
use godwitroad_prefix::{ShardMessage, TargetTag};
use godwitroad_sync::{SyncMessage, SyncStatus};
use serde::{Deserialize, Serialize};

use crate::LoadReport;

/// A message from one router to another.
///
/// All messages are one-way. A lost message is repaired by the next period of the part that sent it. A release that
/// doesn't know a kind can't decode it; the link counts and drops it.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
#[non_exhaustive]
pub enum PeerMessage {
    /// A sign of life, with the state of the sender's configuration.
    Heartbeat {
        /// The sign of life.
        heartbeat: Heartbeat,
        /// The state of the configuration.
        status: SyncStatus,
    },
    /// A message of the membership.
    Member(MemberMessage),
    /// A message of the distribution of the configuration.
    Sync(SyncMessage),
    /// A message of the idempotency claims.
    Claim(ClaimMessage),
    /// A message of the rates.
    Rates(RateMessage),
    /// A message of the prefix index.
    Index(ShardMessage),
    /// The load of targets that the sender polls, and its dispatches.
    Load(LoadUpdate),
}

/// What a router tells its peers of the load of targets.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct LoadUpdate {
    /// The reports of the targets that the sender polls; the age of each is that at the time of sending.
    pub reports: Vec<(TargetTag, LoadReport)>,
    /// The sender's dispatches since its last message.
    pub dispatches: Vec<DispatchHint>,
}

impl PeerMessage {
    /// Returns the kind under which the message is counted.
    pub fn kind(&self) -> &'static str {
        match self {
            PeerMessage::Heartbeat { .. } => "heartbeat",
            PeerMessage::Member(_) => "member",
            PeerMessage::Sync(_) => "sync",
            PeerMessage::Claim(_) => "claim",
            PeerMessage::Rates(_) => "rates",
            PeerMessage::Index(_) => "index",
            PeerMessage::Load(_) => "load",
        }
    }
}
