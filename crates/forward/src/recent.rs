//! Entries that count for a short time, such as those that a router repeats in its gossip messages.
//!
//! Messages may be lost, so each entry is sent in more than one. Receiving an entry twice must have no further effect.

use std::collections::VecDeque;

use godwitroad_base::{ClockSpan, ClockTime};

/// The latest entries with the time at which each was added, oldest first.
#[derive(Clone, Debug)]
pub(crate) struct RecentEntries<T> {
    entries: VecDeque<(ClockTime, T)>,
    capacity: usize,
}

impl<T: Clone> RecentEntries<T> {
    /// Returns an empty list that keeps at most `capacity` entries.
    pub(crate) fn new(capacity: usize) -> RecentEntries<T> {
        RecentEntries { entries: VecDeque::new(), capacity }
    }

    /// Adds an entry; a full list drops its oldest one.
    pub(crate) fn push(&mut self, now: ClockTime, entry: T) {
        if self.entries.len() >= self.capacity {
            self.entries.pop_front();
        }
        self.entries.push_back((now, entry));
    }

    /// Removes the entries that are at least `span` old and returns the remaining ones.
    pub(crate) fn unexpired(&mut self, now: ClockTime, span: ClockSpan) -> Vec<T> {
        while self.entries.front().is_some_and(|(since, _)| now.since(*since) >= span) {
            self.entries.pop_front();
        }
        self.entries.iter().map(|(_, entry)| entry.clone()).collect()
    }
}
