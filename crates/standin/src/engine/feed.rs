//! The feed of an engine's cache events: numbered, with a configurable delay and with injected losses.

use std::collections::VecDeque;

use godwitroad_base::{ClockSpan, ClockTime};
use godwitroad_router::{CacheBatch, CacheEvent};

use super::PrefixCache;

#[derive(Debug)]
struct FeedEntry {
    sequence: u64,
    readable_at: ClockTime,
    // `None` if the event is lost.
    event: Option<CacheEvent>,
}

/// A bounded buffer of the most recent cache events.
#[derive(Debug)]
pub(crate) struct CacheFeed {
    entries: VecDeque<FeedEntry>,
    capacity: usize,
    delay: ClockSpan,
    next_sequence: u64,
}

impl CacheFeed {
    pub(crate) fn new(capacity: usize, delay: ClockSpan) -> CacheFeed {
        CacheFeed { entries: VecDeque::new(), capacity, delay, next_sequence: 1 }
    }

    /// Adds events. The first `lose_events` of them get a sequence number but are never delivered.
    pub(crate) fn push(&mut self, now: ClockTime, events: Vec<CacheEvent>, lose_events: &mut u32) {
        for event in events {
            let lost = *lose_events > 0;
            *lose_events = lose_events.saturating_sub(1);
            let event = (!lost).then_some(event);
            let readable_at = now + self.delay;
            self.entries.push_back(FeedEntry { sequence: self.next_sequence, readable_at, event });
            self.next_sequence += 1;
            if self.entries.len() > self.capacity {
                self.entries.pop_front();
            }
        }
    }

    /// Returns the events with sequence numbers above `after` that are readable at `now`, or `None` if there are none yet.
    ///
    /// A reader whose position isn't in the buffer gets a snapshot of the complete cache. The `first` of a snapshot is the
    /// sequence number of the next event.
    pub(crate) fn read(
        &self,
        now: ClockTime,
        after: u64,
        incarnation: u64,
        cache: &PrefixCache,
    ) -> Option<CacheBatch> {
        let oldest = self.entries.front().map_or(self.next_sequence, |entry| entry.sequence);
        if after >= self.next_sequence || after + 1 < oldest {
            let events = cache.snapshot();
            return Some(CacheBatch {
                incarnation,
                first: self.next_sequence,
                snapshot: true,
                events,
            });
        }
        let entries = self.entries.iter();
        let mut entries = entries
            .filter(|entry| entry.sequence > after)
            .take_while(|entry| entry.readable_at <= now)
            .skip_while(|entry| entry.event.is_none())
            .peekable();
        let first = entries.peek()?.sequence;
        // A batch ends at the first lost event, because readers number the events of a batch consecutively from `first`.
        let events = entries.map_while(|entry| entry.event).collect();
        Some(CacheBatch { incarnation, first, snapshot: false, events })
    }
}
