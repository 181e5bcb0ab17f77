//! A node's local copy of the slices of one shard.
//!
//! The claims of a day exceed a node's memory by far. Most sealed slices are therefore reduced to one 64-bit
//! fingerprint for each claim, and a slice is read again when a fingerprint matches.

use std::collections::BTreeMap;

use godwitroad_base::ClockTime;
use godwitroad_store::{KeyVersion, StoreEntry};

use crate::{
    key::ClaimHash,
    record::{ClaimRecord, RecordError, SliceValue, slice_number},
};

#[derive(Clone, Debug)]
pub(crate) struct CachedSlice {
    pub(crate) version: KeyVersion,
    pub(crate) value: Option<SliceValue>,
    fingerprints: Vec<u64>,
    /// The time by this node's clock at which the read was sent; the copy shows the store at this time or later.
    pub(crate) read_at: ClockTime,
    used_at: ClockTime,
    pub(crate) first_seen: ClockTime,
    /// The time until which the slice's lease is guaranteed to last; `None` until this node creates the slice or renews its
    /// lease.
    pub(crate) lease_until: Option<ClockTime>,
}

#[derive(Clone, Debug, Eq, PartialEq)]
pub(crate) enum ClaimLocation {
    Absent,
    /// A fingerprint in the slice of this number matches; the slice must be read to know whether it holds the key.
    Unloaded(u64),
    Found(u64, ClaimRecord),
}

/// The slices of one shard as last read or written by this node.
#[derive(Clone, Debug, Default)]
pub(crate) struct ShardView {
    pub(crate) slices: BTreeMap<u64, CachedSlice>,
    pub(crate) loaded_at: ClockTime,
}

impl ShardView {
    /// Returns the view of the entries from a listing that was sent at `sent`.
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
        // Each slice is created with its own lease. A slice with the same number but another lease is a new slice.
        let known =
            known.filter(|copy| copy.value.as_ref().is_none_or(|old| old.lease == value.lease));
        let copy = CachedSlice {
            version,
            fingerprints: Vec::new(),
            read_at,
            used_at: read_at,
            first_seen: known.map_or(read_at, |copy| copy.first_seen),
            lease_until: known.and_then(|copy| copy.lease_until),
            value: Some(value),
        };
        self.slices.insert(number, copy);
    }

    /// Returns the number and copy of the last slice.
    pub(crate) fn last(&self) -> Option<(u64, &CachedSlice)> {
        self.slices.last_key_value().map(|(number, copy)| (*number, copy))
    }

    /// Returns the location of the key's claim, searching from the newest slice to the oldest.
    pub(crate) fn locate(&mut self, now: ClockTime, hash: ClaimHash) -> ClaimLocation {
        for (number, copy) in self.slices.iter_mut().rev() {
            match &copy.value {
                Some(value) => {
                    if let Some(record) = value.records.get(&hash) {
                        copy.used_at = now;
                        return ClaimLocation::Found(*number, record.clone());
                    }
                }
                None if copy.fingerprints.binary_search(&hash.fingerprint()).is_ok() => {
                    return ClaimLocation::Unloaded(*number);
                }
                None => {}
            }
        }
        ClaimLocation::Absent
    }

    /// Reduces all slices to fingerprints, except the last one and the `max_loaded` most recently used.
    pub(crate) fn unload_slices(&mut self, max_loaded: usize) {
        let last = self.slices.keys().next_back().copied();
        let mut loaded: Vec<(ClockTime, u64)> = self
            .slices
            .iter()
            .filter(|(number, copy)| copy.value.is_some() && Some(**number) != last)
            .map(|(number, copy)| (copy.used_at, *number))
            .collect();
        loaded.sort_unstable();
        let surplus = loaded.len().saturating_sub(max_loaded);
        for (_, number) in loaded.into_iter().take(surplus) {
            if let Some(copy) = self.slices.get_mut(&number)
                && let Some(value) = copy.value.take()
            {
                copy.fingerprints = value.records.keys().map(|hash| hash.fingerprint()).collect();
                copy.fingerprints.sort_unstable();
            }
        }
    }
}
