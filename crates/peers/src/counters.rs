//! Counts of what the links carried.
//!
//! The link between two regions is billed by volume, so that bytes are counted by kind and by whether the peer is
//! in the own region.

use std::{collections::BTreeMap, sync::Mutex, sync::MutexGuard, sync::PoisonError};

/// Whether a peer is in the own region.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub enum LinkScope {
    /// The peer is in the own region.
    OwnRegion,
    /// The peer is in another region.
    OtherRegion,
}

impl LinkScope {
    /// Returns the name under which the scope is reported.
    pub fn as_str(self) -> &'static str {
        match self {
            LinkScope::OwnRegion => "own",
            LinkScope::OtherRegion => "other",
        }
    }
}

/// The counts of one kind of message in one scope.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct CounterRow {
    /// The messages that a peer confirmed.
    pub sent: u64,
    /// The bytes of these messages.
    pub sent_bytes: u64,
    /// The messages received.
    pub received: u64,
    /// The bytes of these messages.
    pub received_bytes: u64,
    /// The messages dropped from a full queue or for want of a peer.
    pub dropped: u64,
    /// The messages in deliveries that a peer didn't confirm.
    pub unconfirmed: u64,
}

/// The counts of all links of one router.
#[derive(Debug, Default)]
pub struct PeerCounters {
    rows: Mutex<BTreeMap<(&'static str, LinkScope), CounterRow>>,
}

impl PeerCounters {
    /// Returns the counts by kind and scope since the start of the process.
    pub fn snapshot(&self) -> Vec<(&'static str, LinkScope, CounterRow)> {
        self.lock().iter().map(|(&(kind, scope), &row)| (kind, scope, row)).collect()
    }

    pub(crate) fn change(
        &self,
        kind: &'static str,
        scope: LinkScope,
        change: impl FnOnce(&mut CounterRow),
    ) {
        change(self.lock().entry((kind, scope)).or_default());
    }

    /// A panic while counting leaves at most one count behind, so that a poisoned lock stays usable.
    fn lock(&self) -> MutexGuard<'_, BTreeMap<(&'static str, LinkScope), CounterRow>> {
        self.rows.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
