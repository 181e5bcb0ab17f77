//! The cache events of one engine, put in order.
//!
//! Events come late, twice, out of order and with gaps. A batch ahead of its turn waits for a short time. If the
//! missing events don't come, anything cached so far may have been evicted unseen: the index is told of the gap,
//! a snapshot is asked for, and the events after the gap still apply.

use std::collections::BTreeMap;

use godwitroad_base::{ClockSpan, ClockTime, Incarnation};
use serde::{Deserialize, Serialize};

use crate::chain::BlockHash;

/// A change of an engine's prefix cache.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum CacheChange {
    /// A block is cached.
    Stored {
        /// The block.
        #[serde(rename = "piece")]
        block: BlockHash,
        /// The block before it, if it isn't the first.
        parent: Option<BlockHash>,
    },
    /// A block was evicted.
    Evicted {
        /// The block.
        #[serde(rename = "piece")]
        block: BlockHash,
    },
    /// The whole cache was emptied.
    Cleared,
}

/// Consecutive events of one engine, or its whole cache.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct FeedBatch {
    /// The incarnation of the engine.
    pub incarnation: Incarnation,
    /// The number of the first event; of a snapshot, the number of the first event that it doesn't cover.
    pub first: u64,
    /// Whether the changes list the whole cache.
    pub snapshot: bool,
    /// The changes.
    pub changes: Vec<CacheChange>,
}

/// What the feed asks of the index and of the engine's reader.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum FeedAction {
    /// The engine restarted: nothing known of it is left.
    Restarted(Incarnation),
    /// Events are missing: entries so far are unconfirmed.
    Gap,
    /// A snapshot begins: entries so far are replaced by the changes that follow.
    Replace,
    /// One change.
    Change(CacheChange),
    /// Read a snapshot from the engine.
    RequestSnapshot,
}

/// The settings of a feed.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct FeedSettings {
    /// The time for which later events wait for missing ones.
    pub reorder_wait: ClockSpan,
    /// The number of batches that wait at most.
    pub reorder_batches: usize,
    /// The time after which an unanswered request for a snapshot is repeated.
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

/// The event stream of one engine.
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
    /// Returns a feed that has seen nothing.
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

    /// Returns the number of the next event in turn, for the `after` of the engine's interface.
    pub fn next_sequence(&self) -> u64 {
        self.next
    }

    /// Returns the number of gaps so far.
    pub fn gaps(&self) -> u64 {
        self.gaps
    }

    /// Returns the number of events dropped as repeated or as those of an earlier incarnation.
    pub fn dropped(&self) -> u64 {
        self.dropped
    }

    /// Takes a batch and pushes what follows from it.
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

    /// Gives up on events that are overdue and repeats an unanswered request for a snapshot.
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
            // The events before the first one seen are gone; only a snapshot can supply them.
            self.next = batch.first;
            self.request_snapshot(now, actions);
        }
    }

    fn take_snapshot(&mut self, batch: FeedBatch, actions: &mut Vec<FeedAction>) {
        if batch.first < self.next {
            // A snapshot from before events that already applied would bring evicted blocks back.
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
