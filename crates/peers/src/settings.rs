//! The settings of the links between routers.

use std::{fmt, net::SocketAddr};

use godwitroad_base::{ClockSpan, NodeId, RegionName, VmName};
use serde::{Deserialize, Serialize};

use crate::{proof::PeerSecret, wire::PROTOCOL_VERSION};

/// The protocol versions that a release speaks, both ends included.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct VersionRange {
    /// The oldest version.
    pub lowest: u32,
    /// The newest version.
    pub highest: u32,
}

impl VersionRange {
    /// Returns the newest version in both ranges, or `None` when they have none in common.
    pub fn common(self, other: VersionRange) -> Option<u32> {
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

/// Where a peer listens.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct PeerAddress {
    /// The peer's VM.
    pub vm: VmName,
    /// The region of the VM.
    pub region: RegionName,
    /// The address for peers.
    pub address: SocketAddr,
}

/// The settings of all links of one router.
#[derive(Clone, Debug)]
pub struct PeerSettings {
    /// The process itself.
    pub node: NodeId,
    /// The region of the process.
    pub region: RegionName,
    /// The secret that all routers of the fleet share.
    pub secret: PeerSecret,
    /// The protocol versions that this process speaks.
    pub versions: VersionRange,
    /// The most messages that wait for one peer.
    pub queue_limit: usize,
    /// The most messages in one batch.
    pub batch_limit: usize,
    /// The largest frame that a peer may send, in bytes.
    pub frame_limit_bytes: usize,
    /// The time within which a handshake or a delivery must end.
    pub answer_limit: ClockSpan,
    /// The shortest wait before a reconnect.
    pub backoff_floor: ClockSpan,
    /// The longest wait before a reconnect.
    pub backoff_ceiling: ClockSpan,
    /// The seed of the back-off's jitter.
    pub seed: u64,
}

impl Default for PeerSettings {
    fn default() -> PeerSettings {
        PeerSettings {
            node: NodeId::new("vm-1", 1),
            region: "region-a".into(),
            secret: PeerSecret::new(""),
            versions: VersionRange::default(),
            // At 350,000 cache events/s over 330 nodes a second's worth of index entries, in batches, stays below.
            queue_limit: 4_096,
            batch_limit: 256,
            // A snapshot of an index partition is the largest message.
            frame_limit_bytes: 16 << 20,
            answer_limit: ClockSpan::from_secs(5),
            backoff_floor: ClockSpan::from_ms(50),
            backoff_ceiling: ClockSpan::from_secs(5),
            seed: 1,
        }
    }
}
