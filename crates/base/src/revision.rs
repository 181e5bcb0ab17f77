//! Revisions of the platform's store.
//!
//! The store may return from a copy that is some seconds old. What was written since the copy is then lost, and its
//! revisions are given out again. Each return begins a new era. A revision is therefore only comparable together with
//! its era, and numbers of two eras never meet.

use std::fmt;

use serde::{Deserialize, Serialize};

/// The number of the store's returns from an older copy; 0 for a store that doesn't report any.
#[derive(
    Clone, Copy, Debug, Default, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize,
)]
#[serde(transparent)]
pub struct StoreEra(u64);

/// A revision of the store. Any revision of a later era is newer than all revisions of earlier ones.
#[derive(
    Clone, Copy, Debug, Default, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize,
)]
pub struct StoreRevision {
    // The derived order compares the fields in this order.
    era: StoreEra,
    number: u64,
}

/// The number of low bits of a fencing number that hold the revision. Targets read fencing numbers as JSON numbers,
/// which are exact up to 53 bits.
const FENCE_NUMBER_BITS: u32 = 40;

impl StoreEra {
    /// Returns the era with this number.
    pub fn new(number: u64) -> StoreEra {
        StoreEra(number)
    }

    /// Returns the number of the era.
    pub fn number(self) -> u64 {
        self.0
    }
}

impl StoreRevision {
    /// Returns the revision `number` of `era`.
    pub fn new(era: StoreEra, number: u64) -> StoreRevision {
        StoreRevision { era, number }
    }

    /// Returns the era.
    pub fn era(self) -> StoreEra {
        self.era
    }

    /// Returns the number within the era, as the store's calls use it.
    pub fn number(self) -> u64 {
        self.number
    }

    /// Returns the fencing number of a leader whose entry was created at this revision. It rises with each leader, also
    /// where a later era gives out a revision again.
    pub fn fencing_number(self) -> u64 {
        let number = self.number.min((1 << FENCE_NUMBER_BITS) - 1);
        self.era.0.saturating_mul(1 << FENCE_NUMBER_BITS).saturating_add(number)
    }
}

impl fmt::Display for StoreEra {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(formatter)
    }
}

impl fmt::Display for StoreRevision {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{}.{}", self.era, self.number)
    }
}
