//! Which targets this router reaches directly.
//!
//! A router may lose its own links to targets while its peers keep theirs. A target that doesn't answer a connection attempt
//! is no evidence of that, as it may be down. A target counts as out of reach only once a peer has connected to it while this
//! router's own attempt hung or failed. Connections to it are then opened through peers, and a direct one is tried from time
//! to time until it succeeds.

use std::collections::{BTreeMap, BTreeSet};

use godwitroad_base::{ClockSpan, ClockTime, TargetName, VmName};
use serde::{Deserialize, Serialize};

use crate::tag_of;

/// The settings of the paths to targets.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct ReachSettings {
    /// The time after which a peer is asked while a direct connection attempt is still pending.
    pub hedge_delay: ClockSpan,
    /// The minimum time between two direct connection attempts to a target that is out of reach.
    pub probe_interval: ClockSpan,
    /// The number of targets out of reach, with no sign of any other target since, from which all targets count as such.
    pub cut_evidence: usize,
    /// The maximum number of peers that are asked for one connection.
    pub max_peers: usize,
    /// The time for which a peer that failed to connect to a target is asked last.
    pub failure_memory: ClockSpan,
    /// The number of peers, all if there are fewer, that must have failed beside this router for a target to count as down.
    pub down_evidence: usize,
    /// The number of successive direct connections that end before their first answer, from which on peers are asked as well.
    pub closed_evidence: u32,
}

impl Default for ReachSettings {
    fn default() -> ReachSettings {
        ReachSettings {
            hedge_delay: ClockSpan::from_ms(100),
            probe_interval: ClockSpan::from_ms(1_000),
            cut_evidence: 2,
            max_peers: 4,
            failure_memory: ClockSpan::from_ms(2_000),
            down_evidence: 8,
            closed_evidence: 2,
        }
    }
}

/// How a direct connection attempt stood when a peer had connected to the target.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum DirectOutcome {
    /// No attempt was made, because the target was known to be out of reach.
    Skipped,
    /// The attempt was still pending, so that open connections may hang as well.
    Pending,
    /// The attempt failed. Open connections may live on.
    Failed,
}

/// What a router tells its peers about the targets that it doesn't reach directly.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct ReachNotes {
    /// Whether the router seems to be cut from all targets.
    pub is_cut: bool,
    /// Tags of targets out of reach.
    pub targets: Vec<u32>,
}

/// The evidence of lost paths by target.
#[derive(Debug)]
pub(crate) struct ReachTable {
    settings: ReachSettings,
    lost: BTreeMap<TargetName, LostPath>,
    is_cut: bool,
    // When a target was last seen to answer directly.
    last_direct: ClockTime,
    // Direct attempts at targets that count as out of reach only because all others are.
    probes: BTreeMap<TargetName, ClockTime>,
    // The successive direct connections to each target that ended before their first answer.
    closed: BTreeMap<TargetName, u32>,
    failed_peers: BTreeMap<VmName, ClockTime>,
    // Which peers lately failed to connect to a target that this router can't connect to either.
    failures: BTreeMap<TargetName, PathFailures>,
}

#[derive(Clone, Debug, Default)]
struct PathFailures {
    peers: BTreeSet<VmName>,
    last: ClockTime,
    is_down: bool,
}

#[derive(Clone, Copy, Debug)]
struct LostPath {
    // The run of the target that the evidence is about.
    started_ms: u64,
    since: ClockTime,
}

/// A change of what is known about the paths to targets.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct ReachChange {
    /// Whether the target's path has just been lost or has come back.
    pub target: bool,
    /// Whether this router has just been cut from all targets, or has just reached one again.
    pub cut: bool,
}

/// Limit of targets in a gossip message.
const MAX_TARGETS: usize = 24;

impl ReachNotes {
    /// Returns whether there is nothing to tell.
    pub fn is_empty(&self) -> bool {
        !self.is_cut && self.targets.is_empty()
    }

    /// Returns whether the router that sent this reaches a target directly as far as it knows.
    pub(crate) fn reaches(&self, target: u32) -> bool {
        !self.is_cut && !self.targets.contains(&target)
    }
}

impl ReachTable {
    pub(crate) fn new(settings: ReachSettings) -> ReachTable {
        ReachTable {
            settings,
            lost: BTreeMap::new(),
            is_cut: false,
            last_direct: ClockTime::ZERO,
            probes: BTreeMap::new(),
            closed: BTreeMap::new(),
            failed_peers: BTreeMap::new(),
            failures: BTreeMap::new(),
        }
    }

    pub(crate) fn settings(&self) -> &ReachSettings {
        &self.settings
    }

    /// Returns whether a run of a target is reached directly, as far as is known.
    pub(crate) fn is_direct(&self, target: &TargetName, started_ms: u64) -> bool {
        let is_lost = self.lost.get(target).is_some_and(|path| path.started_ms == started_ms);
        !is_lost && !self.is_cut
    }

