//! Layout of the state of an index entry, and the epochs of a target.
//!
//! The 32 bits of a state hold, from the high bits down, the target (12 bits), the epoch (6 bits), the flag of a
//! provisional entry (1 bit) and the time stamp (13 bits).

use godwitroad_base::ClockTime;

use crate::{matches::TargetId, table::GROUP_TARGETS};

/// The number of distinct epoch numbers; an entry stores the epoch in 6 bits.
pub(crate) const EPOCHS: u32 = 1 << 6;

/// The number of epochs of one target with entries in the table at which the entries are rewritten, so that epoch
/// numbers never repeat within the table.
pub(crate) const EPOCH_LIMIT: u32 = EPOCHS - 8;

/// The base-2 logarithm of the unit of a time stamp in milliseconds; a stamp of 13 bits wraps after 17 minutes.
pub(crate) const STAMP_SHIFT: u32 = 7;
pub(crate) const STAMP_MASK: u32 = (1 << 13) - 1;
pub(crate) const PROVISIONAL: u32 = 1 << 13;
pub(crate) const EPOCH_SHIFT: u32 = 14;
pub(crate) const TARGET_SHIFT: u32 = 20;

/// The epochs of a target, in 4 bytes because a lookup reads them for each target that has cached a block.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct TargetEpochs {
    pub(crate) epoch: u8,
    /// The number of epochs directly before the current one whose entries are unconfirmed rather than dead.
    pub(crate) unconfirmed: u8,
    /// The number of epochs directly before the current one that belong to the same incarnation of the target.
    pub(crate) in_incarnation: u8,
    /// The number of epochs directly before the current one whose entries may still be in the table.
    pub(crate) in_table: u8,
}

impl TargetEpochs {
    pub(crate) fn advance(&mut self) {
        self.epoch = (self.epoch + 1) % EPOCHS as u8;
        self.unconfirmed += 1;
        self.in_incarnation += 1;
        self.in_table += 1;
    }

    /// Returns the number of epochs between that of the state `entry` and the current one.
    pub(crate) fn age(self, entry: u32) -> u32 {
        (u32::from(self.epoch) + EPOCHS - epoch_of(entry)) % EPOCHS
    }
}

pub(crate) fn stamp(now: ClockTime) -> u32 {
    (now.as_ms() >> STAMP_SHIFT) as u32 & STAMP_MASK
}

pub(crate) fn target_of(state: u32) -> TargetId {
    TargetId((state >> TARGET_SHIFT) as u16)
}

pub(crate) fn epoch_of(state: u32) -> u32 {
    state >> EPOCH_SHIFT & (EPOCHS - 1)
}

pub(crate) fn group_of(target: TargetId) -> usize {
    target.index() / GROUP_TARGETS
}
