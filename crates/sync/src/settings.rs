//! Settings and counters of the distribution.
//!
//! The spans follow from the stated times: two seconds at today's size, sixteen at full size.

use godwitroad_base::{ClockSpan, VmName, ZoneName};

/// Settings of [`crate::ConfigSync`].
#[derive(Clone, Debug)]
pub struct SyncSettings {
    /// The own VM.
    pub vm: VmName,
    /// The own zone.
    pub zone: ZoneName,
    /// The number of VMs of a zone that watch the head.
    pub watchers: usize,
    /// The time between two reads of the head by a watcher; it bounds the time for which a silent watch goes unnoticed.
    pub confirm: ClockSpan,
    /// The age of the zone's newest read of the head from which any node of the zone reads it.
    pub substitute_after: ClockSpan,
    /// The time for which the second watcher leaves a new generation to the first, so that a zone fetches it once.
    pub second_wait: ClockSpan,
    /// The time that the first watcher has in addition for each missing chunk: 64 KB take 26 ms on a link of 20 Mbit/s.
    pub chunk_wait: ClockSpan,
    /// The time after which a peer that was asked counts as silent.
    pub peer_timeout: ClockSpan,
    /// The number of queries after which a silent peer counts as unreachable while the node starts.
    pub start_queries: u32,
    /// The time between two such queries.
    pub start_period: ClockSpan,
    /// The time between two queries to a random peer.
    pub entropy_period: ClockSpan,
    /// The time that a read of the store may take.
    pub store_wait: ClockSpan,
    /// The age from which a peer's status says nothing about the present.
    pub status_age: ClockSpan,
}

impl Default for SyncSettings {
    fn default() -> SyncSettings {
        SyncSettings {
            vm: "".into(),
            zone: "".into(),
            watchers: 2,
            confirm: ClockSpan::from_secs(5),
            substitute_after: ClockSpan::from_secs(12),
            second_wait: ClockSpan::from_ms(300),
            chunk_wait: ClockSpan::from_ms(50),
            peer_timeout: ClockSpan::from_ms(300),
            start_queries: 4,
            start_period: ClockSpan::from_ms(400),
            entropy_period: ClockSpan::from_secs(5),
            store_wait: ClockSpan::from_secs(2),
            status_age: ClockSpan::from_secs(10),
        }
    }
}

/// The counters of the distribution.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct SyncCounters {
    /// Generations that came into force.
    pub installed: u64,
    /// Generations that the router refused as invalid.
    pub refused: u64,
    /// Chunks taken from peers of the own zone.
    pub chunks_from_zone: u64,
    /// Chunks taken from peers of other zones.
    pub chunks_from_outside: u64,
    /// Chunks taken from the store.
    pub chunks_from_store: u64,
    /// Chunks and heads given to peers.
    pub served: u64,
    /// Requests to peers that had no answer in time.
    pub peer_timeouts: u64,
    /// Chunks that nobody had asked for, or of a generation that isn't wanted any more.
    pub chunks_unwanted: u64,
    /// Documents that didn't have the digest of their head, and heads that couldn't be read.
    pub corrupt: u64,
    /// Heads of a generation that the node already has, under another digest; never seen unless the store lost data.
    pub forked: u64,
    /// Reads of the head by a node that isn't a watcher, because its watchers had no contact.
    pub substitute_reads: u64,
}
