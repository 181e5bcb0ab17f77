//! Lines that a router tells its peers for a short time.
//!
//! Notes may be lost, so that a line stands in some of them. Taking one twice must do no harm.

use std::collections::VecDeque;

use godwitroad_base::{ClockSpan, ClockTime};

/// The latest lines.
#[derive(Clone, Debug)]
pub(crate) struct RecentEntries<T> {
    entries: VecDeque<(ClockTime, T)>,
    capacity: usize,
}

impl<T: Clone> RecentEntries<T> {
    /// Returns an empty list of at most `most` lines.
    pub(crate) fn new(capacity: usize) -> RecentEntries<T> {
        RecentEntries { entries: VecDeque::new(), capacity }
    }

    /// Adds a line; the oldest one makes room.
    pub(crate) fn push(&mut self, now: ClockTime, entry: T) {
        if self.entries.len() >= self.capacity {
            self.entries.pop_front();
        }
        self.entries.push_back((now, entry));
    }

    /// Returns the lines that are younger than `span`.
    pub(crate) fn unexpired(&mut self, now: ClockTime, span: ClockSpan) -> Vec<T> {
        while self.entries.front().is_some_and(|(since, _)| now.since(*since) >= span) {
            self.entries.pop_front();
        }
        self.entries.iter().map(|(_, entry)| entry.clone()).collect()
    }
}
