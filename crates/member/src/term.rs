//! The lease term: the time until which a process may act on its roster.
//!
//! A term is based on a read of the store by this process or by a peer, or on acknowledgements from a majority of the
//! members. Each counts from the time, by this process's clock, at which the request for it was sent. A delayed reply
//! therefore shortens the term and never extends it.

use std::collections::BTreeMap;

use godwitroad_base::{ClockSpan, ClockTime, VmName};

use crate::settings::HOLD_TERM_MS;

/// The confirmations of the current epoch.
#[derive(Clone, Debug, Default)]
pub(crate) struct LeaseTerm {
    own_read: Option<ClockTime>,
    relayed_read: Option<ClockTime>,
    acks: BTreeMap<VmName, ClockTime>,
}

impl LeaseTerm {
    /// Records a read by this process that was sent at `sent` and returned the current epoch.
    pub(crate) fn record_read(&mut self, sent: ClockTime) {
        self.own_read = self.own_read.max(Some(sent));
    }

    /// Records a read by a peer that took place at or after `at` on this clock.
    pub(crate) fn record_relayed_read(&mut self, at: ClockTime) {
        self.relayed_read = self.relayed_read.max(Some(at));
    }

    /// Records an acknowledgement that `vm` gave after `sent`.
    pub(crate) fn record_ack(&mut self, vm: &VmName, sent: ClockTime) {
        let newest = self.acks.entry(vm.clone()).or_insert(sent);
        *newest = sent.max(*newest);
    }

    /// Returns the time of this process's newest read.
    pub(crate) fn own_read(&self) -> Option<ClockTime> {
        self.own_read
    }

    /// Returns the time of the newest read by this process or by a peer.
    pub(crate) fn last_read(&self) -> Option<ClockTime> {
        self.own_read.max(self.relayed_read)
    }

    /// Returns the end of the term; `required_peers` peers form a majority together with this process.
    pub(crate) fn end(&self, now: ClockTime, required_peers: usize) -> Option<ClockTime> {
        let term = ClockSpan::from_ms(HOLD_TERM_MS);
        let mut times: Vec<ClockTime> = self.acks.values().copied().collect();
        times.sort_unstable_by(|left, right| right.cmp(left));
        let acked = match required_peers {
            0 => Some(now),
            _ => times.get(required_peers - 1).copied(),
        };
        self.last_read().max(acked).map(|from| from + term)
    }
}
