//! An in-memory key-value store with the semantics of the platform's store.

use std::{collections::BTreeMap, sync::Arc};

use godwitroad_store::{KeyVersion, StoreEntry, StoreKey, StoreReply, StoreRequest};

/// A key-value store with versions and compare-and-swap.
#[derive(Debug, Default)]
pub(super) struct MemoryStore {
    latest_version: u64,
    values: BTreeMap<StoreKey, (KeyVersion, Arc<[u8]>)>,
    /// The number of executed calls.
    pub(super) calls: u64,
}

impl MemoryStore {
    /// Executes one call.
    pub(super) fn apply(&mut self, request: &StoreRequest) -> StoreReply {
        self.calls += 1;
        match request {
            StoreRequest::Get { key } => StoreReply::Value(self.entry(key)),
            StoreRequest::List { prefix } => {
                let range = self.values.range(prefix.clone()..);
                let keys = range.take_while(|(key, _)| key.as_str().starts_with(prefix.as_str()));
                let entries = keys.filter_map(|(key, _)| self.entry(key)).collect();
                let latest_version = KeyVersion(self.latest_version);
                StoreReply::Entries { entries, removed: Vec::new(), latest_version }
            }
            StoreRequest::Put { key, value, expected, .. } => {
                let current = self.values.get(key).map_or(KeyVersion(0), |(version, _)| *version);
                if expected.is_some_and(|expected| expected != current) {
                    return StoreReply::Conflict(self.entry(key));
                }
                self.latest_version += 1;
                let version = KeyVersion(self.latest_version);
                self.values.insert(key.clone(), (version, Arc::clone(value)));
                StoreReply::Written(version)
            }
            _ => StoreReply::LeaseNotFound,
        }
    }

    /// Returns the entry of `key`, if it exists.
    pub(super) fn entry(&self, key: &StoreKey) -> Option<StoreEntry> {
        let (version, value) = self.values.get(key)?;
        Some(StoreEntry { key: key.clone(), version: *version, value: Arc::clone(value) })
    }
}
