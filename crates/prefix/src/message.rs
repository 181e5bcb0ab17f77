//! Settings, events, actions and messages of an index shard.
//!
//! They are separate from the state machine of the shard, because callers need only these types.

use godwitroad_base::{ClockSpan, TargetName, VmName};
use serde::{Deserialize, Serialize};

use crate::{
    chain::PrefixChain,
    feed::{FeedBatch, FeedSettings},
    matches::{IndexSettings, PrefixMatches},
    wire::TargetTag,
};

/// The settings of an index shard.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct ShardSettings {
    /// The number of routers of the availability zone that hold each partition.
    pub replicas: usize,
    /// The number of routers of each remote index that hold a partition; zero if the fleet is too large for regions to
    /// exchange entries.
    ///
    /// Any other value should equal `replicas`, because each replica answers lookups from its own entries.
    pub remote_replicas: usize,
    /// The interval at which collected changes are forwarded to the holders of their partitions.
    pub forward_window: ClockSpan,
    /// The timeout of a lookup at another router.
    pub lookup_wait: ClockSpan,
    /// The time for which no lookup is sent to a router that didn't answer one.
    pub suspect_span: ClockSpan,
    /// The time after which a router that joins counts as ready without the entries of all peers.
    pub initial_sync_wait: ClockSpan,
    /// The settings of the local index.
    pub index: IndexSettings,
    /// The settings of the event feeds of the engines.
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

/// An event for an index shard.
#[derive(Clone, Debug)]
pub enum ShardEvent {
    /// The targets of the services in the availability zone, from the configuration.
    Targets(Vec<TargetName>),
    /// The serving routers of the availability zone, from the roster; this router is included while it serves.
    Members(Vec<VmName>),
    /// The serving routers of other availability zones or regions whose requests may be sent to the engines that this
    /// router reads, one list for each of their indexes.
    RemoteMembers(Vec<Vec<VmName>>),
    /// Cache events arrived from an engine that this router reads.
    Cache {
        /// The target whose engine sent the events.
        target: TargetName,
        /// Consecutive events, or a snapshot of the cache.
        batch: FeedBatch,
    },
    /// This router no longer reads the events of an engine.
    StopReading(TargetName),
    /// The cached prefixes of a prompt are requested.
    Lookup {
        /// The identifier of the lookup chosen by the caller, repeated in [`ShardAction::Found`].
        token: u64,
        /// The hashes of the blocks of the prompt.
        chain: PrefixChain,
    },
    /// A request was dispatched to a target.
    Dispatched {
        /// The target that computes the prompt.
        target: TargetName,
        /// The hashes of the blocks of the prompt.
        chain: PrefixChain,
    },
    /// A peer sent a message.
    Message {
        /// The router that sent the message.
        from: VmName,
        /// The message from the shard of that router.
        message: ShardMessage,
    },
    /// The router is about to stop; its entries must be handed off.
    Stop,
    /// Periodic call that drives time-outs.
    Tick,
}

/// An action that the caller of an index shard must take.
#[derive(Clone, Debug)]
pub enum ShardAction {
    /// Send a message to a peer.
    Send {
        /// The router that must receive the message.
        to: VmName,
        /// The message for the shard of that router.
        message: ShardMessage,
    },
    /// Report the answer to a lookup.
    Found {
        /// The identifier of the lookup.
        token: u64,
        /// The longest cached prefix at each target.
        matches: PrefixMatches,
        /// The source of the answer.
        source: LookupSource,
    },
    /// Read a snapshot of the cache of an engine.
    RequestSnapshot(TargetName),
    /// Treat the shard as ready: the entries of all peers have arrived, or [`ShardSettings::initial_sync_wait`] has
    /// expired.
    Ready,
    /// Continue the stop of the router: the messages that hand off all entries precede this action.
    HandoffComplete,
}

/// The source of the answer to a lookup.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum LookupSource {
    /// This router holds the partition and answered from its own entries.
    Local,
    /// Another router holds the partition and answered.
    Remote,
    /// No holder of the partition answered in time; the answer covers only the entries of this router.
    Fallback,
}

/// A message between index shards.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum ShardMessage {
    /// Changes of entries since the previous message.
    Entries {
        /// The sequence number of the message from this sender to this receiver.
        sequence: u64,
        /// The encoded [`EntryBatch`](crate::EntryBatch).
        #[serde(with = "godwitroad_base::byte_string")]
        batch: Vec<u8>,
    },
    /// All entries of the engines that the sender reads in the partitions that the receiver holds.
    Snapshot {
        /// The sequence number of the next [`ShardMessage::Entries`] from this sender.
        sequence: u64,
        /// The encoded [`EntryBatch`](crate::EntryBatch).
        #[serde(with = "godwitroad_base::byte_string")]
        batch: Vec<u8>,
    },
    /// The entries of a router that stops.
    #[serde(rename = "HandOver")]
    Handoff {
        /// The encoded [`EntryBatch`](crate::EntryBatch).
        #[serde(with = "godwitroad_base::byte_string")]
        batch: Vec<u8>,
    },
    /// A request for a [`ShardMessage::Snapshot`].
    #[serde(rename = "AskSnapshot")]
    RequestSnapshot,
    /// A request for the matches of a prompt.
    Lookup {
        /// The identifier of the lookup at the sender.
        token: u64,
        /// The short hashes of the blocks.
        #[serde(rename = "pieces")]
        blocks: Vec<u64>,
    },
    /// The answer to a lookup; targets without a match are omitted.
    Reply {
        /// The identifier of the lookup.
        token: u64,
        /// The match at each target that has cached a prefix.
        matches: Vec<TargetMatch>,
    },
}

impl ShardMessage {
    /// Returns the estimated length of the message in bytes, without the frame of the transport.
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

/// The longest cached prefix of a prompt at one target.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct TargetMatch {
    /// The hash of the name of the target.
    pub tag: TargetTag,
    /// The number of leading blocks that are cached, counting unconfirmed and provisional entries.
    pub usable: u16,
    /// The number of leading blocks that events have confirmed.
    pub confirmed: u16,
}

/// The counters of an index shard since its creation.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct ShardCounters {
    /// Lookups for partitions that this router holds.
    pub local: u64,
    /// Lookups answered by another router.
    pub remote: u64,
    /// Lookups that no holder of the partition answered in time.
    pub fallback: u64,
    /// Bytes of [`ShardMessage::Entries`] sent.
    pub entry_bytes: u64,
    /// Bytes of [`ShardMessage::Snapshot`] and [`ShardMessage::Handoff`] sent.
    pub snapshot_bytes: u64,
    /// Bytes of [`ShardMessage::Lookup`] and [`ShardMessage::Reply`] sent.
    pub lookup_bytes: u64,
    /// Gaps found in the sequence numbers of received messages.
    pub lost: u64,
    /// Received batches that couldn't be decoded.
    pub malformed: u64,
}
