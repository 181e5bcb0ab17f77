//! Settings and counters of a claim table.

use godwitroad_base::{ClockSpan, NodeId};

/// Settings of [`crate::ClaimTable`].
#[derive(Clone, Debug)]
pub struct ClaimSettings {
    /// This process, by which other routers identify the runner of a claim.
    pub node: NodeId,
    /// The time for which claims are batched before they are written.
    pub batch_window: ClockSpan,
    /// The time for which final states and releases are batched, unless an earlier write of claims includes them.
    pub finish_window: ClockSpan,
    /// The time-out for a claim to be confirmed, after which the request is refused as "not run".
    pub claim_timeout: ClockSpan,
    /// The time-out of a claim that was forwarded to the shard's owner, after which this node writes the claim itself.
    pub forward_timeout: ClockSpan,
    /// The time-out of one store operation.
    pub store_timeout: ClockSpan,
    /// The delay after a failure of the store, and between two attempts to record a final state.
    pub retry_delay: ClockSpan,
    /// The minimum time for which a claim is stored after it was written.
    pub retention: ClockSpan,
    /// The maximum number of claims in one slice.
    ///
    /// Each write sends the whole slice: smaller slices reduce the bytes of a write, larger ones the number of slices.
    /// With answers of 2 KB, a slice of 256 claims is smaller than 700 KB and thus within the store's limit.
    pub max_slice_records: usize,
    /// The maximum age of the view of a shard when a slice is created; an older view is read again before.
    pub max_view_age: ClockSpan,
    /// The idle time after which the view of a shard is dropped.
    pub view_idle_timeout: ClockSpan,
    /// The maximum number of sealed slices of a shard that are cached in full.
    pub max_loaded_slices: usize,
    /// The maximum number of requests that wait for a claim, hold one or wait for the record of their final state.
    pub max_attempts: usize,
    /// The maximum number of bytes of answer bodies that are cached.
    pub max_body_bytes: usize,
    /// The time-out of fetching an answer body from another VM.
    pub body_timeout: ClockSpan,
    /// The time after which a caller may retry when a claim could not be confirmed.
    pub retry_after: ClockSpan,
}

impl Default for ClaimSettings {
    fn default() -> ClaimSettings {
        ClaimSettings {
            node: NodeId::new("", 0),
            batch_window: ClockSpan::from_ms(10),
            finish_window: ClockSpan::from_ms(1_000),
            claim_timeout: ClockSpan::from_ms(2_000),
            forward_timeout: ClockSpan::from_ms(250),
            store_timeout: ClockSpan::from_ms(1_500),
            retry_delay: ClockSpan::from_ms(500),
            retention: ClockSpan::from_secs(24 * 3_600),
            max_slice_records: 32,
            max_view_age: ClockSpan::from_secs(600),
            view_idle_timeout: ClockSpan::from_secs(1_800),
            max_loaded_slices: 4,
            max_attempts: 16_384,
            max_body_bytes: 16 << 20,
            body_timeout: ClockSpan::from_ms(500),
            retry_after: ClockSpan::from_secs(2),
        }
    }
}

impl ClaimSettings {
    /// Returns the duration of a slice's lease from each renewal.
    ///
    /// It exceeds the retention by [`ClaimSettings::slice_span`], so that the lease of an open slice is renewed once in
    /// that time and not before every write.
    pub fn slice_lease(&self) -> ClockSpan {
        self.retention + self.slice_span()
    }

    /// Returns the time for which a slice accepts claims: an eighth of the retention, but at least 240 s.
    pub fn slice_span(&self) -> ClockSpan {
        ClockSpan::from_ms((self.retention.as_ms() / 8).max(240_000))
    }
}

/// Counters of a claim table since the process started.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct ClaimCounters {
    /// Claims requested for requests that this node received.
    pub claims: u64,
    /// Requests that were allowed to run.
    pub granted: u64,
    /// Requests refused as "not run".
    pub not_run: u64,
    /// Requests that were answered with a recorded answer.
    pub replayed: u64,
    /// Requests refused because another request with the same key is running.
    pub pending: u64,
    /// Requests refused because the outcome of the request that claimed the key is unknown.
    pub unknown: u64,
    /// Requests refused because their key was used with another request digest.
    pub mismatched: u64,
    /// Claims that this node wrote because the owner of the shard did not reply in time.
    pub fallbacks: u64,
    /// Attempts to release the claims of requests that were refused or that definitely didn't run.
    pub releases: u64,
    /// Attempts to write a slice.
    pub writes: u64,
    /// Writes that failed because another writer had changed the slice.
    pub conflicts: u64,
    /// Operations that were part of successful writes.
    pub batched: u64,
    /// Slices that were created.
    pub slices: u64,
    /// Reads that returned a slice which couldn't be decoded.
    pub corrupt: u64,
}

impl ClaimCounters {
    /// Adds the counters of another table to these.
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
