//! Counters of calls by kind.
//!
//! The platform meters every call, so operators need to see which calls a router makes.

use crate::port::{StoreReply, StoreRequest};

/// The kind of a call.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub enum CallKind {
    /// A read of one key.
    Get,
    /// A read of all keys with a common prefix.
    List,
    /// A write of one key.
    Put,
    /// A removal of one key.
    Delete,
    /// The grant of a lease.
    Grant,
    /// The renewal of a lease.
    KeepAlive,
    /// A poll for changes of keys with a common prefix.
    Watch,
}

/// The counters of one kind of call.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct KindCounters {
    /// Calls sent.
    pub sent: u64,
    /// Calls that the service answered, with any reply.
    pub answered: u64,
    /// Calls that didn't reach the service.
    pub not_sent: u64,
    /// Calls without an answer, including those that timed out.
    pub unknown: u64,
    /// Calls that the service rejected.
    pub rejected: u64,
    /// Bytes of keys and values sent.
    pub bytes_sent: u64,
    /// Bytes of keys and values received.
    pub bytes_received: u64,
}

/// The counters of a store client.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct StoreCounters {
    kinds: [KindCounters; CallKind::ALL.len()],
    /// Calls that timed out; they are also counted as unknown.
    pub timed_out: u64,
    /// Answers that arrived after their call had timed out.
    pub late_answers: u64,
    /// Writes whose lost answer was resolved by reading the key.
    pub resolved_by_read: u64,
    /// Times that the circuit breaker opened.
    pub breaker_opened: u64,
    /// Probes sent by an open breaker.
    pub probes: u64,
    /// Operations that failed immediately because the queue was full or the breaker open.
    pub refused: u64,
    /// Operations that reached their timeout.
    pub expired: u64,
}

impl CallKind {
    /// All kinds, in the order of the variants.
    pub const ALL: [CallKind; 7] = [
        CallKind::Get,
        CallKind::List,
        CallKind::Put,
        CallKind::Delete,
        CallKind::Grant,
        CallKind::KeepAlive,
        CallKind::Watch,
    ];

    /// Returns the kind of `request`.
    pub fn from_request(request: &StoreRequest) -> CallKind {
        match request {
            StoreRequest::Get { .. } => CallKind::Get,
            StoreRequest::List { .. } => CallKind::List,
            StoreRequest::Put { .. } => CallKind::Put,
            StoreRequest::Delete { .. } => CallKind::Delete,
            StoreRequest::Grant { .. } => CallKind::Grant,
            StoreRequest::KeepAlive { .. } => CallKind::KeepAlive,
            StoreRequest::Watch { .. } => CallKind::Watch,
        }
    }
}

impl StoreCounters {
    /// Returns the counters of the calls of `kind`.
    pub fn kind(&self, kind: CallKind) -> KindCounters {
        self.kinds[kind as usize]
    }

    /// Returns the number of calls of all kinds that were sent.
    pub fn sent(&self) -> u64 {
        self.kinds.iter().map(|kind| kind.sent).sum()
    }

    pub(crate) fn kind_mut(&mut self, kind: CallKind) -> &mut KindCounters {
        &mut self.kinds[kind as usize]
    }
}

/// Returns the bytes of keys and values in a request.
pub(crate) fn request_bytes(request: &StoreRequest) -> u64 {
    let bytes = match request {
        StoreRequest::List { prefix } | StoreRequest::Watch { prefix, .. } => prefix.as_str().len(),
        StoreRequest::Get { key } | StoreRequest::Delete { key, .. } => key.as_str().len(),
        StoreRequest::Put { key, value, .. } => key.as_str().len() + value.len(),
        StoreRequest::Grant { .. } | StoreRequest::KeepAlive { .. } => 8,
    };
    bytes as u64
}

/// Returns the bytes of keys and values in a reply.
pub(crate) fn reply_bytes(reply: &StoreReply) -> u64 {
    let bytes = match reply {
        StoreReply::Value(entry) | StoreReply::Conflict(entry) => {
            entry.iter().map(|entry| entry.key.as_str().len() + entry.value.len()).sum()
        }
        StoreReply::Entries { entries, removed, .. } => {
            let entries: usize =
                entries.iter().map(|entry| entry.key.as_str().len() + entry.value.len()).sum();
            entries + removed.iter().map(|key| key.as_str().len()).sum::<usize>()
        }
        StoreReply::Written(_) | StoreReply::Lease { .. } => 8,
        StoreReply::LeaseNotFound | StoreReply::Compacted => 0,
    };
    bytes as u64
}
