//! The settings of the links between routers.

use std::{fmt, net::SocketAddr};

use godwitroad_base::{ClockSpan, NodeId, RegionName, VmName};
use serde::{Deserialize, Serialize};

use crate::{secret::PeerSecret, wire::PROTOCOL_VERSION};

/// The inclusive range of protocol versions that a release supports.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct VersionRange {
    /// The oldest supported version.
    pub lowest: u32,
    /// The newest supported version.
    pub highest: u32,
}

impl VersionRange {
    /// Returns the newest version in both ranges, or `None` if they have none in common.
    pub fn highest_common(self, other: VersionRange) -> Option<u32> {
        let newest = self.highest.min(other.highest);
        (newest >= self.lowest.max(other.lowest)).then_some(newest)
    }
}

impl Default for VersionRange {
    fn default() -> VersionRange {
        VersionRange { lowest: PROTOCOL_VERSION, highest: PROTOCOL_VERSION }
    }
}

impl fmt::Display for VersionRange {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{}..={}", self.lowest, self.highest)
    }
}

/// The identity and address of a peer.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct PeerAddress {
    /// The VM on which the peer runs.
    pub vm: VmName,
    /// The region of the VM.
    pub region: RegionName,
    /// The address on which the peer accepts links.
    pub address: SocketAddr,
}

/// The settings of all links of one router.
#[derive(Clone, Debug)]
pub struct PeerSettings {
    /// The identity of this process.
    pub node: NodeId,
    /// The region of this process.
    pub region: RegionName,
    /// The secret that all routers of the fleet share.
    pub secret: PeerSecret,
    /// The protocol versions that this process supports.
    pub versions: VersionRange,
    /// The maximum number of messages in the queue of one peer.
    pub queue_capacity: usize,
    /// The maximum number of messages that are taken from a queue at once; they are sent in one or more batches.
    pub max_batch_messages: usize,
    /// The maximum size in bytes of a frame that a peer may send.
    pub max_frame_bytes: usize,
    /// The maximum duration of connecting, of a handshake and of a delivery.
    pub answer_timeout: ClockSpan,
    /// The shortest wait before a reconnect.
    pub min_backoff: ClockSpan,
    /// The longest wait before a reconnect.
    pub max_backoff: ClockSpan,
    /// The seed of the jitter in the waits before reconnects.
    pub seed: u64,
}

impl Default for PeerSettings {
    fn default() -> PeerSettings {
        PeerSettings {
            node: NodeId::new("vm-1", 1),
            region: "region-a".into(),
            secret: PeerSecret::new(""),
            versions: VersionRange::default(),
            // Batched index entries of one second stay below this number at 350,000 cache events/s over 330 nodes.
            queue_capacity: 4_096,
            max_batch_messages: 256,
            // The largest message is a snapshot of an index shard.
            max_frame_bytes: 16 << 20,
            answer_timeout: ClockSpan::from_secs(5),
            min_backoff: ClockSpan::from_ms(50),
            max_backoff: ClockSpan::from_secs(5),
            seed: 1,
        }
    }
}
