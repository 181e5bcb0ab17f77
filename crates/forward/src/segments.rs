//! Tracks which prompt segments each target has in its cache.
//!
//! A caller declares its prompt as a list of segments ([`PromptPart`]), and engines cache complete segments under a
//! salt that the router sets. The salt contains the version of the weights and the account or the set of isolated accounts, so
//! that a segment computed with other weights or for another isolated account is never reused. Sizes are counted in
//! tokens, as segments differ widely in length.
//!
//! Engines report what they store and evict, late and with gaps. Until a report arrives, the segments that this router
//! has sent to an engine count as cached there; an entry that the engine doesn't confirm in time expires.

use std::collections::BTreeMap;

use godwitroad_base::{ClockSpan, ClockTime};
use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::xxh3_64_with_seed;

/// One segment of a prompt, as the caller declares it.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct PromptPart {
    /// The caller's id for the text; equal ids stand for equal texts.
    pub id: String,
    /// Its length in tokens.
    pub tokens: u64,
}

/// The cache key of a segment: a hash of its id and the salt.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
pub struct SegmentKey(u64);

/// Shared segments of a prompt that a router has just sent to a target, as carried in gossip messages: the target's
/// tag, and the segments with their lengths in tokens.
pub type SentPromptEntry = (u32, Vec<(SegmentKey, u32)>);

impl SegmentKey {
    /// Returns the key of the segment `id` under `salt`.
    pub fn new(salt: &str, id: &str) -> SegmentKey {
        SegmentKey(xxh3_64_with_seed(id.as_bytes(), xxh3_64_with_seed(salt.as_bytes(), 0)))
    }
}

/// One change of an engine's cache, as the engine reports it.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct CacheEvent {
    /// The segment that changed.
    pub key: SegmentKey,
    /// Tokens of the segment that are cached now; 0 if it was evicted.
    pub tokens: u64,
}

/// An engine's answer to a request for its latest cache changes.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct CacheEventBatch {
    /// Identifies the engine's process run; positions start over with each run.
    pub epoch: u64,
    /// The position from which the next request should continue.
    pub next: u64,
    /// Whether changes before these ones are missing.
    pub gap: bool,
    /// The changes, oldest first.
    pub events: Vec<CacheEvent>,
}

#[derive(Clone, Copy, Debug)]
struct CachedSegment {
    tokens: u64,
    // When the holder has computed the segment, so that others can fetch it.
    ready_from: ClockTime,
    // When an unconfirmed entry expires; `None` once the holder has confirmed it.
    unconfirmed_until: Option<ClockTime>,
}

/// The segments that one holder, a target or the shared cache store, has in its cache.
#[derive(Clone, Debug, Default)]
pub struct CachedSegments {
    epoch: Option<u64>,
    segments: BTreeMap<SegmentKey, CachedSegment>,
    // What the holder had confirmed when its changes could no longer be read.
    suspended: Option<SuspendedSegments>,
}

/// Confirmed segments of a holder whose changes can't be read. They count again when its changes are read on from there.
#[derive(Clone, Debug)]
struct SuspendedSegments {
    epoch: u64,
    segments: BTreeMap<SegmentKey, CachedSegment>,
}

/// The position in a holder's cache changes from which its reader goes on.
///
/// It is kept while the holder can't be reached: many readers that begin again with all changes would fill the link that they
/// have just lost the holder on.
#[derive(Clone, Copy, Debug, Default)]
pub struct FeedPosition {
    // The holder's process run, and the position after the last change that was read.
    last: Option<(u64, u64)>,
}

/// How long a segment that was sent to an engine counts as cached without the engine's confirmation.
const UNCONFIRMED_SPAN: ClockSpan = ClockSpan::from_ms(3_000);

/// Replaces [`UNCONFIRMED_SPAN`] for an engine whose events this router doesn't read. The operator counts a segment
/// that is computed twice within this span as recomputed.
const UNREAD_UNCONFIRMED_SPAN: ClockSpan = ClockSpan::from_secs(10);

/// The time in which an engine processes a prompt of typical length.
const PREFILL_SPAN: ClockSpan = ClockSpan::from_ms(120);

/// Limit of tracked segments for each holder; today's engines cache a few hundred.
const MAX_SEGMENTS: usize = 8_192;

impl FeedPosition {
    /// Returns the position from which changes are read, or `None` for all that the holder has.
    pub fn since(&self) -> Option<u64> {
        self.last.map(|(_, next)| next)
    }

