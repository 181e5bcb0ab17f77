//! What a node knows of the slices of one shard.
//!
//! A day of claims is far larger than a node's memory, so that sealed slices are kept as one 64-bit print for each
//! claim, and a slice is read again when a print matches.

use std::collections::BTreeMap;

use godwitroad_base::ClockTime;
use godwitroad_store::{KeyVersion, StoreEntry};

use crate::{
    key::ClaimHash,
    record::{ClaimRecord, RecordError, SliceValue, slice_number},
};

#[derive(Clone, Debug)]
pub(crate) struct SliceCopy {
    pub(crate) version: KeyVersion,
    pub(crate) value: Option<SliceValue>,
    prints: Vec<u64>,
    /// The copy is at least as new as the store was at this time of the own clock.
    pub(crate) read_at: ClockTime,
    used_at: ClockTime,
    pub(crate) first_seen: ClockTime,
    /// The time until which the slice's lease certainly lasts.
    pub(crate) until: Option<ClockTime>,
}

#[derive(Clone, Debug, Eq, PartialEq)]
pub(crate) enum ClaimPlace {
    Absent,
    /// The slice must be read to know whether it holds the key.
    Unread(u64),
    Found(u64, ClaimRecord),
}

/// The slices of one shard as last read.
#[derive(Clone, Debug, Default)]
pub(crate) struct ShardView {
    pub(crate) slices: BTreeMap<u64, SliceCopy>,
    pub(crate) loaded_at: ClockTime,
}

impl ShardView {
    /// Returns the view of the entries that a listing sent at `sent` returned.
    pub(crate) fn new(sent: ClockTime, entries: &[StoreEntry]) -> Result<ShardView, RecordError> {
        let mut view = ShardView { slices: BTreeMap::new(), loaded_at: sent };
        for entry in entries {
            let number = slice_number(&entry.key).ok_or(RecordError)?;
            let value = SliceValue::decode(&entry.value)?;
            view.put(number, entry.version, value, sent);
        }
        Ok(view)
    }

    pub(crate) fn put(
        &mut self,
        number: u64,
        version: KeyVersion,
        value: SliceValue,
        read_at: ClockTime,
    ) {
        let known = self.slices.get(&number);
        // A lease belongs to the slice that was created with it; a slice of the same number but another lease is new.
        let known =
            known.filter(|copy| copy.value.as_ref().is_none_or(|old| old.lease == value.lease));
        let copy = SliceCopy {
            version,
            prints: Vec::new(),
            read_at,
            used_at: read_at,
            first_seen: known.map_or(read_at, |copy| copy.first_seen),
            until: known.and_then(|copy| copy.until),
            value: Some(value),
        };
        self.slices.insert(number, copy);
    }

    /// Returns the number and copy of the last slice.
    pub(crate) fn last(&self) -> Option<(u64, &SliceCopy)> {
        self.slices.last_key_value().map(|(number, copy)| (*number, copy))
    }

    /// Returns where the key is claimed, looking from the newest slice to the oldest.
    pub(crate) fn locate(&mut self, now: ClockTime, hash: ClaimHash) -> ClaimPlace {
        for (number, copy) in self.slices.iter_mut().rev() {
            match &copy.value {
                Some(value) => {
                    if let Some(record) = value.records.get(&hash) {
                        copy.used_at = now;
                        return ClaimPlace::Found(*number, record.clone());
                    }
                }
                None if copy.prints.binary_search(&hash.print()).is_ok() => {
                    return ClaimPlace::Unread(*number);
                }
                None => {}
            }
        }
        ClaimPlace::Absent
    }

    /// Reduces all but the last slice and the `keep` most recently used ones to their prints.
    pub(crate) fn shrink(&mut self, keep: usize) {
        let last = self.slices.keys().next_back().copied();
        let mut loaded: Vec<(ClockTime, u64)> = self
            .slices
            .iter()
            .filter(|(number, copy)| copy.value.is_some() && Some(**number) != last)
            .map(|(number, copy)| (copy.used_at, *number))
            .collect();
        loaded.sort_unstable();
        let surplus = loaded.len().saturating_sub(keep);
        for (_, number) in loaded.into_iter().take(surplus) {
            if let Some(copy) = self.slices.get_mut(&number)
                && let Some(value) = copy.value.take()
            {
                copy.prints = value.records.keys().map(|hash| hash.print()).collect();
                copy.prints.sort_unstable();
            }
        }
    }
}
