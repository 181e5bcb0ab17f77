//! Outages that take several targets at once, whatever requests they have.

use std::collections::VecDeque;

use godwitroad_base::{ClockSpan, ClockTime};

/// The latest crashes of targets.
#[derive(Clone, Debug, Default)]
pub(crate) struct OutageLog {
    crashes: VecDeque<(ClockTime, u32)>,
}

/// The number of targets whose crashes at one moment are an outage. One request crashes one target.
const OUTAGE_TARGETS: usize = 3;

/// The time within which crashes are at one moment. It covers the delay of reports between regions.
pub(crate) const MOMENT: ClockSpan = ClockSpan::from_ms(25);

/// Limit of crashes that are kept.
const MAX_CRASHES: usize = 128;

impl OutageLog {
    /// Adds a crash that isn't known.
    pub(crate) fn record(&mut self, target: u32, at: ClockTime) {
        if self.targets_at(at).any(|known| known == target) {
            return;
        }
        if self.crashes.len() >= MAX_CRASHES {
            self.crashes.pop_front();
        }
        self.crashes.push_back((at, target));
    }

    /// Returns the targets of the outage to which a crash at this time belongs; `None` if there was none.
    pub(crate) fn outage_at(&self, at: ClockTime) -> Option<impl Iterator<Item = u32>> {
        (self.targets_at(at).count() >= OUTAGE_TARGETS).then(|| self.targets_at(at))
    }

    fn targets_at(&self, at: ClockTime) -> impl Iterator<Item = u32> {
        let near = self.crashes.iter().filter(move |(other, _)| distance(*other, at) <= MOMENT);
        near.map(|(_, target)| *target)
    }
}

/// Returns the time between two moments in either order.
pub(crate) fn distance(left: ClockTime, right: ClockTime) -> ClockSpan {
    left.since(right).max(right.since(left))
}
