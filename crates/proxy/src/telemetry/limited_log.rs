//! Log lines of events that callers bring about, which must not fill the log.

use std::{cell::RefCell, collections::BTreeMap};

use tokio::time::{Duration, Instant};

use super::NodeLog;

/// The shortest time between two lines of the same event.
const LINE_INTERVAL: Duration = Duration::from_secs(1);

/// A log that writes one line of an event in [`LINE_INTERVAL`], with the number of those that it left out before.
#[derive(Debug)]
pub(crate) struct LimitedLog {
    log: NodeLog,
    lines: RefCell<BTreeMap<&'static str, EventLines>>,
}

/// The lines of one event.
#[derive(Debug, Default)]
struct EventLines {
    last: Option<Instant>,
    left_out: usize,
}

impl EventLines {
    // Returns how many lines were left out before this one, or `None` to leave this one out.
    fn write(&mut self, now: Instant) -> Option<usize> {
        if self.last.is_some_and(|last| now - last < LINE_INTERVAL) {
            self.left_out += 1;
            return None;
        }
        self.last = Some(now);
        Some(std::mem::take(&mut self.left_out))
    }
}

impl LimitedLog {
    /// Returns a log without lines.
    pub(crate) fn new(log: NodeLog) -> LimitedLog {
        LimitedLog { log, lines: RefCell::default() }
    }

    /// Logs an event at warning level, unless it was logged just before.
    pub(crate) fn warn(&self, event: &'static str, detail: &str) {
        let left_out = self.lines.borrow_mut().entry(event).or_default().write(Instant::now());
        if let Some(left_out) = left_out {
            self.log.warn(event, &format!("{detail} left_out={left_out}"));
        }
    }
}

#[cfg(test)]
#[path = "../../tests/unit/limited_log.rs"]
mod tests;
