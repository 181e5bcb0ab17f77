//! Settings and counters of the distribution.
//!
//! The defaults are derived from the time in which a change must be in force on all nodes: two seconds at today's size
//! of the fleet, sixteen at full size.

use godwitroad_base::{ClockSpan, VmName, ZoneName};

/// Settings of [`crate::ConfigSync`].
#[derive(Clone, Debug)]
pub struct SyncSettings {
    /// The VM on which this node runs.
    pub vm: VmName,
    /// The zone of this node.
    pub zone: ZoneName,
    /// The number of VMs in each zone that watch the head.
    pub watchers: usize,
    /// The time without contact after which a watcher reads the head; it limits how long a stalled watch goes
    /// unnoticed.
    pub head_read_interval: ClockSpan,
    /// The age of the zone's latest contact with the store from which any node of the zone reads the head.
    pub fallback_after: ClockSpan,
    /// The time that the second watcher waits for the first to fetch a new generation, so that a zone fetches it once.
    pub second_watcher_delay: ClockSpan,
    /// The additional delay of the second watcher for each missing chunk: 64 KB take 26 ms on a link of 20 Mbit/s.
    pub delay_per_chunk: ClockSpan,
    /// The time after which a request to a peer counts as unanswered.
    pub peer_timeout: ClockSpan,
    /// The number of unanswered status requests after which a starting node considers a peer unreachable.
    pub startup_query_limit: u32,
    /// The time between two status requests of a starting node to the same peer.
    pub startup_query_period: ClockSpan,
    /// The mean time between two status requests to random peers.
    pub anti_entropy_period: ClockSpan,
    /// The timeout of a read of the store.
    pub store_timeout: ClockSpan,
    /// The largest age at which a peer's status counts as current.
    pub max_status_age: ClockSpan,
}

impl Default for SyncSettings {
    fn default() -> SyncSettings {
        SyncSettings {
            vm: "".into(),
            zone: "".into(),
            watchers: 2,
            head_read_interval: ClockSpan::from_secs(5),
            fallback_after: ClockSpan::from_secs(12),
            second_watcher_delay: ClockSpan::from_ms(300),
            delay_per_chunk: ClockSpan::from_ms(50),
            peer_timeout: ClockSpan::from_ms(300),
            startup_query_limit: 4,
            startup_query_period: ClockSpan::from_ms(400),
            anti_entropy_period: ClockSpan::from_secs(5),
            store_timeout: ClockSpan::from_secs(2),
            max_status_age: ClockSpan::from_secs(10),
        }
    }
}

/// Counters of [`crate::ConfigSync`].
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct SyncCounters {
    /// Generations that came into force.
    pub installed: u64,
    /// Generations that the router refused as invalid.
    pub refused: u64,
    /// Chunks received from peers in the node's zone.
    pub chunks_from_zone: u64,
    /// Chunks received from peers in other zones.
    pub chunks_from_other_zones: u64,
    /// Chunks read from the store.
    pub chunks_from_store: u64,
    /// Chunks and heads sent to peers.
    pub served: u64,
    /// Requests to peers that timed out.
    pub peer_timeouts: u64,
    /// Received chunks that were not missing: not requested, duplicates, or of a superseded generation.
    pub chunks_discarded: u64,
    /// Assembled documents whose digest differs from the digest in their head, and heads that couldn't be parsed.
    pub corrupt: u64,
    /// Statuses of peers with the same generation as this node but another digest; this happens only if the store lost
    /// data.
    pub conflicting_digests: u64,
    /// Reads of the head by a node that isn't a watcher, because the zone's watchers had no contact with the store.
    pub fallback_reads: u64,
}
