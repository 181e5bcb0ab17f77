//! Events, actions and peer messages of the membership state machine.

use std::collections::BTreeMap;

use godwitroad_base::{ClockSpan, Incarnation, NodeId, VmName, ZoneName};
use godwitroad_store::{CallId, StoreOutcome, StoreRequest};
use serde::{Deserialize, Serialize};

use crate::roster::Roster;

/// One entry of the platform's VM list.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct VmListing {
    /// The name of the VM.
    pub vm: VmName,
    /// The state reported by the platform, which may be stale.
    pub state: VmState,
}

/// The state of a VM in the platform's list.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum VmState {
    /// The VM is running.
    Live,
    /// The platform is about to remove the VM.
    Leaving,
}

/// An event handled by [`crate::MemberTable::handle`].
#[derive(Clone, Debug)]
pub enum MemberEvent {
    /// The platform's complete VM list was read.
    VmList(Vec<VmListing>),
    /// A peer sent a message.
    Peer {
        /// The process that sent the message.
        from: NodeId,
        /// The received message.
        message: MemberMessage,
    },
    /// A call to the store completed or failed.
    Store {
        /// The identifier that this table assigned to the call.
        call: CallId,
        /// The reply or the failure.
        outcome: StoreOutcome,
    },
    /// The process shuts down and has to leave the roster.
    Leave,
    /// All state held by this process was handed off and the successors confirmed it.
    HandoffComplete,
    /// Periodic call that drives heartbeats, reads and time-outs.
    Tick,
}

/// A message between the members of a zone.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum MemberMessage {
    /// A periodic heartbeat.
    Heartbeat(Heartbeat),
    /// Requests the receiver's roster, if the receiver belongs to this zone.
    #[serde(rename = "RosterAsk")]
    RosterRequest(ZoneName),
    /// The sender's roster, as read from or written to the store.
    RosterCopy {
        /// The zone of the roster.
        zone: ZoneName,
        /// The sender's roster of that zone.
        roster: Roster,
    },
    /// Requests the rosters of the other zones.
    #[serde(rename = "NeighbourAsk")]
    RemoteRostersRequest,
    /// The rosters of the other zones known to the sender.
    #[serde(rename = "Neighbours")]
    RemoteRosters(BTreeMap<ZoneName, Roster>),
}

/// A heartbeat to one peer. It also carries the sender's acknowledgement of the receiver's lease term.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Heartbeat {
    /// The epoch of the sender's roster.
    pub epoch: u64,
    /// The number of this heartbeat among those of the sending process.
    #[serde(rename = "beat")]
    pub sequence: u64,
    /// The newest heartbeat that the sender received from the receiver.
    pub echo: Option<HeartbeatEcho>,
    /// Whether the sender acknowledges the receiver's term: it has not voted to remove the receiver in this epoch.
    #[serde(rename = "vouch")]
    pub term_ack: bool,
    /// The members whose removal the sender has voted for in this epoch.
    #[serde(rename = "promises")]
    pub removal_votes: Vec<VmName>,
    /// The time since the sender requested its newest read of this epoch from the store; `None` without such a read.
    pub confirmed_age: Option<ClockSpan>,
    /// Whether the sender is leaving the roster.
    pub leaving: bool,
    /// The sum of the epochs of the other zones' rosters known to the sender.
    #[serde(rename = "neighbours")]
    pub remote_epochs: u64,
    /// State of the sender that other modules distribute by heartbeat.
    pub summary: NodeSummary,
}

/// Identifies a received heartbeat in a heartbeat sent back to its sender.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct HeartbeatEcho {
    /// The incarnation of the process that sent the heartbeat.
    pub incarnation: Incarnation,
    /// The sequence number of that heartbeat.
    #[serde(rename = "beat")]
    pub sequence: u64,
}

/// State of a router that it distributes with its heartbeats.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct NodeSummary {
    /// The generation of the configuration in force.
    pub generation: u64,
    /// The first 64 bits of the digest of that configuration.
    pub digest: u64,
    /// The number of requests waiting or running on the router.
    pub load: u32,
}

/// An action to be carried out by the caller of [`crate::MemberTable::handle`].
#[derive(Clone, Debug)]
pub enum MemberAction {
    /// Sends a message to a peer.
    Send {
        /// The receiver's VM.
        to: VmName,
        /// The receiver's address from the roster; `None` if the VM is known only from the VM list.
        address: Option<String>,
        /// The message to send.
        message: MemberMessage,
    },
    /// Calls the store.
    Store {
        /// The identifier of the call, unique only among the calls of this table.
        call: CallId,
        /// The request to send to the store.
        request: StoreRequest,
    },
    /// Reports a change to the other state machines of this router.
    Report(MemberReport),
}

/// A membership change that affects the other state machines of the router.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum MemberReport {
    /// The process adopted a roster with a newer epoch.
    RosterChanged {
        /// The epoch of the adopted roster.
        epoch: u64,
    },
    /// The lease term started: the process may act as holder of the keys that it owns.
    TermStarted {
        /// The epoch of the roster.
        epoch: u64,
    },
    /// The lease term expired: the process may not act as holder of any key.
    TermEnded,
    /// No holder of an earlier epoch can act any more, so keys that moved in this epoch may be held.
    Settled {
        /// The epoch of the roster.
        epoch: u64,
    },
    /// The known rosters of other zones changed.
    #[serde(rename = "NeighboursChanged")]
    RemoteRostersChanged,
    /// The process must hand off all state that it holds; [`MemberEvent::HandoffComplete`] reports the end.
    #[serde(rename = "HandOver")]
    HandoffRequired,
    /// The process is no longer in the roster and may exit.
    Left,
}
