//! The other routers, and what they last said about themselves.
//!
//! Every router tells the others a few times a second what it holds: its configuration's version and proof, the work
//! that it has under way at each target, and what each client account used. The notes are datagrams; a lost one is
//! replaced by the next.

use std::{collections::BTreeMap, net::IpAddr};

use godwitroad_base::{ClockSpan, ClockTime, VmName, ZoneName};
use serde::{Deserialize, Serialize};

use crate::{allowance::UsageEntry, load::LoadEntry, segments::SentPromptEntry};

/// A router as it is listed or heard.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct PeerPlace {
    /// The VM.
    pub vm: VmName,
    /// Its availability zone.
    pub zone: ZoneName,
    /// Its IP address.
    pub address: IpAddr,
}

/// What a router tells its peers about itself.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct GossipMessage {
    /// The sender.
    pub place: PeerPlace,
    /// The longest time between two notes to a peer outside the sender's availability zone, in milliseconds.
    pub period_ms: u32,
    /// The number of the note since the sender's start.
    pub sequence: u64,
    /// The sender's start: the time of day in Unix milliseconds, which only tells two runs apart.
    pub incarnation: u64,
    /// The version of the configuration in force there.
    pub version: u64,
    /// The age of its proof of that version in milliseconds.
    pub proof_age_ms: Option<u32>,
    /// Whether it takes no new requests.
    pub stopping: bool,
    /// Whether it follows the changes of the store for the others.
    #[serde(rename = "follows")]
    pub watches_store: bool,
    /// The store's revision up to which it knows of changes.
    pub revision: u64,
    /// The revision of the last change that the others should read at once.
    pub urgent_revision: u64,
    /// Work under way at targets.
    pub loads: Vec<LoadEntry>,
    /// What accounts used: the account's tag, units since the sender's start, units per second lately.
    pub usage: Vec<UsageEntry>,
    /// Tags of targets that are about to load weights, from the router that gives the orders.
    pub loading: Vec<u32>,
    /// Targets that have just changed their weights: the target's tag, the model's tag, the version.
    #[serde(rename = "loaded")]
    pub reloaded: Vec<ReloadEntry>,
    /// Shared parts of prompts that it has just sent to targets that may not have held them.
    #[serde(rename = "placed")]
    pub sent_prompts: Vec<SentPromptEntry>,
    /// The latest namings of weights: the model's tag, the version, the age in milliseconds.
    #[serde(rename = "named")]
    pub weight_versions: Vec<(u32, u64, u32)>,
    /// Other routers that the sender knows, in notes to routers it hasn't heard.
    #[serde(rename = "known")]
    pub known_peers: Vec<PeerPlace>,
}

/// A target that serves other weights now: the target's tag, the model's tag, the version.
pub type ReloadEntry = (u32, u32, u64);

/// What is known about one peer.
#[derive(Clone, Debug)]
pub struct PeerState {
    /// Where it is.
    pub place: PeerPlace,
    /// When its last note came.
    pub last_received: Option<ClockTime>,
    /// The silence after which it counts as not heard.
    pub timeout: ClockSpan,
    /// Its last note.
    pub last_message: Option<GossipMessage>,
}

/// All peers by VM.
#[derive(Clone, Debug, Default)]
pub struct PeerTable {
    peers: BTreeMap<VmName, PeerState>,
}

/// The least silence after which a peer counts as not heard. Some periods of the notes, as single ones may be lost; short,
/// as both sides of a cut go on together until they notice it.
pub const MIN_PEER_TIMEOUT: ClockSpan = ClockSpan::from_ms(1_000);

impl GossipMessage {
    /// Leaves out what matters least; returns whether there was anything to leave out.
    pub fn drop_least_important(&mut self) -> bool {
        if !self.known_peers.is_empty() {
            self.known_peers.pop();
        } else if !self.sent_prompts.is_empty() {
            self.sent_prompts.remove(0);
        } else if !self.loads.is_empty() {
            self.loads.pop();
        } else {
            // Those that admitted least lately come last.
            return self.usage.pop().is_some();
        }
        true
    }
}

impl PeerState {
    fn new(place: PeerPlace) -> PeerState {
        PeerState { place, last_received: None, timeout: MIN_PEER_TIMEOUT, last_message: None }
    }

    /// Returns whether the peer was heard a short time ago.
    pub fn is_reachable(&self, now: ClockTime) -> bool {
        self.last_received.is_some_and(|last_received| now.since(last_received) < self.timeout)
    }
}

impl PeerTable {
    /// Adds a peer that is listed, or moves it to its new address.
    pub fn upsert(&mut self, place: PeerPlace) {
        let state = PeerState::new(place.clone());
        let entry = self.peers.entry(place.vm.clone()).or_insert(state);
        if entry.place.address != place.address {
            *entry = PeerState::new(place);
        }
    }

    /// Removes a peer that signed off or whose entry has ended.
    pub fn remove(&mut self, vm: &VmName) {
        self.peers.remove(vm);
    }

    /// Returns what a peer told last of its work, if it was heard a short time ago.
    pub fn loads_of(&self, now: ClockTime, vm: &VmName) -> &[LoadEntry] {
        let peer = self.peers.get(vm).filter(|peer| peer.is_reachable(now));
        peer.and_then(|peer| peer.last_message.as_ref()).map_or(&[], |message| &message.loads)
    }

    /// Returns whether a note is newer than the last one of its sender.
    pub fn is_newer(&self, message: &GossipMessage) -> bool {
        let last = self.peers.get(&message.place.vm).and_then(|peer| peer.last_message.as_ref());
        last.is_none_or(|last| {
            (message.incarnation, message.sequence) > (last.incarnation, last.sequence)
        })
    }

    /// Takes a note and returns whether it is newer than the last one; `silence` is the time after which its sender
    /// counts as not heard if no other one comes.
    pub fn receive(&mut self, now: ClockTime, message: GossipMessage, timeout: ClockSpan) -> bool {
        let is_newer = self.is_newer(&message);
        self.upsert(message.place.clone());
        if let Some(peer) = self.peers.get_mut(&message.place.vm).filter(|_| is_newer) {
            peer.last_received = Some(now);
            peer.timeout = timeout;
            peer.last_message = Some(message);
        }
        is_newer
    }

    /// Returns all peers in the order of their names.
    pub fn iter(&self) -> impl Iterator<Item = &PeerState> {
        self.peers.values()
    }

    /// Returns the peers that were heard a short time ago, with the age of their notes.
    pub fn reachable(
        &self,
        now: ClockTime,
    ) -> impl Iterator<Item = (&GossipMessage, ClockSpan)> + Clone {
        self.peers.values().filter(move |peer| peer.is_reachable(now)).filter_map(move |peer| {
            Some((peer.last_message.as_ref()?, now.since(peer.last_received?)))
        })
    }

    /// Returns the number of known peers.
    pub fn len(&self) -> usize {
        self.peers.len()
    }

    /// Returns whether no peer is known.
    pub fn is_empty(&self) -> bool {
        self.peers.is_empty()
    }
}
