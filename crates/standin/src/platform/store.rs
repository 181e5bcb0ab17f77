//! The data of the key-value service: keys with their revisions, leases, and the history that watches read.
//!
//! Time is a parameter, so that leases can be tested without waiting.

use std::collections::{BTreeMap, BTreeSet, VecDeque};

use godwitroad_base::{ClockSpan, ClockTime};
use thiserror::Error;

/// The largest value that the platform documents for its key-value service: 1 MiB.
const MAX_VALUE_BYTES: usize = 1 << 20;

/// The number of changes that are kept for watches that start at an earlier revision.
const MAX_HISTORY_CHANGES: usize = 10_000;

/// The result of a call to the store.
pub(crate) type Result<T> = std::result::Result<T, StoreError>;

/// A key with its value and versions.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct KeyValue {
    /// The key.
    pub key: Vec<u8>,
    /// The value.
    pub value: Vec<u8>,
    /// The revision at which the key was created.
    pub create_revision: u64,
    /// The revision of the last write to the key.
    pub mod_revision: u64,
    /// The number of writes since the key was created.
    pub version: u64,
    /// The id of the lease whose end removes the key, or zero for none.
    pub lease: i64,
}

/// A write or removal of one key, as watches report it.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct StoreChange {
    /// The revision that the change created.
    pub revision: u64,
    /// Whether the key was removed, as opposed to written.
    pub removed: bool,
    /// The entry as written; a removal sets only `key` and `mod_revision`.
    pub entry: KeyValue,
}

/// The reason why the store rejected a call; the messages are those of etcd.
#[derive(Clone, Copy, Debug, Eq, Error, PartialEq)]
pub enum StoreError {
    /// The value is larger than 1 MiB.
    #[error("etcdserver: request is too large")]
    TooLarge,
    /// The lease doesn't exist.
    #[error("etcdserver: requested lease not found")]
    LeaseNotFound,
    /// A lease with the requested id exists.
    #[error("etcdserver: lease already exists")]
    LeaseExists,
    /// The key is empty.
    #[error("etcdserver: key is not provided")]
    KeyEmpty,
    /// A watch requests a revision that is no longer in the history.
    #[error("etcdserver: mvcc: required revision has been compacted")]
    Compacted,
}

#[derive(Debug)]
struct LeaseRecord {
    ttl: ClockSpan,
    expires: ClockTime,
    keys: BTreeSet<Vec<u8>>,
}

/// A range of keys: one key if `end` is empty, or all keys from `key` up to and excluding `end`.
#[derive(Clone, Debug, Eq, PartialEq)]
pub(crate) struct KeyRange {
    pub(crate) key: Vec<u8>,
    pub(crate) end: Vec<u8>,
}

impl KeyRange {
    /// Returns whether `key` is in the range. An `end` of one zero byte means that the range is unbounded.
    pub(crate) fn contains(&self, key: &[u8]) -> bool {
        match self.end.as_slice() {
            [] => key == self.key,
            [0] => key >= self.key.as_slice(),
            end => key >= self.key.as_slice() && key < end,
        }
    }
}

/// The keys, leases and history of the key-value service.
#[derive(Debug, Default)]
pub struct KvStore {
    entries: BTreeMap<Vec<u8>, KeyValue>,
    leases: BTreeMap<i64, LeaseRecord>,
    history: VecDeque<StoreChange>,
    revision: u64,
    compacted: u64,
    last_lease: i64,
}

impl KvStore {
    /// Returns an empty store at revision one.
    pub fn new() -> KvStore {
        KvStore { revision: 1, ..KvStore::default() }
    }

    /// Returns the newest revision.
    pub fn revision(&self) -> u64 {
        self.revision
    }

    /// Returns the newest revision that is no longer in the history.
    pub(crate) fn compacted(&self) -> u64 {
        self.compacted
    }

    /// Returns the entry of `key`, or `None` if it doesn't exist.
    pub fn get(&self, key: &[u8]) -> Option<&KeyValue> {
        self.entries.get(key)
    }

    /// Returns the entries in `range`, ordered by key.
    pub(crate) fn range<'a>(&'a self, range: &'a KeyRange) -> impl Iterator<Item = &'a KeyValue> {
        let first = self.entries.range(range.key.clone()..);
        first.map(|(_, entry)| entry).take_while(|entry| range.contains(&entry.key))
    }

    /// Returns the revision for the writes of the next change, which all share it.
    pub(crate) fn next_revision(&mut self) -> u64 {
        self.revision + 1
    }

