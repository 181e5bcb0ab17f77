//! Keeps the configuration up to date with what peers have.
//!
//! Each gossip message names the version of its sender's configuration, so that a router usually hears of a change before
//! it reads it. It reads a newer configuration from a peer that has it: its own position in the store's changes, the
//! state of its calls to the store and the pauses between them don't delay that. Until it has it, it handles requests by
//! its own version only while its freshness proof shows that the newer one can't have been confirmed for long.

use godwitroad_base::{ClockSpan, ClockTime, VmName};

use super::{ForwardAction, ForwardState, RelayPeer, gossip::MAX_GOSSIP_DELAY};
use crate::{ForwardRules, GossipMessage, recent::RecentEntries};

/// The longest pause before the first read, for each reachable peer of the zone. They all hear of a change at once, when
/// few peers have it.
const PAUSE_PER_PEER: ClockSpan = ClockSpan::from_ms(8);

/// The longest such pause in a large zone.
const MAX_PAUSE: ClockSpan = ClockSpan::from_ms(400);

/// The pause before peers are asked again, if none handed on its configuration.
const RETRY_PAUSE: ClockSpan = ClockSpan::from_ms(100);

/// The time for which a peer that didn't hand on its configuration is asked last.
const FAILURE_MEMORY: ClockSpan = ClockSpan::from_ms(2_000);

/// Limit of remembered peers that failed.
const MAX_FAILED_PEERS: usize = 32;

/// A newer configuration that peers have.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct ConfigRead {
    /// The version of the configuration in force here.
    pub own_version: u64,
    /// The peers to read a newer one from, in the order in which to ask them.
    pub peers: Vec<RelayPeer>,
}

/// The newer configuration that this router has heard of and doesn't have yet.
#[derive(Clone, Debug)]
pub(super) struct ConfigSync {
    // When a peer first had a newer configuration.
    behind_since: Option<ClockTime>,
    // When to read it next.
    read_at: ClockTime,
    failed_peers: RecentEntries<VmName>,
}

impl Default for ConfigSync {
    fn default() -> ConfigSync {
        ConfigSync {
            behind_since: None,
            read_at: ClockTime::default(),
            failed_peers: RecentEntries::new(MAX_FAILED_PEERS),
        }
    }
}

impl ForwardState {
    /// Returns when to read a newer configuration from a peer; `None` if this router knows of none.
    pub fn next_config_read(&self) -> Option<ClockTime> {
        self.config_sync.behind_since.map(|_| self.config_sync.read_at)
    }

    /// Begins a read of the newest configuration that peers have, if one is due and a reachable peer has it.
    pub fn begin_config_read(&mut self, now: ClockTime) -> Option<ConfigRead> {
        if self.next_config_read().is_none_or(|at| now < at) {
            return None;
        }
        self.config_sync.read_at = now + RETRY_PAUSE;
        let own_version = self.config_version();
        let is_source = |message: &GossipMessage| {
            message.shares_changes && !message.stopping && message.version > own_version
        };
        let reachable = self.peers.reachable(now).map(|(message, _)| message);
        let newest = reachable.filter(|message| is_source(message)).map(|message| message.version);
        let newest = newest.max()?;
        let key = self.random.next_u64();
        let failed = self.config_sync.failed_peers.unexpired(now, FAILURE_MEMORY);
        let peers = self.nearest_peers(
            now,
            key,
            |message| is_source(message) && message.version == newest,
            // Watchers have a change first, and are needed for the next one.
            |message| match failed.contains(&message.place.vm) {
                true => 2,
                false => u8::from(message.watches_store),
            },
        );
        Some(ConfigRead { own_version, peers })
    }

    /// Records that a peer didn't hand on its configuration.
    pub fn record_failed_config_read(&mut self, now: ClockTime, peer: &VmName) {
        self.config_sync.failed_peers.push(now, peer.clone());
    }

    /// Returns whether requests must not be handled by the configuration in force: a peer has a newer one, and there is
    /// no recent proof that this one was the newest.
    pub(super) fn is_config_outdated(&self, now: ClockTime) -> bool {
        let own = self.config_version();
        let is_behind = || {
            self.era.has_newer_version(now, own)
                || self.peers.reachable(now).any(|(message, _)| message.version > own)
        };
        let apply_span = self.settings.contact.apply_span;
        self.config_sync.behind_since.is_some()
            && self.freshness.age(now).is_none_or(|age| age >= apply_span)
            && is_behind()
    }

    /// Records the configuration version in a message of a peer.
    pub(super) fn observe_peer_config(
        &mut self,
        now: ClockTime,
        message: &GossipMessage,
        actions: &mut Vec<ForwardAction>,
    ) {
        let own = self.config_version();
        if message.version <= own || self.config_sync.behind_since.is_some() {
            return;
        }
        // A router without a configuration serves nothing, so it doesn't wait.
        let pause = match self.rules {
            None => ClockSpan::ZERO,
            Some(_) => self.zone_pause(now, PAUSE_PER_PEER, MAX_PAUSE),
        };
        self.config_sync.behind_since = Some(now);
        self.config_sync.read_at = now + pause;
        let detail = format!(
            "config_version={own} peer_version={} peer={} proof_age_ms={:?}",
            message.version,
            message.place.vm,
            self.freshness.age(now).map(ClockSpan::as_ms),
        );
        actions.push(ForwardAction::Notice("configuration_behind", detail));
        actions.push(ForwardAction::ReadConfig);
    }

    /// Records that `rules` are about to be in force. Returns how long this router knew of a newer configuration; zero if
    /// it is the first that it hears of this one.
    pub(super) fn end_config_lag(
        &mut self,
        now: ClockTime,
        rules: &ForwardRules,
        actions: &mut Vec<ForwardAction>,
    ) -> ClockSpan {
        let since = self.config_sync.behind_since.take();
        let lag = since.map_or(ClockSpan::ZERO, |since| now.since(since));
        actions.push(ForwardAction::Measure("config.lag_ms", lag.as_ms()));
        if self.peers.reachable(now).any(|(message, _)| message.version > rules.version) {
            self.config_sync.behind_since = since;
        }
        lag
    }

    /// Records the freshness proofs in the last messages of the peers with the configuration in force. They counted for
    /// nothing while this router had another version.
    pub(super) fn record_proofs_of_peers(&mut self, now: ClockTime) {
        let version = self.config_version();
        let reachable = self.peers.iter().filter(|peer| peer.is_reachable(now));
        let proofs: Vec<_> = reachable
            .filter_map(|peer| {
                let message = peer.last_message.as_ref()?;
                let age_ms = message.proof_age_ms.filter(|_| message.version == version)?;
                Some((peer.arrived_after?, age_ms))
            })
            .collect();
        for (arrived_after, age_ms) in proofs {
            self.record_peer_proof(arrived_after, age_ms);
        }
    }

    /// Records the proof in a message that arrived after a time: its age when the message was sent, in milliseconds.
    pub(super) fn record_peer_proof(&mut self, arrived_after: ClockTime, age_ms: u32) {
        let age = ClockSpan::from_ms(age_ms.into()) + MAX_GOSSIP_DELAY;
        self.freshness.record_aged_proof(arrived_after, age);
    }
}
