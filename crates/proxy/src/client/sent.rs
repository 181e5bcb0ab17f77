//! The requests that were sent recently, by the address of the target and their id.

use std::{
    collections::{HashSet, VecDeque},
    hash::{DefaultHasher, Hash, Hasher},
    net::SocketAddr,
};

/// Limit of remembered requests. It covers more than the time within which an id comes again.
const MAX_REQUESTS: usize = 8_192;

/// The latest requests. Two whose hashes are equal count as the same, which costs a connection.
#[derive(Debug, Default)]
pub(super) struct SentRequests {
    hashes: HashSet<u64>,
    order: VecDeque<u64>,
}

impl SentRequests {
    /// Records that a request is sent to an address; returns whether one with its id was sent there before.
    pub(super) fn record(&mut self, address: SocketAddr, id: &str) -> bool {
        let mut hasher = DefaultHasher::new();
        (address, id).hash(&mut hasher);
        let hash = hasher.finish();
        if !self.hashes.insert(hash) {
            return true;
        }
        self.order.push_back(hash);
        if self.order.len() > MAX_REQUESTS
            && let Some(oldest) = self.order.pop_front()
        {
            self.hashes.remove(&oldest);
        }
        false
    }
}

#[cfg(test)]
#[path = "../../tests/unit/sent.rs"]
mod tests;
