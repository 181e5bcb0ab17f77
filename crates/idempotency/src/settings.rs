//! Settings and counters of the claims.

use godwitroad_base::{ClockSpan, NodeId};

/// Settings of [`crate::ClaimTable`].
#[derive(Clone, Debug)]
pub struct ClaimSettings {
    /// The own process.
    pub node: NodeId,
    /// The time for which claims are collected before they are written.
    pub window: ClockSpan,
    /// The time for which ends and releases are collected when no claim is written.
    pub finish_window: ClockSpan,
    /// The time within which a claim must be certain; after it the request is refused as "not run".
    pub claim_wait: ClockSpan,
    /// The time after which a claim that was forwarded is written by the own node.
    pub forward_wait: ClockSpan,
    /// The time that one operation on the store may take.
    pub store_wait: ClockSpan,
    /// The pause after the store failed, and between two attempts to record an end.
    pub retry: ClockSpan,
    /// The time for which a claim is kept after it was written.
    pub retention: ClockSpan,
    /// The largest number of claims in one slice.
    ///
    /// Each write carries the whole slice, so that a smaller slice costs fewer bytes and a larger one fewer slices.
    /// With answers of 2 KB a slice of 256 is still below 700 KB, and so below the store's limit.
    pub slice_records: usize,
    /// The age of a view of a shard from which it is read again before a slice is created.
    pub view_age: ClockSpan,
    /// The time after which the unused view of a shard is dropped.
    pub view_idle: ClockSpan,
    /// The number of sealed slices of a shard that stay in memory in full.
    pub loaded_slices: usize,
    /// The largest number of requests that wait for a claim or hold one.
    pub max_attempts: usize,
    /// The bytes of answers that are held in memory.
    pub body_bytes: usize,
    /// The time for which a body is waited for.
    pub body_wait: ClockSpan,
    /// The time after which a caller may try again when the store is unavailable.
    pub retry_after: ClockSpan,
}

impl Default for ClaimSettings {
    fn default() -> ClaimSettings {
        ClaimSettings {
            node: NodeId::new("", 0),
            window: ClockSpan::from_ms(10),
            finish_window: ClockSpan::from_ms(1_000),
            claim_wait: ClockSpan::from_ms(2_000),
            forward_wait: ClockSpan::from_ms(250),
            store_wait: ClockSpan::from_ms(1_500),
            retry: ClockSpan::from_ms(500),
            retention: ClockSpan::from_secs(24 * 3_600),
            slice_records: 32,
            view_age: ClockSpan::from_secs(600),
            view_idle: ClockSpan::from_secs(1_800),
            loaded_slices: 4,
            max_attempts: 16_384,
            body_bytes: 16 << 20,
            body_wait: ClockSpan::from_ms(500),
            retry_after: ClockSpan::from_secs(2),
        }
    }
}

impl ClaimSettings {
    /// Returns the lifetime of a slice's lease after a renewal.
    ///
    /// It exceeds the retention by an eighth, so that an open slice is renewed once in that eighth and not before
    /// every write.
    pub fn lease(&self) -> ClockSpan {
        self.retention + self.span()
    }

    /// Returns the time for which a slice takes claims.
    pub fn span(&self) -> ClockSpan {
        ClockSpan::from_ms((self.retention.as_ms() / 8).max(240_000))
    }
}

/// The counters of the claims.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct ClaimCounters {
    /// Claims asked for by the own node's requests.
    pub claims: u64,
    /// Requests that were told to run.
    pub granted: u64,
    /// Requests refused as "not run".
    pub not_run: u64,
    /// Requests answered with a recorded answer.
    pub replayed: u64,
    /// Requests refused because another one with the same key runs.
    pub pending: u64,
    /// Requests refused because the outcome of the key's request is unknown.
    pub unknown: u64,
    /// Requests refused because their key was used for another request.
    pub mismatched: u64,
    /// Claims that the own node wrote although another one owns the shard.
    pub fallbacks: u64,
    /// Claims written or removed for requests that had been refused meanwhile.
    pub releases: u64,
    /// Writes of slices.
    pub writes: u64,
    /// Writes that met another writer's change.
    pub conflicts: u64,
    /// Pieces of work in writes that took effect.
    pub batched: u64,
    /// Slices created.
    pub slices: u64,
    /// Slices that couldn't be read.
    pub corrupt: u64,
}

impl ClaimCounters {
    /// Adds the counters of another table.
    pub fn add(&mut self, other: &ClaimCounters) {
        let sums = [
            (&mut self.claims, other.claims),
            (&mut self.granted, other.granted),
            (&mut self.not_run, other.not_run),
            (&mut self.replayed, other.replayed),
            (&mut self.pending, other.pending),
            (&mut self.unknown, other.unknown),
            (&mut self.mismatched, other.mismatched),
            (&mut self.fallbacks, other.fallbacks),
            (&mut self.releases, other.releases),
            (&mut self.writes, other.writes),
            (&mut self.conflicts, other.conflicts),
            (&mut self.batched, other.batched),
            (&mut self.slices, other.slices),
            (&mut self.corrupt, other.corrupt),
        ];
        sums.into_iter().for_each(|(sum, value)| *sum += value);
    }
}
