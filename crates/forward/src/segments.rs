//! Which target holds which parts of prompts.
//!
//! A caller declares its prompt as a list of parts, and engines cache whole parts under a salt that the router sets.
//! The salt names the version of the weights and, for isolated accounts, the account, so that a part made under other
//! weights or for another isolated account is never found. The index counts tokens, as parts differ widely in length.
//!
//! Engines tell what they store and drop, late and with gaps. What this router has sent fills the gap until the
//! engine confirms it; a part that the engine never confirms is forgotten.

use std::collections::BTreeMap;

use godwitroad_base::{ClockSpan, ClockTime};
use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::xxh3_64_with_seed;

/// One part of a prompt as the caller declares it.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct PromptPart {
    /// The identity of its text.
    pub id: String,
    /// Its length in tokens.
    pub tokens: u64,
}

/// The identity of a part under a salt.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
pub struct SegmentKey(u64);

/// Shared parts of a prompt that a router has just sent to a target, as its notes tell it: the target's tag, and the
/// parts with their tokens.
pub type SentPromptEntry = (u32, Vec<(SegmentKey, u32)>);

impl SegmentKey {
    /// Returns the key of a part under a salt.
    pub fn new(salt: &str, id: &str) -> SegmentKey {
        SegmentKey(xxh3_64_with_seed(id.as_bytes(), xxh3_64_with_seed(salt.as_bytes(), 0)))
    }
}

/// A change that an engine tells.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct CacheEvent {
    /// The part.
    pub key: SegmentKey,
    /// Tokens of the part that the engine holds now; 0 when it was dropped.
    pub tokens: u64,
}

/// An answer of an engine to the question for changes.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct CacheEventBatch {
    /// The engine's run; the numbers start anew with each.
    pub epoch: u64,
    /// The position from which to ask next.
    pub next: u64,
    /// Whether changes are missing before these.
    pub gap: bool,
    /// The changes in order.
    pub events: Vec<CacheEvent>,
}

#[derive(Clone, Copy, Debug)]
struct CachedSegment {
    tokens: u64,
    // When the holder must have read it.
    ready_from: ClockTime,
    // Until when an entry without confirmation counts.
    unconfirmed_until: Option<ClockTime>,
}

/// The parts that one holder has.
#[derive(Clone, Debug, Default)]
pub struct CachedSegments {
    epoch: Option<u64>,
    segments: BTreeMap<SegmentKey, CachedSegment>,
}

/// The time for which a part counts that was sent to an engine but not confirmed.
const UNCONFIRMED_SPAN: ClockSpan = ClockSpan::from_ms(3_000);

/// The same for an engine whose events this router doesn't read: the span within which the users count a part that is
/// read again.
const UNREAD_UNCONFIRMED_SPAN: ClockSpan = ClockSpan::from_secs(10);

/// The time in which an engine reads a prompt of usual length.
const PREFILL_SPAN: ClockSpan = ClockSpan::from_ms(120);

/// The most parts that are remembered of one holder; engines of today hold a few hundred.
const MAX_SEGMENTS: usize = 8_192;

impl CachedSegments {
    /// Takes an engine's changes.
    pub fn apply(&mut self, batch: &CacheEventBatch) {
        let restarted = self.epoch.is_some_and(|epoch| epoch != batch.epoch);
        // After a gap an entry may stand for a part that was dropped; only what is told from here on counts.
        if restarted || batch.gap {
            self.segments.clear();
        }
        self.epoch = Some(batch.epoch);
        for event in &batch.events {
            if event.tokens == 0 {
                self.segments.remove(&event.key);
            } else if self.segments.len() < MAX_SEGMENTS || self.segments.contains_key(&event.key) {
                let ready_from = ClockTime::ZERO;
                let part =
                    CachedSegment { tokens: event.tokens, ready_from, unconfirmed_until: None };
                self.segments.insert(event.key, part);
            }
        }
    }

    /// Notes parts that a request will leave at the engine.
    pub fn record_sent(&mut self, now: ClockTime, segments: &[(SegmentKey, u64)]) {
        let span = if self.epoch.is_some() { UNCONFIRMED_SPAN } else { UNREAD_UNCONFIRMED_SPAN };
        for &(key, tokens) in segments {
            let has_room = self.segments.len() < MAX_SEGMENTS;
            match self.segments.get_mut(&key) {
                Some(part) if part.tokens >= tokens => {
                    part.unconfirmed_until =
                        part.unconfirmed_until.map(|until| until.max(now + span));
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

    /// Forgets everything, as the holder has.
    pub fn clear(&mut self) {
        self.segments.clear();
    }

    /// Drops entries that were expected and never confirmed.
    pub fn expire(&mut self, now: ClockTime) {
        self.segments.retain(|_, part| part.unconfirmed_until.is_none_or(|until| now < until));
    }

    /// Returns the tokens at the start of a prompt that the holder has.
    pub fn cached_tokens(&self, chain: &[(SegmentKey, u64)]) -> u64 {
        let mut sum = 0;
        for (key, tokens) in chain {
            let Some(part) = self.segments.get(key) else { break };
            sum += part.tokens.min(*tokens);
            if part.tokens < *tokens {
                break;
            }
        }
        sum
    }

    /// Returns the tokens at the start of a prompt that the holder can already hand on: those that it confirmed, and
    /// those that it must have read by now.
    pub fn fetchable_tokens(&self, now: ClockTime, chain: &[(SegmentKey, u64)]) -> u64 {
        let is_ready =
            |key: &SegmentKey| self.segments.get(key).is_some_and(|part| now >= part.ready_from);
        let count = chain.iter().take_while(|(key, _)| is_ready(key)).count();
        self.cached_tokens(&chain[..count])
    }
}