    /// Records the answer to a read from this position. Returns whether changes may be missing before those of the answer,
    /// as the holder has restarted and the position is one of its earlier run; the next read begins with all changes.
    pub fn record(&mut self, batch: &CacheEventBatch) -> bool {
        let has_restarted = self.last.is_some_and(|(epoch, _)| epoch != batch.epoch);
        self.last = (!has_restarted).then_some((batch.epoch, batch.next));
        has_restarted
    }
}

impl CachedSegments {
    /// Handles that the holder's changes can't be read. Nothing counts as cached until they are read again.
    pub fn suspend(&mut self) {
        let mut segments = std::mem::take(&mut self.segments);
        if let Some(epoch) = self.epoch.take() {
            segments.retain(|_, segment| segment.unconfirmed_until.is_none());
            self.suspended = Some(SuspendedSegments { epoch, segments });
        }
    }

    /// Returns whether the holder's changes can't be read.
    pub fn is_suspended(&self) -> bool {
        self.suspended.is_some()
    }

    /// Applies the changes that a holder reported.
    pub fn apply(&mut self, batch: &CacheEventBatch) {
        if let Some(suspended) = self.suspended.take().filter(|s| s.epoch == batch.epoch) {
            self.epoch = Some(suspended.epoch);
            self.segments.extend(suspended.segments);
        }
        let restarted = self.epoch.is_some_and(|epoch| epoch != batch.epoch);
        // After a gap, a known segment may have been evicted unnoticed; only later reports count.
        if restarted || batch.gap {
            self.segments.clear();
        }
        self.epoch = Some(batch.epoch);
        for event in &batch.events {
            if event.tokens == 0 {
                self.segments.remove(&event.key);
            } else if self.segments.len() < MAX_SEGMENTS || self.segments.contains_key(&event.key) {
                let ready_from = ClockTime::ZERO;
                let segment =
                    CachedSegment { tokens: event.tokens, ready_from, unconfirmed_until: None };
                self.segments.insert(event.key, segment);
            }
        }
    }

    /// Records segments that a request sent to the holder will leave in its cache.
    pub fn record_sent(&mut self, now: ClockTime, segments: &[(SegmentKey, u64)]) {
        let span = if self.epoch.is_some() { UNCONFIRMED_SPAN } else { UNREAD_UNCONFIRMED_SPAN };
        for &(key, tokens) in segments {
            let has_room = self.segments.len() < MAX_SEGMENTS;
            match self.segments.get_mut(&key) {
                Some(segment) if segment.tokens >= tokens => {
                    segment.unconfirmed_until =
                        segment.unconfirmed_until.map(|until| until.max(now + span));
                }
                None if !has_room => {}
                Some(_) | None => {
                    let ready_from = now + PREFILL_SPAN;
                    let unconfirmed_until = Some(now + span);
                    self.segments
                        .insert(key, CachedSegment { tokens, ready_from, unconfirmed_until });
                }
            }
        }
    }

    /// Removes all entries, because the holder has lost its cache.
    pub fn clear(&mut self) {
        self.segments.clear();
        if let Some(suspended) = &mut self.suspended {
            suspended.segments.clear();
        }
    }

    /// Removes entries that the holder didn't confirm in time.
    pub fn expire(&mut self, now: ClockTime) {
        self.segments
            .retain(|_, segment| segment.unconfirmed_until.is_none_or(|until| now < until));
    }

    /// Returns how many tokens from the start of a prompt the holder has cached.
    pub fn cached_tokens(&self, chain: &[(SegmentKey, u64)]) -> u64 {
        let mut sum = 0;
        for (key, tokens) in chain {
            let Some(segment) = self.segments.get(key) else { break };
            sum += segment.tokens.min(*tokens);
            if segment.tokens < *tokens {
                break;
            }
        }
        sum
    }

    /// Returns how many tokens from the start of a prompt others can fetch from the holder now: those that it
    /// confirmed, and those that it has had time to compute.
    pub fn fetchable_tokens(&self, now: ClockTime, chain: &[(SegmentKey, u64)]) -> u64 {
        let is_ready = |key: &SegmentKey| {
            self.segments.get(key).is_some_and(|segment| now >= segment.ready_from)
        };
        let count = chain.iter().take_while(|(key, _)| is_ready(key)).count();
        self.cached_tokens(&chain[..count])
    }
}
