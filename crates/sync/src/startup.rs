//! When a starting node is ready.
//!
//! A node that serves an older configuration than it had before its restart would bring withdrawn keys back. The
//! store's answer settles which generation is the newest. Without the store, every peer that the node knows is
//! asked, and it is ready once each has answered or stayed silent through all queries, at least one has supplied a
//! generation, and the newest one supplied is in force. With neither the store nor a peer that has a generation the
//! node isn't ready, however long that lasts: a whole fleet that restarts without the store waits for the store.

use std::collections::BTreeMap;

use godwitroad_base::{ClockTime, VmName};

use crate::settings::SyncSettings;

/// What proved that the node's generation was the newest to be had.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ReadySource {
    /// A read of the head, sent after the start.
    Store,
    /// The answers of all reachable peers.
    Peers,
}

#[derive(Clone, Copy, Debug, Default)]
struct PeerInquiry {
    queries: u32,
    last: ClockTime,
    generation: Option<u64>,
}

#[derive(Clone, Debug)]
pub(crate) struct StartupCheck {
    store: Option<u64>,
    store_failed: bool,
    peers: BTreeMap<VmName, PeerInquiry>,
    has_roster: bool,
}

impl StartupCheck {
    pub(crate) fn new() -> StartupCheck {
        StartupCheck { store: None, store_failed: false, peers: BTreeMap::new(), has_roster: false }
    }

    /// Records the generation of a head that was read after the start.
    pub(crate) fn read_store(&mut self, generation: u64) {
        self.store = self.store.max(Some(generation));
    }

    /// Records that the store's generation can't come into force, so that the peers must be asked.
    pub(crate) fn refuse(&mut self, generation: u64) {
        if self.store == Some(generation) {
            self.store = None;
            self.store_failed = true;
        }
    }

    pub(crate) fn fail_store(&mut self) {
        self.store_failed = true;
    }

    pub(crate) fn answer(&mut self, peer: &VmName, generation: u64) {
        if let Some(inquiry) = self.peers.get_mut(peer) {
            inquiry.generation = inquiry.generation.max(Some(generation));
        }
    }

    pub(crate) fn know<'a>(&mut self, peers: impl Iterator<Item = &'a VmName>) {
        self.has_roster = true;
        for peer in peers {
            self.peers.entry(peer.clone()).or_default();
        }
    }

    /// Returns the peers to ask now; none while the store has not failed.
    pub(crate) fn ask(&mut self, now: ClockTime, settings: &SyncSettings) -> Vec<VmName> {
        if !self.store_failed {
            return Vec::new();
        }
        let mut due = Vec::new();
        for (peer, inquiry) in &mut self.peers {
            let is_due = inquiry.queries == 0 || now.since(inquiry.last) >= settings.start_period;
            // A silent peer is asked on after the last counted query, at a tenth of the pace, because it may be the
            // one that knows more, or the first to come back.
            let is_late = inquiry.queries >= settings.start_queries;
            let is_slow =
                is_late && now.since(inquiry.last).as_ms() < 10 * settings.start_period.as_ms();
            if inquiry.generation.unwrap_or(0) == 0 && is_due && !is_slow {
                inquiry.queries += 1;
                inquiry.last = now;
                due.push(peer.clone());
            }
        }
        due
    }

    /// Returns what proves that `generation` is the newest to be had, or the reason for which nothing does.
    pub(crate) fn check(
        &self,
        now: ClockTime,
        settings: &SyncSettings,
        generation: u64,
    ) -> Result<ReadySource, &'static str> {
        if let Some(newest) = self.store {
            return match newest {
                0 => Err("the store holds no configuration"),
                newest if generation < newest => Err("the newest generation is being fetched"),
                _ => Ok(ReadySource::Store),
            };
        }
        if !self.store_failed {
            return Err("the store has not answered yet");
        }
        if !self.has_roster {
            return Err("the peers are not known yet");
        }
        let is_settled = |inquiry: &PeerInquiry| {
            inquiry.generation.is_some()
                || inquiry.queries > settings.start_queries
                || (inquiry.queries == settings.start_queries
                    && now.since(inquiry.last) >= settings.start_period)
        };
        if !self.peers.values().all(is_settled) {
            return Err("the peers are being asked");
        }
        let newest = self.peers.values().filter_map(|inquiry| inquiry.generation).max();
        match newest.unwrap_or(0) {
            0 => Err("neither the store nor a peer has a configuration to give"),
            newest if generation < newest => Err("the newest generation is being fetched"),
            _ => Ok(ReadySource::Peers),
        }
    }
}
