//! A cache of answer bodies that are too large for the store.
//!
//! The VM that ran a request keeps the body for callers who repeat the request, within a fixed number of bytes. Without
//! the body a repeated request gets no answer text; the record that the request ran is not affected.

use std::{collections::BTreeMap, sync::Arc};

use crate::key::ClaimHash;

/// The cached bodies; the oldest are evicted first.
#[derive(Clone, Debug, Default)]
pub(crate) struct BodyCache {
    bodies: BTreeMap<u64, (ClaimHash, Arc<[u8]>)>,
    serials: BTreeMap<ClaimHash, u64>,
    bytes: usize,
    last_serial: u64,
}

impl BodyCache {
    pub(crate) fn put(&mut self, hash: ClaimHash, body: Arc<[u8]>, limit: usize) {
        if body.len() > limit {
            return;
        }
        self.last_serial += 1;
        self.bytes += body.len();
        self.bodies.insert(self.last_serial, (hash, body));
        if let Some(old) = self.serials.insert(hash, self.last_serial) {
            self.remove(old);
        }
        while self.bytes > limit {
            let Some(oldest) = self.bodies.keys().next().copied() else { break };
            self.remove(oldest);
        }
    }

    pub(crate) fn get(&self, hash: ClaimHash) -> Option<Arc<[u8]>> {
        let serial = self.serials.get(&hash)?;
        self.bodies.get(serial).map(|(_, body)| body.clone())
    }

    fn remove(&mut self, serial: u64) {
        if let Some((hash, body)) = self.bodies.remove(&serial) {
            self.bytes -= body.len();
            if self.serials.get(&hash) == Some(&serial) {
                self.serials.remove(&hash);
            }
        }
    }
}
