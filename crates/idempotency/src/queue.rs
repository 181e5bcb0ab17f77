//! The queue of operations that wait for the next write of a shard.

use godwitroad_base::{ClockTime, VmName};

use crate::{
    merge::{ClaimEntry, ClaimOperation, ClaimReply},
    settings::ClaimSettings,
};

/// An operation and the router that requested it; `None` for this node.
#[derive(Clone, Debug)]
pub(crate) struct QueuedEntry {
    pub(crate) requester: Option<VmName>,
    pub(crate) entry: ClaimEntry,
}

/// An operation with its reply.
#[derive(Clone, Debug)]
pub(crate) struct AnsweredEntry {
    pub(crate) queued: QueuedEntry,
    pub(crate) reply: ClaimReply,
}

impl QueuedEntry {
    /// Returns whether a caller waits for the reply.
    pub(crate) fn is_urgent(&self) -> bool {
        matches!(self.entry.work, ClaimOperation::Claim { .. } | ClaimOperation::Lookup)
    }

    /// Returns the time at which the operation is due, unless it is part of an earlier write.
    pub(crate) fn due_at(&self, settings: &ClaimSettings) -> ClockTime {
        let window = if self.is_urgent() { settings.batch_window } else { settings.finish_window };
        self.entry.at + window
    }

    pub(crate) fn is_duplicate_of(&self, other: &QueuedEntry) -> bool {
        self.requester == other.requester
            && self.entry.id == other.entry.id
            && self.entry.work == other.entry.work
    }
}
