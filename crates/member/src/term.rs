//! The time until which a process may act on its roster.
//!
//! Every confirmation counts from before the request for it was sent, by the own clock. A delayed answer therefore
//! shortens the term and never stretches it.

use std::collections::BTreeMap;

use godwitroad_base::{ClockSpan, ClockTime, VmName};

use crate::settings::HOLD_TERM_MS;

/// The confirmations of the current epoch.
#[derive(Clone, Debug, Default)]
pub(crate) struct TermClock {
    own_read: Option<ClockTime>,
    relayed_read: Option<ClockTime>,
    acks: BTreeMap<VmName, ClockTime>,
}

impl TermClock {
    /// Counts a read of the store that was sent at `sent` and showed the current epoch.
    pub(crate) fn record_read(&mut self, sent: ClockTime) {
        self.own_read = self.own_read.max(Some(sent));
    }

    /// Counts a read by a peer that is at least as new as `at` on this clock.
    pub(crate) fn record_relayed_read(&mut self, at: ClockTime) {
        self.relayed_read = self.relayed_read.max(Some(at));
    }

    /// Counts a vouch of `vm` given after `sent`.
    pub(crate) fn record_ack(&mut self, vm: &VmName, sent: ClockTime) {
        let newest = self.acks.entry(vm.clone()).or_insert(sent);
        *newest = sent.max(*newest);
    }

    /// Returns the time of the own newest read.
    pub(crate) fn own_read(&self) -> Option<ClockTime> {
        self.own_read
    }

    /// Returns the time of the newest read, own or relayed.
    pub(crate) fn last_read(&self) -> Option<ClockTime> {
        self.own_read.max(self.relayed_read)
    }

    /// Returns the end of the term, given that `needed` peers besides this process make a majority.
    pub(crate) fn end(&self, now: ClockTime, needed: usize) -> Option<ClockTime> {
        let term = ClockSpan::from_ms(HOLD_TERM_MS);
        let mut times: Vec<ClockTime> = self.acks.values().copied().collect();
        times.sort_unstable_by(|left, right| right.cmp(left));
        let acked = match needed {
            0 => Some(now),
            _ => times.get(needed - 1).copied(),
        };
        self.last_read().max(acked).map(|from| from + term)
    }
}
