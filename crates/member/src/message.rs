//! Events, messages and actions of the membership.

use std::collections::BTreeMap;

use godwitroad_base::{ClockSpan, Incarnation, NodeId, VmName, ZoneName};
use godwitroad_store::{CallId, StoreOutcome, StoreRequest};
use serde::{Deserialize, Serialize};

use crate::roster::Roster;

/// A line of the platform's VM list.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct VmListing {
    /// The VM.
    pub vm: VmName,
    /// The state that the platform shows, which can be old.
    pub state: VmState,
}

/// The state of a VM in the platform's list.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum VmState {
    /// The VM runs.
    Live,
    /// The VM will be taken away.
    Leaving,
}

/// An event that [`crate::MemberTable::handle`] takes.
#[derive(Clone, Debug)]
pub enum MemberEvent {
    /// The platform's VM list was read.
    VmList(Vec<VmListing>),
    /// A peer sent a message.
    Peer {
        /// The sender.
        from: NodeId,
        /// The message.
        message: MemberMessage,
    },
    /// A call to the store ended.
    Store {
        /// The call, as numbered by this table.
        call: CallId,
        /// What came of it.
        outcome: StoreOutcome,
    },
    /// The process was asked to leave the roster.
    Leave,
    /// Everything that this process held was handed over and the successors confirmed it.
    HandoffComplete,
    /// Time passed.
    Tick,
}

/// A message between the members of a zone.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum MemberMessage {
    /// A sign of life.
    Heartbeat(Heartbeat),
    /// Asks for the receiver's roster, if it belongs to this zone.
    #[serde(rename = "RosterAsk")]
    RosterRequest(ZoneName),
    /// The sender's roster, which the store has confirmed.
    RosterCopy {
        /// The zone of the roster.
        zone: ZoneName,
        /// The roster.
        roster: Roster,
    },
    /// Asks for the rosters of the other zones.
    #[serde(rename = "NeighbourAsk")]
    RemoteRostersRequest,
    /// The rosters of the other zones that the sender knows.
    #[serde(rename = "Neighbours")]
    RemoteRosters(BTreeMap<ZoneName, Roster>),
}

/// A sign of life.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Heartbeat {
    /// The epoch of the sender's roster.
    pub epoch: u64,
    /// The number of this heartbeat.
    #[serde(rename = "beat")]
    pub sequence: u64,
    /// The newest heartbeat of the receiver that the sender has seen.
    pub echo: Option<HeartbeatEcho>,
    /// Whether the sender hasn't promised to remove the receiver in this epoch.
    #[serde(rename = "vouch")]
    pub term_ack: bool,
    /// The members whose removal the sender has promised in this epoch.
    #[serde(rename = "promises")]
    pub removal_votes: Vec<VmName>,
    /// The age of the sender's own read of this epoch from the store.
    pub confirmed_age: Option<ClockSpan>,
    /// Whether the sender is leaving.
    pub leaving: bool,
    /// The sum of the epochs of the other zones' rosters that the sender knows.
    #[serde(rename = "neighbours")]
    pub remote_epochs: u64,
    /// Facts of the sender that other modules spread.
    pub summary: NodeSummary,
}

/// The heartbeat that an answer refers to.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct HeartbeatEcho {
    /// The incarnation of the process that sent the heartbeat.
    pub incarnation: Incarnation,
    /// The number of the heartbeat.
    #[serde(rename = "beat")]
    pub sequence: u64,
}

/// Facts of a router that its heartbeats spread.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct NodeSummary {
    /// The generation of the configuration in force.
    pub generation: u64,
    /// The first 64 bits of the digest of that configuration.
    pub digest: u64,
    /// The requests that wait or run on the router.
    pub load: u32,
}

/// An action that the driver carries out.
#[derive(Clone, Debug)]
pub enum MemberAction {
    /// Sends a message to a peer.
    Send {
        /// The receiver's VM.
        to: VmName,
        /// The receiver's address, unless it is known only from the VM list.
        address: Option<String>,
        /// The message.
        message: MemberMessage,
    },
    /// Calls the store.
    Store {
        /// The call, as numbered by this table; the driver keeps it apart from the calls of other machines.
        call: CallId,
        /// The request.
        request: StoreRequest,
    },
    /// Tells the other machines of this router what changed.
    Report(MemberReport),
}

/// A change that other machines must know.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum MemberReport {
    /// A roster of this epoch is in force for this process.
    RosterChanged {
        /// The epoch.
        epoch: u64,
    },
    /// The process may hold what it owns.
    TermStarted {
        /// The epoch.
        epoch: u64,
    },
    /// The process may hold nothing.
    TermEnded,
    /// New keys of this epoch may be held: no holder of an earlier epoch acts any more.
    Settled {
        /// The epoch.
        epoch: u64,
    },
    /// The rosters of other zones changed.
    #[serde(rename = "NeighboursChanged")]
    RemoteRostersChanged,
    /// The process must hand over what it holds and then send [`MemberEvent::HandoffComplete`].
    #[serde(rename = "HandOver")]
    HandoffRequired,
    /// The process left the roster and may exit.
    Left,
}
