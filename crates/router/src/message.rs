//! The messages that routers exchange.
//!
//! The codec, CBOR, writes the names of fields and variants, and the elements of tuples by position. The serialized
//! names are part of the protocol, also in all types that the messages contain: a renamed field or variant keeps its
//! outer name with `#[serde(rename)]`, because routers of two releases exchange messages during a rollout.

use godwitroad_balance::DispatchHint;
use godwitroad_idempotency::ClaimMessage;
use godwitroad_limits::RateMessage;
use godwitroad_member::{Heartbeat, MemberMessage};
use godwitroad_prefix::{ShardMessage, TargetTag};
use godwitroad_quarantine::QuarantineNotes;
use godwitroad_sync::{SyncMessage, SyncStatus};
use serde::{Deserialize, Serialize};

use crate::LoadReport;

/// A message from one router to another.
///
/// All messages are one-way. A lost message needs no retransmission, as the component that sent it repeats its state
/// periodically. A release that does not know a kind of message fails to decode it; the link counts and drops it.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
#[non_exhaustive]
pub enum PeerMessage {
    /// A heartbeat, together with the state of the sender's configuration.
    Heartbeat {
        /// The heartbeat of the membership protocol.
        heartbeat: Heartbeat,
        /// The state of the sender's configuration sync.
        status: SyncStatus,
    },
    /// Any other message of the membership protocol.
    Member(MemberMessage),
    /// A message of the configuration sync.
    Sync(SyncMessage),
    /// A message about idempotency claims.
    Claim(ClaimMessage),
    /// A message about the rate limits of client accounts.
    Rates(RateMessage),
    /// A message between the shards of the prefix index.
    Index(ShardMessage),
    /// The load of the targets that the sender polls, and the sender's dispatches.
    Load(LoadUpdate),
    /// Blocks of prompts that crash targets.
    Quarantine(QuarantineNotes),
    /// Requests that crash targets and come again.
    Repeats(QuarantineNotes),
}

/// The load reports and dispatches that a router sends to its peers periodically.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct LoadUpdate {
    /// The reports that the sender polled since its last update; the age of each is that at the time of sending.
    pub reports: Vec<(TargetTag, LoadReport)>,
    /// The sender's dispatches since its last update.
    pub dispatches: Vec<DispatchHint>,
}

impl PeerMessage {
    /// Returns the label of the message's kind in metrics.
    pub fn kind(&self) -> &'static str {
        match self {
            PeerMessage::Heartbeat { .. } => "heartbeat",
            PeerMessage::Member(_) => "member",
            PeerMessage::Sync(_) => "sync",
            PeerMessage::Claim(_) => "claim",
            PeerMessage::Rates(_) => "rates",
            PeerMessage::Index(_) => "index",
            PeerMessage::Load(_) => "load",
            PeerMessage::Quarantine(_) => "quarantine",
            PeerMessage::Repeats(_) => "repeats",
        }
    }
}
