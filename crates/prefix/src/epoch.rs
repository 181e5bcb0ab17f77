//! The state word of an entry and the epochs of a target.
//!
//! An entry's 32 bits hold its target, its epoch, whether it is provisional, and its age.

use godwitroad_base::ClockTime;

use crate::{matches::TargetId, table::GROUP_TARGETS};

/// The number of epochs that an entry can tell apart; the epoch takes 6 bits.
pub(crate) const EPOCHS: u32 = 1 << 6;

/// The number of live epochs of one target at which its entries are rewritten, before numbers repeat.
pub(crate) const EPOCH_LIMIT: u32 = EPOCHS - 8;

/// The length of a unit of an entry's age as a power of two of milliseconds; 13 bits of it last 17 minutes.
pub(crate) const STAMP_SHIFT: u32 = 7;
pub(crate) const STAMP_MASK: u32 = (1 << 13) - 1;
pub(crate) const PROVISIONAL: u32 = 1 << 13;
pub(crate) const EPOCH_SHIFT: u32 = 14;
pub(crate) const TARGET_SHIFT: u32 = 20;

/// The epochs of a target, kept small because a lookup reads them for each holder of a block.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct TargetEpochs {
    pub(crate) epoch: u8,
    /// The number of epochs before the current one whose entries are unconfirmed rather than dead.
    pub(crate) unconfirmed: u8,
    /// The number of epochs before the current one in the same incarnation.
    pub(crate) in_incarnation: u8,
    /// The number of epochs before the current one of which entries may still be in the table.
    pub(crate) in_table: u8,
}

impl TargetEpochs {
    pub(crate) fn advance(&mut self) {
        self.epoch = (self.epoch + 1) % EPOCHS as u8;
        self.unconfirmed += 1;
        self.in_incarnation += 1;
        self.in_table += 1;
    }

    /// Returns the number of epochs since the one of `entry`.
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
