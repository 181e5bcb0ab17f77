//! What a process knows of each peer.

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
    /// Heartbeats pass in both directions.
    Live,
    /// No two-way heartbeat for a while: the peer is slow or paused, or the network is.
    Suspect,
    /// No two-way heartbeat for so long that this process is ready to promise the peer's removal.
    Unreachable,
    /// The peer said that it leaves, or the platform's list says so.
    Leaving,
    /// The platform's list doesn't show the VM any more and it is silent.
    Gone,
}

/// The state of one peer.
#[derive(Clone, Debug)]
pub(crate) struct PeerState {
    pub(crate) incarnation: Incarnation,
    /// The number of the peer's newest heartbeat, which the next heartbeat to it echoes.
    pub(crate) sequence: Option<u64>,
    /// The last time that a heartbeat echoed one of the last heartbeats of this process.
    pub(crate) last_two_way: ClockTime,
    /// The newest epoch that the peer has shown.
    pub(crate) epoch: u64,
    pub(crate) leaving: bool,
    /// The removals that the peer has promised in its epoch.
    pub(crate) removal_votes: BTreeSet<VmName>,
    pub(crate) summary: NodeSummary,
}

impl PeerState {
    /// Returns the state of a peer that gets the benefit of the doubt from `now` on.
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

    /// Takes over what a heartbeat says, and returns whether it is newer than all before it.
    pub(crate) fn apply_heartbeat(&mut self, heartbeat: &Heartbeat) -> bool {
        // Delayed and duplicated heartbeats tell nothing: the epoch of a peer never goes back.
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

    /// Returns the health of the peer, given whether the platform's list shows it as gone or leaving.
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