    /// Returns whether direct connections to a target end before they bring an answer.
    pub(crate) fn is_doubtful(&self, target: &TargetName) -> bool {
        self.closed.get(target).is_some_and(|closed| *closed >= self.settings.closed_evidence)
    }

    /// Records that a direct connection to a target ended before its first answer.
    pub(crate) fn record_closed(&mut self, target: &TargetName) {
        *self.closed.entry(target.clone()).or_default() += 1;
    }

    /// Records that a peer could not connect to a target.
    pub(crate) fn record_failed_peer(&mut self, now: ClockTime, peer: &VmName) {
        self.failed_peers.insert(peer.clone(), now);
    }

    /// Returns whether a peer lately failed to connect to a target.
    pub(crate) fn has_failed(&self, now: ClockTime, peer: &VmName) -> bool {
        let failed_at = self.failed_peers.get(peer);
        failed_at.is_some_and(|at| now.since(*at) < self.settings.failure_memory)
    }

    /// Records that neither this router nor these peers could connect to a target; `peer_count` peers could be asked. Returns
    /// whether the target has just begun to count as down.
    pub(crate) fn record_unreachable(
        &mut self,
        now: ClockTime,
        target: &TargetName,
        failed: Vec<VmName>,
        peer_count: usize,
    ) -> bool {
        let needed = self.settings.down_evidence.min(peer_count).max(1);
        let failures = self.failures.entry(target.clone()).or_default();
        failures.peers.extend(failed);
        failures.last = now;
        let is_down = failures.peers.len() >= needed;
        is_down && !std::mem::replace(&mut failures.is_down, is_down)
    }

    /// Returns whether neither this router nor any peer could lately connect to a target.
    pub(crate) fn is_down(&self, now: ClockTime, target: &TargetName) -> bool {
        let failures = self.failures.get(target);
        failures.is_some_and(|failures| {
            failures.is_down && now.since(failures.last) < self.settings.failure_memory
        })
    }

    /// Records that a target to which no router could connect has been connected to.
    pub(crate) fn record_up(&mut self, target: &TargetName) {
        self.failures.remove(target);
    }

    /// Drops what is no longer remembered.
    pub(crate) fn expire(&mut self, now: ClockTime) {
        let memory = self.settings.failure_memory;
        self.failed_peers.retain(|_, at| now.since(*at) < memory);
        self.failures.retain(|_, failures| now.since(failures.last) < memory);
    }

    /// Returns whether all targets seem to be out of reach.
    pub(crate) fn is_cut(&self) -> bool {
        self.is_cut
    }

    /// Returns whether a direct connection to a target out of reach should be tried now; if so, the attempt is recorded.
    pub(crate) fn take_probe(&mut self, now: ClockTime, target: &TargetName) -> bool {
        let last = self.probes.get(target);
        let is_due = last.is_none_or(|last| now.since(*last) >= self.settings.probe_interval);
        if is_due {
            self.probes.insert(target.clone(), now);
        }
        is_due
    }

    /// Records an answer over a direct connection. It may be one that lives on while new ones are refused; returns whether this
    /// router no longer seems to be cut from all targets.
    pub(crate) fn record_answer(&mut self, now: ClockTime) -> bool {
        self.last_direct = self.last_direct.max(now);
        std::mem::take(&mut self.is_cut)
    }

    /// Records that a direct connection to a target has proved itself.
    pub(crate) fn record_direct(&mut self, now: ClockTime, target: &TargetName) -> ReachChange {
        let cut = self.record_answer(now);
        let target = self.forget(target);
        ReachChange { target, cut }
    }

    /// Records that a peer connected to a target while this router could not.
    pub(crate) fn record_lost(
        &mut self,
        now: ClockTime,
        target: &TargetName,
        started_ms: u64,
    ) -> ReachChange {
        let known = self.lost.get(target).is_some_and(|path| path.started_ms == started_ms);
        self.failures.remove(target);
        if !known {
            self.lost.insert(target.clone(), LostPath { started_ms, since: now });
            self.probes.insert(target.clone(), now);
        }
        let recent = self.lost.values().filter(|path| path.since > self.last_direct).count();
        let is_cut = self.is_cut || recent >= self.settings.cut_evidence;
        let cut = is_cut != std::mem::replace(&mut self.is_cut, is_cut);
        ReachChange { target: !known, cut }
    }

    /// Forgets a target that is gone or whose path has come back; returns whether it was out of reach.
    pub(crate) fn forget(&mut self, target: &TargetName) -> bool {
        self.probes.remove(target);
        self.closed.remove(target);
        self.failures.remove(target);
        let was_lost = self.lost.remove(target).is_some();
        if self.lost.is_empty() {
            self.is_cut = false;
        }
        was_lost
    }

    /// Returns what the peers are told.
    pub(crate) fn notes(&self) -> ReachNotes {
        let tags = self.lost.keys().map(|target| tag_of(target.as_str()));
        ReachNotes { is_cut: self.is_cut, targets: tags.take(MAX_TARGETS).collect() }
    }
}
