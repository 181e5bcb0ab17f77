//! The parts of prompts whose answers were complete a short time ago.

use std::collections::BTreeSet;

use godwitroad_base::{ClockSpan, ClockTime};

use crate::PartKey;

/// Limit of parts in each of the two sets. When the newer set is full, the older one is dropped early, so that parts are
/// protected for a shorter time.
const MAX_COMPLETIONS: usize = 4_096;

/// Parts with a recent complete answer, in two sets of which the older one is dropped as a whole, so that no part needs
/// a time of its own.
#[derive(Clone, Debug, Default)]
pub(crate) struct CompletionLog {
    newer: BTreeSet<PartKey>,
    older: BTreeSet<PartKey>,
    newer_since: ClockTime,
}

impl CompletionLog {
    /// Adds parts; they are in the log for one to two times `span`.
    pub(crate) fn record(&mut self, now: ClockTime, span: ClockSpan, keys: &[PartKey]) {
        self.rotate(now, span);
        for key in keys {
            if self.newer.len() >= MAX_COMPLETIONS {
                self.older = std::mem::take(&mut self.newer);
                self.newer_since = now;
            }
            self.newer.insert(*key);
        }
    }

    /// Returns whether a part was added a short time ago.
    pub(crate) fn contains(&mut self, now: ClockTime, span: ClockSpan, key: PartKey) -> bool {
        self.rotate(now, span);
        self.newer.contains(&key) || self.older.contains(&key)
    }

    fn rotate(&mut self, now: ClockTime, span: ClockSpan) {
        let age = now.since(self.newer_since);
        if age < span {
            return;
        }
        self.older = std::mem::take(&mut self.newer);
        if age >= span + span {
            self.older.clear();
        }
        self.newer_since = now;
    }
}
