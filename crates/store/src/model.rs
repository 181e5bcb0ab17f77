//! A sequential model of the key-value service.
//!
//! Tests and benches share this definition of versions, leases, watches and compaction. The model applies one request
//! at a time to values in memory; its users simulate delay, loss and outages around it.

use std::{collections::BTreeMap, sync::Arc};

use godwitroad_base::{ClockSpan, ClockTime};

use crate::port::{KeyVersion, LeaseId, StoreEntry, StoreKey, StoreReply, StoreRequest};

/// The size of the largest value that the service accepts, in bytes.
pub const MAX_VALUE_BYTES: usize = 1 << 20;

#[derive(Clone, Debug)]
struct ModelValue {
    version: KeyVersion,
    value: Arc<[u8]>,
    lease: Option<LeaseId>,
}

#[derive(Clone, Debug)]
struct ModelLease {
    ttl: ClockSpan,
    expires_at: ClockTime,
}

/// A sequential key-value service in memory.
#[derive(Clone, Debug, Default)]
pub struct StoreModel {
    version: u64,
    values: BTreeMap<StoreKey, ModelValue>,
    removals: Vec<(KeyVersion, StoreKey)>,
    compacted: u64,
    leases: BTreeMap<i64, ModelLease>,
    last_lease: i64,
}

impl StoreModel {
    /// Returns a service without values.
    pub fn new() -> StoreModel {
        StoreModel::default()
    }

    /// Returns the version of the latest write or removal.
    pub fn latest_version(&self) -> KeyVersion {
        KeyVersion(self.version)
    }

    /// Returns the entry of `key`, or `None` if it has no value.
    pub fn entry(&self, key: &StoreKey) -> Option<StoreEntry> {
        let stored = self.values.get(key)?;
        Some(StoreEntry { key: key.clone(), version: stored.version, value: stored.value.clone() })
    }

    /// Returns the entries whose keys begin with `prefix`.
    pub fn entries(&self, prefix: &StoreKey) -> Vec<StoreEntry> {
        self.values
            .range(prefix.clone()..)
            .take_while(|(key, _)| key.as_str().starts_with(prefix.as_str()))
            .filter_map(|(key, _)| self.entry(key))
            .collect()
    }

    /// Discards the history up to the latest version, so that watches from an earlier version must list again.
    pub fn compact(&mut self) {
        self.compacted = self.version;
        self.removals.clear();
    }

    /// Applies a request and returns the reply, or `None` for a watch that has nothing to report yet.
    ///
    /// The caller must reject values larger than [`MAX_VALUE_BYTES`]; the model accepts them.
    pub fn apply(&mut self, now: ClockTime, request: &StoreRequest) -> Option<StoreReply> {
        self.expire(now);
        Some(match request {
            StoreRequest::Get { key } => StoreReply::Value(self.entry(key)),
            StoreRequest::List { prefix } => StoreReply::Entries {
                entries: self.entries(prefix),
                removed: Vec::new(),
                latest_version: self.latest_version(),
            },
            StoreRequest::Put { key, value, expected, lease } => {
                self.put(key, value, *expected, *lease)
            }
            StoreRequest::Delete { key, expected } => {
                let entry = self.entry(key);
                if entry.as_ref().is_some_and(|entry| entry.version == *expected) {
                    self.remove(key);
                    StoreReply::Written(self.latest_version())
                } else {
                    StoreReply::Conflict(entry)
                }
            }
            StoreRequest::Grant { ttl } => {
                self.last_lease += 1;
                self.leases
                    .insert(self.last_lease, ModelLease { ttl: *ttl, expires_at: now + *ttl });
                StoreReply::Lease { lease: LeaseId(self.last_lease), ttl: *ttl }
            }
            StoreRequest::KeepAlive { lease } => match self.leases.get_mut(&lease.0) {
                None => StoreReply::LeaseNotFound,
                Some(stored) => {
                    stored.expires_at = now + stored.ttl;
                    StoreReply::Lease { lease: *lease, ttl: stored.ttl }
                }
            },
            StoreRequest::Watch { prefix, after } => return self.watch(prefix, *after),
        })
    }

    fn put(
        &mut self,
        key: &StoreKey,
        value: &Arc<[u8]>,
        expected: Option<KeyVersion>,
        lease: Option<LeaseId>,
    ) -> StoreReply {
        let entry = self.entry(key);
        let version = entry.as_ref().map_or(KeyVersion(0), |entry| entry.version);
        if expected.is_some_and(|expected| expected != version) {
            return StoreReply::Conflict(entry);
        }
        if lease.is_some_and(|lease| !self.leases.contains_key(&lease.0)) {
            return StoreReply::LeaseNotFound;
        }
        self.version += 1;
        let stored = ModelValue { version: self.latest_version(), value: value.clone(), lease };
        self.values.insert(key.clone(), stored);
        StoreReply::Written(self.latest_version())
    }

    fn remove(&mut self, key: &StoreKey) {
        self.version += 1;
        self.values.remove(key);
        self.removals.push((self.latest_version(), key.clone()));
    }

    fn expire(&mut self, now: ClockTime) {
        let expired: Vec<i64> = self
            .leases
            .iter()
            .filter(|(_, lease)| lease.expires_at <= now)
            .map(|(id, _)| *id)
            .collect();
        for id in expired {
            self.leases.remove(&id);
            let keys: Vec<StoreKey> = self
                .values
                .iter()
                .filter(|(_, stored)| stored.lease == Some(LeaseId(id)))
                .map(|(key, _)| key.clone())
                .collect();
            keys.iter().for_each(|key| self.remove(key));
        }
    }

    fn watch(&self, prefix: &StoreKey, after: KeyVersion) -> Option<StoreReply> {
        if after.0 < self.compacted {
            return Some(StoreReply::Compacted);
        }
        let mut entries = self.entries(prefix);
        entries.retain(|entry| entry.version > after);
        let removed: Vec<StoreKey> = self
            .removals
            .iter()
            .filter(|(version, key)| {
                *version > after
                    && key.as_str().starts_with(prefix.as_str())
                    && !self.values.contains_key(key)
            })
            .map(|(_, key)| key.clone())
            .collect();
        if entries.is_empty() && removed.is_empty() {
            return None;
        }
        Some(StoreReply::Entries { entries, removed, latest_version: self.latest_version() })
    }
}
