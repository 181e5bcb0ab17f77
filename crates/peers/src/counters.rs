//! Counters of the messages and bytes on the links.
//!
//! Traffic between regions is billed by volume. Bytes are therefore counted by kind of message and by whether the peer
//! is in the router's own region.

use std::{collections::BTreeMap, sync::Mutex, sync::MutexGuard, sync::PoisonError};

/// Whether a peer is in the same region as this router.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub enum LinkScope {
    /// The peer is in the same region.
    OwnRegion,
    /// The peer is in another region.
    OtherRegion,
}

impl LinkScope {
    /// Returns the name of the scope in metrics.
    pub fn as_str(self) -> &'static str {
        match self {
            LinkScope::OwnRegion => "own",
            LinkScope::OtherRegion => "other",
        }
    }
}

/// The counters of one kind of message in one scope.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct CounterRow {
    /// The number of sent messages that a peer confirmed.
    pub sent: u64,
    /// The encoded size of the confirmed messages in bytes.
    pub sent_bytes: u64,
    /// The number of received messages.
    pub received: u64,
    /// The encoded size of the received messages in bytes.
    pub received_bytes: u64,
    /// The number of messages dropped because the queue was full, the peer was unknown, or the message could not be
    /// encoded within one frame.
    pub dropped: u64,
    /// The number of messages in deliveries that a peer didn't confirm; the peer may have received them.
    pub unconfirmed: u64,
}

/// The counters of all links of one router.
#[derive(Debug, Default)]
pub struct PeerCounters {
    rows: Mutex<BTreeMap<(&'static str, LinkScope), CounterRow>>,
}

impl PeerCounters {
    /// Returns the counters by kind and scope since the start of the process.
    pub fn snapshot(&self) -> Vec<(&'static str, LinkScope, CounterRow)> {
        self.lock().iter().map(|(&(kind, scope), &row)| (kind, scope, row)).collect()
    }

    pub(crate) fn update(
        &self,
        kind: &'static str,
        scope: LinkScope,
        change: impl FnOnce(&mut CounterRow),
    ) {
        change(self.lock().entry((kind, scope)).or_default());
    }

    /// Locks the counters. A poisoned lock stays usable, because a panic while counting leaves at most one counter wrong.
    fn lock(&self) -> MutexGuard<'_, BTreeMap<(&'static str, LinkScope), CounterRow>> {
        self.rows.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
