//! The state that a process keeps for each peer.

use std::collections::BTreeSet;

use godwitroad_base::{ClockTime, Incarnation, VmName};
use serde::{Deserialize, Serialize};

use crate::{
    message::{Heartbeat, NodeSummary},
    settings::MemberSettings,
};

/// The health of a peer as this process sees it.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum PeerHealth {
    /// Heartbeats arrive in both directions.
    Live,
    /// No two-way heartbeat for `suspect_after`: the peer may be slow, paused or cut off.
    Suspect,
    /// No two-way heartbeat for `unreachable_after`: this process votes for the peer's removal.
    Unreachable,
    /// The peer announced that it is leaving, or the platform's VM list says so.
    Leaving,
    /// The platform's list no longer includes the VM, and it has sent no two-way heartbeat for `suspect_after`.
    Gone,
}

/// The state of one peer, built from its heartbeats.
#[derive(Clone, Debug)]
pub(crate) struct PeerState {
    pub(crate) incarnation: Incarnation,
    /// The number of the peer's newest heartbeat, which the next heartbeat to it echoes.
    pub(crate) sequence: Option<u64>,
    /// The last time a heartbeat of the peer echoed a recent heartbeat of this process.
    pub(crate) last_two_way: ClockTime,
    /// The highest epoch that the peer has sent.
    pub(crate) epoch: u64,
    pub(crate) leaving: bool,
    /// The members whose removal the peer has voted for in its epoch.
    pub(crate) removal_votes: BTreeSet<VmName>,
    pub(crate) summary: NodeSummary,
}

impl PeerState {
    /// Returns the state of a peer that counts as reachable at `now`, before its first heartbeat.
    pub(crate) fn new(incarnation: Incarnation, now: ClockTime) -> PeerState {
        PeerState {
            incarnation,
            sequence: None,
            last_two_way: now,
            epoch: 0,
            leaving: false,
            removal_votes: BTreeSet::new(),
            summary: NodeSummary::default(),
        }
    }

    /// Applies a heartbeat, and returns whether it is newer than all earlier ones.
    pub(crate) fn apply_heartbeat(&mut self, heartbeat: &Heartbeat) -> bool {
        // Delayed and duplicated heartbeats are ignored, so that the epoch of a peer never decreases.
        if self.sequence.is_some_and(|sequence| heartbeat.sequence <= sequence) {
            return false;
        }
        self.sequence = Some(heartbeat.sequence);
        self.epoch = self.epoch.max(heartbeat.epoch);
        self.leaving = heartbeat.leaving;
        self.removal_votes = heartbeat.removal_votes.iter().cloned().collect();
        self.summary = heartbeat.summary;
        true
    }

    /// Returns the health of the peer, given whether the platform's list shows its VM as removed or leaving.
    pub(crate) fn health(
        &self,
        now: ClockTime,
        removed: bool,
        leaving: bool,
        settings: &MemberSettings,
    ) -> PeerHealth {
        let elapsed = now.since(self.last_two_way);
        match () {
            () if removed && elapsed >= settings.suspect_after => PeerHealth::Gone,
            () if elapsed >= settings.unreachable_after => PeerHealth::Unreachable,
            () if elapsed >= settings.suspect_after => PeerHealth::Suspect,
            () if self.leaving || leaving => PeerHealth::Leaving,
            () => PeerHealth::Live,
        }
    }
}
