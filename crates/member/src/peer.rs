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
    pub(crate) two_way: ClockTime,
    /// The newest epoch that the peer has shown.
    pub(crate) epoch: u64,
    pub(crate) leaving: bool,
    /// The removals that the peer has promised in its epoch.
    pub(crate) promises: BTreeSet<VmName>,
    pub(crate) summary: NodeSummary,
}

impl PeerState {
    /// Returns the state of a peer that gets the benefit of the doubt from `now` on.
    pub(crate) fn new(incarnation: Incarnation, now: ClockTime) -> PeerState {
        PeerState {
            incarnation,
            sequence: None,
            two_way: now,
            epoch: 0,
            leaving: false,
            promises: BTreeSet::new(),
            summary: NodeSummary::default(),
        }
    }

    /// Takes over what a heartbeat says, and returns whether it is newer than all before it.
    pub(crate) fn hear(&mut self, heartbeat: &Heartbeat) -> bool {
        // Delayed and duplicated heartbeats tell nothing: the epoch of a peer never goes back.
        if self.sequence.is_some_and(|sequence| heartbeat.sequence <= sequence) {
            return false;
        }
        self.sequence = Some(heartbeat.sequence);
        self.epoch = self.epoch.max(heartbeat.epoch);
        self.leaving = heartbeat.leaving;
        self.promises = heartbeat.promises.iter().cloned().collect();
        self.summary = heartbeat.summary;
        true
    }

    /// Returns the health of the peer, given whether the platform's list shows it as gone or leaving.
    pub(crate) fn health(
        &self,
        now: ClockTime,
        gone: bool,
        leaving: bool,
        settings: &MemberSettings,
    ) -> PeerHealth {
        let silence = now.since(self.two_way);
        match () {
            () if gone && silence >= settings.suspect => PeerHealth::Gone,
            () if silence >= settings.unreachable => PeerHealth::Unreachable,
            () if silence >= settings.suspect => PeerHealth::Suspect,
            () if self.leaving || leaving => PeerHealth::Leaving,
            () => PeerHealth::Live,
        }
    }
}
