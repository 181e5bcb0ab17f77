//! Decides when a starting node is ready.
//!
//! A node that serves with an older configuration than it had before its restart would accept withdrawn keys again. If
//! the store answers, its generation is the latest. Otherwise the node queries every peer that it knows. It is then
//! ready once each peer has answered or left all queries unanswered, at least one has a generation, and the latest of
//! their generations is in force. While neither the store nor any peer has a generation, the node isn't ready, without
//! a time limit: a fleet that restarts as a whole during an outage of the store waits for the store.

use std::collections::BTreeMap;

use godwitroad_base::{ClockTime, VmName};

use crate::settings::SyncSettings;

/// The evidence that the node's generation was the latest available when it became ready.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ReadySource {
    /// A read of the head that was sent after the start of the node.
    Store,
    /// The statuses of all reachable peers, because the store did not answer or its generation was refused.
    Peers,
}

#[derive(Clone, Copy, Debug, Default)]
struct PeerQuery {
    queries: u32,
    last_sent: ClockTime,
    generation: Option<u64>,
}

#[derive(Clone, Debug)]
pub(crate) struct StartupCheck {
    store_generation: Option<u64>,
    store_failed: bool,
    peers: BTreeMap<VmName, PeerQuery>,
    has_roster: bool,
}

impl StartupCheck {
    pub(crate) fn new() -> StartupCheck {
        StartupCheck {
            store_generation: None,
            store_failed: false,
            peers: BTreeMap::new(),
            has_roster: false,
        }
    }

    /// Records the generation of a head that was read after the start.
    pub(crate) fn record_store_generation(&mut self, generation: u64) {
        self.store_generation = self.store_generation.max(Some(generation));
    }

    /// Records that the router refused the store's generation, so that the peers must be queried.
    pub(crate) fn handle_refusal(&mut self, generation: u64) {
        if self.store_generation == Some(generation) {
            self.store_generation = None;
            self.store_failed = true;
        }
    }

    pub(crate) fn record_store_failure(&mut self) {
        self.store_failed = true;
    }

    pub(crate) fn record_status_response(&mut self, peer: &VmName, generation: u64) {
        if let Some(query) = self.peers.get_mut(peer) {
            query.generation = query.generation.max(Some(generation));
        }
    }

    pub(crate) fn add_peers<'a>(&mut self, peers: impl Iterator<Item = &'a VmName>) {
        self.has_roster = true;
        for peer in peers {
            self.peers.entry(peer.clone()).or_default();
        }
    }

    /// Returns the peers to query now; empty unless a read of the store has failed.
    pub(crate) fn due_queries(&mut self, now: ClockTime, settings: &SyncSettings) -> Vec<VmName> {
        if !self.store_failed {
            return Vec::new();
        }
        let mut due_peers = Vec::new();
        for (peer, query) in &mut self.peers {
            let is_due =
                query.queries == 0 || now.since(query.last_sent) >= settings.startup_query_period;
            // An unresponsive peer is still queried after the limit, at a tenth of the rate, because it may have a
            // later generation or be the first to recover.
            let is_past_limit = query.queries >= settings.startup_query_limit;
            let is_too_early = is_past_limit
                && now.since(query.last_sent).as_ms() < 10 * settings.startup_query_period.as_ms();
            if query.generation.unwrap_or(0) == 0 && is_due && !is_too_early {
                query.queries += 1;
                query.last_sent = now;
                due_peers.push(peer.clone());
            }
        }
        due_peers
    }

    /// Returns the evidence that `generation` is the latest available, or a description of what the node is waiting
    /// for.
    pub(crate) fn check(
        &self,
        now: ClockTime,
        settings: &SyncSettings,
        generation: u64,
    ) -> Result<ReadySource, &'static str> {
        if let Some(latest) = self.store_generation {
            return match latest {
                0 => Err("the store holds no configuration"),
                latest if generation < latest => Err("the newest generation is being fetched"),
                _ => Ok(ReadySource::Store),
            };
        }
        if !self.store_failed {
            return Err("the store has not answered yet");
        }
        if !self.has_roster {
            return Err("the peers are not known yet");
        }
        let is_resolved = |query: &PeerQuery| {
            query.generation.is_some()
                || query.queries > settings.startup_query_limit
                || (query.queries == settings.startup_query_limit
                    && now.since(query.last_sent) >= settings.startup_query_period)
        };
        if !self.peers.values().all(is_resolved) {
            return Err("the peers are being asked");
        }
        let latest = self.peers.values().filter_map(|query| query.generation).max();
        match latest.unwrap_or(0) {
            0 => Err("neither the store nor a peer has a configuration to give"),
            latest if generation < latest => Err("the newest generation is being fetched"),
            _ => Ok(ReadySource::Peers),
        }
    }
}