    /// Writes a value at `revision`, which [`KvStore::next_revision`] returned.
    ///
    /// # Errors
    ///
    /// Returns an error when [`KvStore::check_put`] does.
    pub(crate) fn put_at(
        &mut self,
        revision: u64,
        key: &[u8],
        value: Vec<u8>,
        lease: i64,
    ) -> Result<()> {
        self.check_put(key, &value, lease)?;
        let old = self.entries.get(key);
        let old_lease = old.map_or(0, |entry| entry.lease);
        let entry = KeyValue {
            key: key.to_vec(),
            value,
            create_revision: old.map_or(revision, |entry| entry.create_revision),
            mod_revision: revision,
            version: old.map_or(1, |entry| entry.version + 1),
            lease,
        };
        if let Some(record) = self.leases.get_mut(&old_lease) {
            record.keys.remove(key);
        }
        if let Some(record) = self.leases.get_mut(&lease) {
            record.keys.insert(key.to_vec());
        }
        self.entries.insert(key.to_vec(), entry.clone());
        self.record(StoreChange { revision, removed: false, entry });
        Ok(())
    }

    /// Checks whether a write would be accepted.
    ///
    /// # Errors
    ///
    /// Returns an error when the key is empty, the value too large or the lease unknown.
    pub(crate) fn check_put(&self, key: &[u8], value: &[u8], lease: i64) -> Result<()> {
        if key.is_empty() {
            return Err(StoreError::KeyEmpty);
        }
        if value.len() > MAX_VALUE_BYTES {
            return Err(StoreError::TooLarge);
        }
        if lease != 0 && !self.leases.contains_key(&lease) {
            return Err(StoreError::LeaseNotFound);
        }
        Ok(())
    }

    /// Writes a value and returns its revision.
    ///
    /// # Errors
    ///
    /// Returns an error when the key is empty, the value too large or the lease unknown.
    pub fn put(&mut self, key: &[u8], value: Vec<u8>, lease: i64) -> Result<u64> {
        let revision = self.next_revision();
        self.put_at(revision, key, value, lease)?;
        Ok(revision)
    }

    /// Removes the keys in `range` at `revision` and returns their number.
    pub(crate) fn delete_at(&mut self, revision: u64, range: &KeyRange) -> u64 {
        let keys: Vec<Vec<u8>> = self.range(range).map(|entry| entry.key.clone()).collect();
        for key in &keys {
            self.remove(revision, key);
        }
        keys.len() as u64
    }

    /// Grants a lease and returns its id; if `id` is zero, the store chooses one.
    ///
    /// # Errors
    ///
    /// Returns an error when a lease with the id exists.
    pub fn grant(&mut self, now: ClockTime, id: i64, ttl: ClockSpan) -> Result<i64> {
        let id = if id == 0 { self.last_lease + 1 } else { id };
        if self.leases.contains_key(&id) {
            return Err(StoreError::LeaseExists);
        }
        self.last_lease = self.last_lease.max(id);
        let record = LeaseRecord { ttl, expires: now + ttl, keys: BTreeSet::new() };
        self.leases.insert(id, record);
        Ok(id)
    }

    /// Renews a lease and returns its time to live, or `None` if it doesn't exist.
    pub fn keep_alive(&mut self, now: ClockTime, id: i64) -> Option<ClockSpan> {
        let record = self.leases.get_mut(&id)?;
        record.expires = now + record.ttl;
        Some(record.ttl)
    }

    /// Ends a lease and removes its keys.
    ///
    /// # Errors
    ///
    /// Returns an error when the lease doesn't exist.
    pub fn revoke(&mut self, id: i64) -> Result<()> {
        let record = self.leases.remove(&id).ok_or(StoreError::LeaseNotFound)?;
        let revision = self.next_revision();
        for key in &record.keys {
            self.remove(revision, key);
        }
        Ok(())
    }

    /// Revokes the leases that have expired by `now`.
    pub fn expire(&mut self, now: ClockTime) {
        let ended = self.leases.iter().filter(|(_, record)| record.expires <= now);
        let ended: Vec<i64> = ended.map(|(id, _)| *id).collect();
        for id in ended {
            // The id comes from the table of leases, so the lease exists and this can't fail.
            let _ = self.revoke(id);
        }
    }

    /// Returns the changes in `range` from revision `first` on.
    ///
    /// # Errors
    ///
    /// Returns [`StoreError::Compacted`] when `first` is no longer in the history.
    pub(crate) fn changes(&self, range: &KeyRange, first: u64) -> Result<Vec<StoreChange>> {
        if first <= self.compacted {
            return Err(StoreError::Compacted);
        }
        let from = self.history.partition_point(|change| change.revision < first);
        let changes = self.history.range(from..);
        Ok(changes.filter(|change| range.contains(&change.entry.key)).cloned().collect())
    }

    fn remove(&mut self, revision: u64, key: &[u8]) {
        let Some(old) = self.entries.remove(key) else { return };
        if let Some(record) = self.leases.get_mut(&old.lease) {
            record.keys.remove(key);
        }
        let entry = KeyValue { key: key.to_vec(), mod_revision: revision, ..KeyValue::default() };
        self.record(StoreChange { revision, removed: true, entry });
    }

    fn record(&mut self, change: StoreChange) {
        self.revision = change.revision;
        self.history.push_back(change);
        if self.history.len() > MAX_HISTORY_CHANGES
            && let Some(oldest) = self.history.pop_front()
        {
            self.compacted = oldest.revision;
        }
    }
}
