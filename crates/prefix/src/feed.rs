//! Puts the cache events of one engine in order.
//!
//! Events arrive late, twice, out of order and with gaps. A batch that arrives ahead of its turn is buffered for
//! [`FeedSettings::reorder_wait`]. If the missing events don't arrive in that time, an eviction may have been among
//! them. The feed then reports a gap to the index, requests a snapshot, and applies the events after the gap.

use std::collections::BTreeMap;

use godwitroad_base::{ClockSpan, ClockTime, Incarnation};
use serde::{Deserialize, Serialize};

use crate::chain::BlockHash;

/// A change of the prefix cache of an engine.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum CacheChange {
    /// A block was cached.
    Stored {
        /// The hash of the block; the serialized name is `piece`.
        #[serde(rename = "piece")]
        block: BlockHash,
        /// The hash of the preceding block of the prompt, or `None` for the first block.
        parent: Option<BlockHash>,
    },
    /// A block was evicted.
    Evicted {
        /// The hash of the block; the serialized name is `piece`.
        #[serde(rename = "piece")]
        block: BlockHash,
    },
    /// All blocks were removed.
    Cleared,
}

/// Consecutive events of one engine, or a snapshot of its cache.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct FeedBatch {
    /// The incarnation of the engine, which grows with each restart.
    pub incarnation: Incarnation,
    /// The sequence number of the first event; in a snapshot, that of the first event that it doesn't include.
    pub first: u64,
    /// Whether the changes list the complete cache.
    pub snapshot: bool,
    /// The changes in the order of their sequence numbers.
    pub changes: Vec<CacheChange>,
}

/// An action that the index or the reader of the engine must take.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum FeedAction {
    /// The engine restarted in this incarnation; all earlier entries are invalid.
    Restarted(Incarnation),
    /// Events are missing; all earlier entries are unconfirmed.
    Gap,
    /// A snapshot begins; the changes that follow replace all earlier entries.
    Replace,
    /// Apply one change to the index.
    Change(CacheChange),
    /// Read a snapshot of the cache from the engine.
    RequestSnapshot,
}

/// The settings of an event feed.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct FeedSettings {
    /// The time for which later events are buffered while earlier ones are missing.
    pub reorder_wait: ClockSpan,
    /// The maximum number of buffered batches.
    pub reorder_batches: usize,
    /// The interval at which an unanswered request for a snapshot is repeated.
    pub snapshot_retry: ClockSpan,
}

impl Default for FeedSettings {
    fn default() -> FeedSettings {
        FeedSettings {
            reorder_wait: ClockSpan::from_ms(100),
            reorder_batches: 64,
            snapshot_retry: ClockSpan::from_secs(1),
        }
    }
}

/// The cache events of one engine in order, with duplicates removed and gaps detected.
#[derive(Clone, Debug)]
pub struct EventFeed {
    settings: FeedSettings,
    incarnation: Option<Incarnation>,
    next: u64,
    pending: BTreeMap<u64, Vec<CacheChange>>,
    pending_since: Option<ClockTime>,
    requested_at: Option<ClockTime>,
    gaps: u64,
    dropped: u64,
}

impl EventFeed {
    /// Returns a feed that has received no events.
    pub fn new(settings: FeedSettings) -> EventFeed {
        EventFeed {
            settings,
            incarnation: None,
            next: 0,
            pending: BTreeMap::new(),
            pending_since: None,
            requested_at: None,
            gaps: 0,
            dropped: 0,
        }
    }

    /// Returns the sequence number of the next expected event, for the parameter `after` of the engine's interface.
    pub fn next_sequence(&self) -> u64 {
        self.next
    }

    /// Returns the number of gaps detected since the feed was created.
    pub fn gaps(&self) -> u64 {
        self.gaps
    }

    /// Returns the number of events dropped as duplicates, as outdated snapshots or as those of an earlier incarnation.
    pub fn dropped(&self) -> u64 {
        self.dropped
    }

