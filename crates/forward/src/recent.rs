//! Lines that a router tells its peers for a short time.
//!
//! Notes may be lost, so that a line stands in some of them. Taking one twice must do no harm.

use std::collections::VecDeque;

use godwitroad_base::{ClockSpan, ClockTime};

/// The latest lines.
#[derive(Clone, Debug)]
pub(crate) struct RecentLines<T> {
    lines: VecDeque<(ClockTime, T)>,
    most: usize,
}

impl<T: Clone> RecentLines<T> {
    /// Returns an empty list of at most `most` lines.
    pub(crate) fn new(most: usize) -> RecentLines<T> {
        RecentLines { lines: VecDeque::new(), most }
    }

    /// Adds a line; the oldest one makes room.
    pub(crate) fn push(&mut self, now: ClockTime, line: T) {
        if self.lines.len() >= self.most {
            self.lines.pop_front();
        }
        self.lines.push_back((now, line));
    }

    /// Returns the lines that are younger than `span`.
    pub(crate) fn told(&mut self, now: ClockTime, span: ClockSpan) -> Vec<T> {
        while self.lines.front().is_some_and(|(since, _)| now.since(*since) >= span) {
            self.lines.pop_front();
        }
        self.lines.iter().map(|(_, line)| line.clone()).collect()
    }
}
