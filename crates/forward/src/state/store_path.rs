//! The path of calls to the store: from this router, or through a peer.
//!
//! The store may reject single routers, or a router may lose its own link to it, while the others go on. Calls of such a
//! router are made through a peer that reaches the store itself. The store answers them as it answers direct ones, so the
//! answers are freshness proofs too, and nothing that a peer knows is taken for the store's. A direct call is tried from
//! time to time until one is answered.

use std::collections::BTreeMap;

use godwitroad_base::{ClockSpan, ClockTime, VmName};

use super::{ForwardState, RelayPeer};

/// The minimum time between two direct calls of a router whose calls are made through peers.
const PROBE_INTERVAL: ClockSpan = ClockSpan::from_ms(2_000);

/// The time for which a peer through which a call failed is asked last.
const FAILURE_MEMORY: ClockSpan = ClockSpan::from_ms(2_000);

/// The path of a call to the store.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum StoreRoute {
    /// A connection from this router.
    Direct,
    /// A connection through the first of these peers that opens one.
    Peers {
        /// The peers to ask, one after the other.
        peers: Vec<RelayPeer>,
        /// Whether to try a direct call beside this one.
        tries_direct: bool,
    },
}

/// What is known about the paths to the store.
#[derive(Debug, Default)]
pub(super) struct StorePath {
    // Whether the last direct call was answered; `None` before the first.
    is_answered: Option<bool>,
    // When the last direct call ended, or a probe was last planned.
    last_direct: ClockTime,
    failed_peers: BTreeMap<VmName, ClockTime>,
}

impl StorePath {
    /// Returns whether the store answers this router directly, as far as is known.
    pub(super) fn is_direct(&self) -> bool {
        self.is_answered == Some(true)
    }

    // Returns whether a direct call should be tried now; if so, it counts as planned.
    fn take_probe(&mut self, now: ClockTime) -> bool {
        let is_due = now.since(self.last_direct) >= PROBE_INTERVAL;
        if is_due {
            self.last_direct = now;
        }
        is_due
    }

    fn has_failed(&self, now: ClockTime, peer: &VmName) -> bool {
        self.failed_peers.get(peer).is_some_and(|at| now.since(*at) < FAILURE_MEMORY)
    }

    fn has_failures(&self, now: ClockTime) -> bool {
        self.failed_peers.values().any(|at| now.since(*at) < FAILURE_MEMORY)
    }

    // Records that a call through a peer ended.
    fn record_relayed(&mut self, now: ClockTime, peer: &VmName, is_answered: bool) {
        self.failed_peers.retain(|_, at| now.since(*at) < FAILURE_MEMORY);
        if is_answered {
            self.failed_peers.remove(peer);
        } else {
            self.failed_peers.insert(peer.clone(), now);
        }
    }
}

impl ForwardState {
    /// Returns how to call the store.
    pub fn plan_store_call(&mut self, now: ClockTime) -> StoreRoute {
        if self.store_path.is_answered != Some(false) {
            return StoreRoute::Direct;
        }
        let key = self.random.next_u64();
        let path = &self.store_path;
        let has_failures = path.has_failures(now);
        let peers = self.nearest_peers(
            now,
            key,
            |message| !message.stopping && message.reaches_store,
            // After a failure, routers that watch the store come first, as only they know of its answers lately.
            |message| match path.has_failed(now, &message.place.vm) {
                true => 2,
                false => u8::from(has_failures && !message.watches_store),
            },
        );
        if peers.is_empty() {
            return StoreRoute::Direct;
        }
        StoreRoute::Peers { peers, tries_direct: self.store_path.take_probe(now) }
    }

    /// Records the end of a call to the store, through a peer or directly: whether the store answered and didn't reject it.
    pub fn record_store_call(&mut self, now: ClockTime, peer: Option<&VmName>, is_answered: bool) {
        if let Some(peer) = peer {
            return self.store_path.record_relayed(now, peer, is_answered);
        }
        self.store_path.last_direct = now;
        let before = self.store_path.is_answered.replace(is_answered);
        match (before, is_answered) {
            (Some(false), true) => self.notice("store_reached", String::new()),
            (None | Some(true), false) => {
                let relays = self.peers.reachable(now).filter(|(message, _)| message.reaches_store);
                let detail = format!("peers_that_reach_it={}", relays.count());
                self.notice("store_out_of_reach", detail);
            }
            _ => {}
        }
    }

    /// Returns whether peers may call the store through this router.
    pub fn relays_store(&self) -> bool {
        !self.stop.is_stopping() && self.store_path.is_direct()
    }
}