    /// Receives a batch and appends the resulting actions to `actions`.
    pub fn receive(&mut self, now: ClockTime, batch: FeedBatch, actions: &mut Vec<FeedAction>) {
        if self.incarnation.is_some_and(|current| batch.incarnation < current) {
            self.dropped += batch.changes.len() as u64;
            return;
        }
        if self.incarnation != Some(batch.incarnation) {
            self.restart(now, &batch, actions);
        }
        if batch.snapshot {
            self.take_snapshot(batch, actions);
        } else if batch.first > self.next {
            self.pending_since.get_or_insert(now);
            let longer = |queued: &Vec<CacheChange>| queued.len() >= batch.changes.len();
            if !self.pending.get(&batch.first).is_some_and(longer) {
                self.pending.insert(batch.first, batch.changes);
            }
            if self.pending.len() > self.settings.reorder_batches {
                self.close_gap(now, actions);
            }
        } else {
            self.apply(batch.first, &batch.changes, actions);
        }
        self.apply_pending(actions);
    }

    /// Declares overdue events a gap and repeats an unanswered request for a snapshot.
    pub fn tick(&mut self, now: ClockTime, actions: &mut Vec<FeedAction>) {
        if self.pending_since.is_some_and(|since| now.since(since) >= self.settings.reorder_wait) {
            self.close_gap(now, actions);
            self.apply_pending(actions);
        }
        if self
            .requested_at
            .is_some_and(|requested_at| now.since(requested_at) >= self.settings.snapshot_retry)
        {
            self.requested_at = Some(now);
            actions.push(FeedAction::RequestSnapshot);
        }
    }

    fn restart(&mut self, now: ClockTime, batch: &FeedBatch, actions: &mut Vec<FeedAction>) {
        self.incarnation = Some(batch.incarnation);
        self.next = 0;
        self.pending.clear();
        self.pending_since = None;
        self.requested_at = None;
        actions.push(FeedAction::Restarted(batch.incarnation));
        if !batch.snapshot && batch.first > 0 {
            // The engine doesn't send the events before the first received one again; a snapshot replaces them.
            self.next = batch.first;
            self.request_snapshot(now, actions);
        }
    }

    fn take_snapshot(&mut self, batch: FeedBatch, actions: &mut Vec<FeedAction>) {
        if batch.first < self.next {
            // A snapshot older than events that were already applied would restore evicted blocks.
            self.dropped += batch.changes.len() as u64;
            return;
        }
        self.requested_at = None;
        self.next = batch.first;
        actions.push(FeedAction::Replace);
        actions.extend(batch.changes.into_iter().map(FeedAction::Change));
        while let Some((&first, changes)) = self.pending.first_key_value() {
            if first + changes.len() as u64 > self.next {
                break;
            }
            self.pending.pop_first();
        }
    }

    fn apply(&mut self, first: u64, changes: &[CacheChange], actions: &mut Vec<FeedAction>) {
        let repeated = (self.next - first).min(changes.len() as u64);
        self.dropped += repeated;
        let new_changes = &changes[repeated as usize..];
        self.next += new_changes.len() as u64;
        actions.extend(new_changes.iter().copied().map(FeedAction::Change));
    }

    fn apply_pending(&mut self, actions: &mut Vec<FeedAction>) {
        while let Some(entry) = self.pending.first_entry() {
            if *entry.key() > self.next {
                return;
            }
            let (first, changes) = entry.remove_entry();
            self.apply(first, &changes, actions);
        }
        self.pending_since = None;
    }

    fn close_gap(&mut self, now: ClockTime, actions: &mut Vec<FeedAction>) {
        let Some((&first, _)) = self.pending.first_key_value() else { return };
        self.gaps += 1;
        self.next = first;
        self.pending_since = Some(now);
        actions.push(FeedAction::Gap);
        self.request_snapshot(now, actions);
    }

    fn request_snapshot(&mut self, now: ClockTime, actions: &mut Vec<FeedAction>) {
        if self.requested_at.is_none() {
            self.requested_at = Some(now);
            actions.push(FeedAction::RequestSnapshot);
        }
    }
}
