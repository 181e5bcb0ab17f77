//! The work that waits for the next write of a shard.

use godwitroad_base::{ClockTime, VmName};

use crate::{
    merge::{ClaimEntry, ClaimReply, ClaimWork},
    settings::ClaimSettings,
};

/// A piece of work and the router that gets the reply; none for the own node.
#[derive(Clone, Debug)]
pub(crate) struct ClaimWaiter {
    pub(crate) from: Option<VmName>,
    pub(crate) entry: ClaimEntry,
}

/// Work that ended, with its reply.
#[derive(Clone, Debug)]
pub(crate) struct ClaimAnswer {
    pub(crate) waiter: ClaimWaiter,
    pub(crate) reply: ClaimReply,
}

impl ClaimWaiter {
    /// Returns whether a caller waits for the reply.
    pub(crate) fn is_urgent(&self) -> bool {
        matches!(self.entry.work, ClaimWork::Claim { .. } | ClaimWork::Lookup)
    }

    /// Returns when the work should be written, if no other work is written before.
    pub(crate) fn due_at(&self, settings: &ClaimSettings) -> ClockTime {
        let window = if self.is_urgent() { settings.window } else { settings.finish_window };
        self.entry.at + window
    }

    pub(crate) fn is_same(&self, other: &ClaimWaiter) -> bool {
        self.from == other.from
            && self.entry.id == other.entry.id
            && self.entry.work == other.entry.work
    }
}
