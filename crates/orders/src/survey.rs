//! What a new leader finds out about the targets before its first orders.

use std::collections::{BTreeMap, BTreeSet};

use godwitroad_base::{ClockSpan, ClockTime, TargetName};

/// The time-out for the answer to an order or to a fetch of a report.
pub(crate) const ANSWER_TIMEOUT: ClockSpan = ClockSpan::from_ms(900);

/// The time for which the order count of a report is used. An order with an outdated count is refused.
const COUNT_LIFETIME: ClockSpan = ClockSpan::from_ms(1_000);

/// The reports that a leader fetches once from all outdated targets when it is about to order: which targets load weights
/// because of orders of an earlier leader, and how many orders each of them has accepted.
#[derive(Clone, Debug, Default)]
pub(crate) struct LoadSurvey {
    requested: Option<ClockTime>,
    // The targets that haven't answered.
    missing: BTreeSet<TargetName>,
    counts: BTreeMap<TargetName, OrderCount>,
}

/// The number of orders that a target had accepted when it reported that it carries out none.
#[derive(Clone, Copy, Debug)]
struct OrderCount {
    reported: ClockTime,
    accepted: u64,
}

impl LoadSurvey {
    /// Returns whether the reports were requested.
    pub(crate) fn is_begun(&self) -> bool {
        self.requested.is_some()
    }

    /// Records that the reports of these targets are requested.
    pub(crate) fn begin(&mut self, now: ClockTime, outdated: BTreeSet<TargetName>) {
        self.requested = Some(now);
        self.missing = outdated;
    }

    /// Ends the wait for reports that didn't arrive in time.
    pub(crate) fn expire(&mut self, now: ClockTime) {
        if self.requested.is_some_and(|requested| now.since(requested) >= ANSWER_TIMEOUT) {
            self.missing.clear();
        }
    }

    /// Returns the number of targets of which it isn't known whether they load.
    pub(crate) fn missing_count(&self) -> usize {
        self.missing.len()
    }

    /// Returns whether the report of a target is awaited.
    pub(crate) fn awaits(&self, target: &TargetName) -> bool {
        self.missing.contains(target)
    }

    /// Ends the wait for a target's report; returns whether it was awaited.
    pub(crate) fn end_wait(&mut self, target: &TargetName) -> bool {
        self.missing.remove(target)
    }

    /// Records the number of orders that an idle target has accepted.
    pub(crate) fn record_count(&mut self, now: ClockTime, target: &TargetName, accepted: u64) {
        self.counts.insert(target.clone(), OrderCount { reported: now, accepted });
    }

    /// Returns the number of orders that a target has accepted, if it reported it a short time ago. It is returned once, as
    /// the next order changes it.
    pub(crate) fn take_count(&mut self, now: ClockTime, target: &TargetName) -> Option<u64> {
        let count = self.counts.remove(target)?;
        (now.since(count.reported) < COUNT_LIFETIME).then_some(count.accepted)
    }
}
