//! The settings, events, actions and messages of a router's part of the index.
//!
//! They are kept apart from the state machine, because adapters and the facade read only these.

use godwitroad_base::{ClockSpan, TargetName, VmName};
use serde::{Deserialize, Serialize};

use crate::{
    chain::PrefixChain,
    feed::{FeedBatch, FeedSettings},
    matches::{IndexSettings, PrefixMatches},
    wire::TargetTag,
};

/// The settings of a router's part of the index.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct ShardSettings {
    /// The number of routers that hold each partition.
    pub replicas: usize,
    /// The number of routers of each far index that hold a partition; zero at sizes at which regions keep apart.
    ///
    /// Any other value should equal `copies`, because a second copy answers lookups itself.
    pub remote_replicas: usize,
    /// The time for which changes are collected before they are forwarded.
    pub forward_window: ClockSpan,
    /// The time for which a lookup waits for the owner.
    pub lookup_wait: ClockSpan,
    /// The time for which an owner that did not answer is passed over.
    pub suspect_span: ClockSpan,
    /// The time for which a started router waits for its peers' entries.
    pub initial_sync_wait: ClockSpan,
    /// The settings of the index.
    pub index: IndexSettings,
    /// The settings of the engines' event feeds.
    pub feed: FeedSettings,
}

impl Default for ShardSettings {
    fn default() -> ShardSettings {
        ShardSettings {
            replicas: 2,
            remote_replicas: 2,
            forward_window: ClockSpan::from_ms(20),
            lookup_wait: ClockSpan::from_ms(10),
            suspect_span: ClockSpan::from_ms(500),
            initial_sync_wait: ClockSpan::from_secs(2),
            index: IndexSettings::default(),
            feed: FeedSettings::default(),
        }
    }
}

/// An event for a router's part of the index.
#[derive(Clone, Debug)]
pub enum ShardEvent {
    /// The targets of the zone's services, from the configuration.
    Targets(Vec<TargetName>),
    /// The serving routers of the zone, from the roster; they include this one while it serves.
    Members(Vec<VmName>),
    /// The serving routers of other zones or regions whose requests may come to this router's engines, one list
    /// for each index of theirs.
    RemoteMembers(Vec<Vec<VmName>>),
    /// Cache events of an engine that this router reads.
    Cache {
        /// The engine.
        target: TargetName,
        /// The events.
        batch: FeedBatch,
    },
    /// This router no longer reads an engine.
    StopReading(TargetName),
    /// The cached prefix of a prompt is wanted.
    Lookup {
        /// The caller's number, echoed in [`ShardAction::Found`].
        token: u64,
        /// The prompt.
        chain: PrefixChain,
    },
    /// A request was dispatched.
    Dispatched {
        /// The target.
        target: TargetName,
        /// The prompt.
        chain: PrefixChain,
    },
    /// A peer sent a message.
    Message {
        /// The sender.
        from: VmName,
        /// The message.
        message: ShardMessage,
    },
    /// The router will stop: hand everything over.
    Stop,
    /// Time passed.
    Tick,
}

/// What a router's part of the index asks for.
#[derive(Clone, Debug)]
pub enum ShardAction {
    /// Send a message to a peer.
    Send {
        /// The receiver.
        to: VmName,
        /// The message.
        message: ShardMessage,
    },
    /// A lookup has its answer.
    Found {
        /// The number of the lookup.
        token: u64,
        /// The longest usable prefixes.
        matches: PrefixMatches,
        /// Where the answer comes from.
        source: LookupSource,
    },
    /// Read a snapshot of the engine's cache.
    RequestSnapshot(TargetName),
    /// The entries of the peers have arrived, or the time for them is over.
    Ready,
    /// The entries are handed over.
    HandoffComplete,
}

/// Where the answer to a lookup comes from.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum LookupSource {
    /// This router holds the partition.
    Local,
    /// Another router holds it and answered.
    Remote,
    /// The holder did not answer in time; only this router's own knowledge is used.
    Fallback,
}

/// A message between the parts of the index.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum ShardMessage {
    /// Changed entries.
    Entries {
        /// The number of the message among those from this sender to this receiver.
        sequence: u64,
        /// The encoded [`EntryBatch`](crate::EntryBatch).
        #[serde(with = "godwitroad_base::byte_string")]
        batch: Vec<u8>,
    },
    /// Everything that the sender reads from engines, as far as the receiver holds it.
    Snapshot {
        /// The number that the next [`ShardMessage::Entries`] carries.
        sequence: u64,
        /// The encoded [`EntryBatch`](crate::EntryBatch).
        #[serde(with = "godwitroad_base::byte_string")]
        batch: Vec<u8>,
    },
    /// Entries from a router that stops.
    #[serde(rename = "HandOver")]
    Handoff {
        /// The encoded [`EntryBatch`](crate::EntryBatch).
        #[serde(with = "godwitroad_base::byte_string")]
        batch: Vec<u8>,
    },
    /// The sender wants a [`ShardMessage::Snapshot`].
    #[serde(rename = "AskSnapshot")]
    RequestSnapshot,
    /// A lookup.
    Lookup {
        /// The number of the lookup at the sender.
        token: u64,
        /// The blocks in their short form.
        #[serde(rename = "pieces")]
        blocks: Vec<u64>,
    },
    /// The answer to a lookup; targets that hold nothing are left out.
    Reply {
        /// The number of the lookup.
        token: u64,
        /// The matches.
        matches: Vec<TargetMatch>,
    },
}

impl ShardMessage {
    /// Returns the length of the message on the wire, without the transport's frame.
    pub fn bytes(&self) -> usize {
        match self {
            ShardMessage::Entries { batch, .. } | ShardMessage::Snapshot { batch, .. } => {
                16 + batch.len()
            }
            ShardMessage::Handoff { batch } => 8 + batch.len(),
            ShardMessage::RequestSnapshot => 1,
            ShardMessage::Lookup { blocks, .. } => 16 + 8 * blocks.len(),
            ShardMessage::Reply { matches, .. } => 16 + 12 * matches.len(),
        }
    }
}

/// The longest usable prefix at one target.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct TargetMatch {
    /// The target.
    pub tag: TargetTag,
    /// The number of leading blocks held as far as is known.
    pub usable: u16,
    /// The number of leading blocks that events confirm.
    pub confirmed: u16,
}

/// What a router's part of the index has done so far.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct ShardCounters {
    /// Lookups answered from this router's own entries.
    pub local: u64,
    /// Lookups answered by another router.
    pub remote: u64,
    /// Lookups whose holder did not answer in time.
    pub fallback: u64,
    /// Bytes of forwarded entries.
    pub entry_bytes: u64,
    /// Bytes of snapshots and hand-overs.
    pub snapshot_bytes: u64,
    /// Bytes of lookups and replies.
    pub lookup_bytes: u64,
    /// Lost messages found by their numbers.
    pub lost: u64,
    /// Messages that could not be decoded.
    pub malformed: u64,
}
