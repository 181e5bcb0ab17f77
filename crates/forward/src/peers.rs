//! The other routers and their latest gossip messages.
//!
//! Every router sends gossip messages to the others a few times a second: the version of its configuration and the age
//! of its freshness proof (see [`ConfigFreshness`](crate::ConfigFreshness)), the work that it has in progress at each
//! target, and what each client account used. Messages are datagrams; a lost one is replaced by the next.

use std::{collections::BTreeMap, net::IpAddr};

use godwitroad_base::{ClockSpan, ClockTime, StoreRevision, VmName, ZoneName};
use serde::{Deserialize, Serialize};

use crate::{
    BrittleReport, LeavingNotice, LimitReport, OriginNotes, PaceEntry, QuarantineNotes, ReachNotes,
    RolloutNote, allowance::UsageEntry, load::LoadEntry, segments::SentPromptEntry,
};

/// The name and location of a router, from its entry in the store or from its gossip messages.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct PeerPlace {
    /// The VM on which the router runs.
    pub vm: VmName,
    /// The VM's availability zone.
    pub zone: ZoneName,
    /// The VM's IP address.
    pub address: IpAddr,
}

/// What a router sends to its peers about itself.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct GossipMessage {
    /// The sending router.
    pub place: PeerPlace,
    /// The longest time between two messages to a peer outside the sender's availability zone, in milliseconds.
    pub period_ms: u32,
    /// The number of the message, counted from the sender's start.
    pub sequence: u64,
    /// When the sender started, in Unix milliseconds; used only to tell two runs of a router apart.
    pub incarnation: u64,
    /// The version of the configuration that the sender uses.
    pub version: u64,
    /// The age of the sender's freshness proof for that version, in milliseconds; `None` if it has none.
    pub proof_age_ms: Option<u32>,
    /// Whether the sender is shutting down.
    pub stopping: bool,
    /// Whether the sender watches the store, so that its peers can rely on it for changes.
    #[serde(rename = "follows")]
    pub watches_store: bool,
    /// The store's revision up to which the sender has read changes.
    pub revision: StoreRevision,
    /// The revision of the last change that the peers should read at once.
    pub urgent_revision: StoreRevision,
    /// The sender's work in progress at targets.
    pub loads: Vec<LoadEntry>,
    /// What client accounts used at the sender.
    pub usage: Vec<UsageEntry>,
    /// Tags of targets that are about to load weights; only the holder of the order lease sends them.
    pub loading: Vec<u32>,
    /// Targets that have just loaded other weights.
    #[serde(rename = "loaded")]
    pub reloaded: Vec<ReloadEntry>,
    /// Shared prompt segments that the sender has just sent to targets that may not have had them cached.
    #[serde(rename = "placed")]
    pub sent_prompts: Vec<SentPromptEntry>,
    /// The latest desired weight versions: the model's tag, the version, and the time since it was announced, in
    /// milliseconds.
    #[serde(rename = "named")]
    pub weight_versions: Vec<(u32, u64, u32)>,
    /// Other routers that the sender knows; filled only in its first messages, for routers that don't know them yet.
    #[serde(rename = "known")]
    pub known_peers: Vec<PeerPlace>,
    /// What the sender knows of parts of prompts that crash targets. It is encoded after the message, so that routers
    /// that don't know it read the rest.
    #[serde(skip)]
    pub quarantine: Box<QuarantineNotes>,
    /// What the sender knows of targets that name a limit, encoded after the quarantine.
    #[serde(skip)]
    pub limits: Vec<LimitReport>,
    /// What the sender knows of requests that crash targets and come again, encoded after the limits.
    #[serde(skip)]
    pub repeats: Box<QuarantineNotes>,
    /// What the sender knows of the versions of targets' software and of the streams that began at it, encoded after the
    /// requests that come again.
    #[serde(skip)]
    pub origins: Box<OriginNotes>,
    /// Targets that are leaving, encoded after the origins of streams.
    #[serde(skip)]
    pub leaving: Vec<LeavingNotice>,
    /// Targets that reject the sender's requests, encoded after those that leave.
    #[serde(skip)]
    pub deferrals: Vec<DeferralEntry>,
    /// Targets that the sender doesn't reach directly, encoded after those that reject requests.
    #[serde(skip)]
    pub reach: ReachNotes,
    /// What the sender knows of brittle targets, encoded after those out of reach.
    #[serde(skip)]
    pub brittle: Vec<BrittleReport>,
    /// Whether the store answers the sender directly, so that peers may call it through the sender; encoded after the
    /// brittle targets.
    #[serde(skip)]
    pub reaches_store: bool,
    /// Whether peers may read the store's changes from the sender; encoded after the path to the store.
    #[serde(skip)]
    pub shares_changes: bool,
    /// What the sender has observed of how long work takes at targets; encoded after the changes.
    #[serde(skip)]
    pub paces: Vec<PaceEntry>,
    /// What the sender knows of rollouts of services, encoded after the paces.
    #[serde(skip)]
    pub rollouts: Vec<RolloutNote>,
}

/// A target that rejects requests: its tag, the percentage of them that it accepts, the time since the last rejection, and for
/// how long it wants none, in milliseconds; 0 if it named no time.
pub type DeferralEntry = (u32, u8, u32, u32);

/// A target that now serves other weights: the target's tag, the model's tag, the version.
pub type ReloadEntry = (u32, u32, u64);

/// What is known about one peer.
#[derive(Clone, Debug)]
pub struct PeerState {
    /// The peer's name and location.
    pub place: PeerPlace,
    /// When its last message arrived; `None` before the first.
    pub last_received: Option<ClockTime>,
    /// When this router last sent it a message; `None` before the first.
    pub last_sent: Option<ClockTime>,
    /// A time before the arrival of its last message, which may have waited in the socket.
    pub arrived_after: Option<ClockTime>,
    /// When the first message of its current run arrived.
    pub run_since: Option<ClockTime>,
    /// The time without a message after which it counts as unreachable.
    pub timeout: ClockSpan,
    /// Its last message; `None` before the first.
    pub last_message: Option<GossipMessage>,
}

/// When messages of a peer are due.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct PeerTiming {
    /// The longest time until its next message, apart from the delay on the way.
    pub promised: ClockSpan,
    /// The time without a message after which it counts as unreachable.
    pub timeout: ClockSpan,
}

/// All known peers by VM.
#[derive(Clone, Debug, Default)]
pub struct PeerTable {
    peers: BTreeMap<VmName, PeerState>,
    // The number of events after which another peer may be reachable, or the timeout of one may end sooner.
    changes: u64,
}

/// Tells when the set of reachable peers may have changed, without a comparison of the sets.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct ReachableMark {
    changes: u64,
    // The first time at which one of the reachable peers may count as unreachable.
    valid_until: Option<ClockTime>,
}

/// The shortest time without a message after which a peer counts as unreachable. It spans several gossip intervals, as
/// single datagrams may be lost, but is short, as both sides of a network partition spend the same quota until they
/// notice the partition.
pub const MIN_PEER_TIMEOUT: ClockSpan = ClockSpan::from_ms(1_000);

impl GossipMessage {
    /// Removes the least important entry so that the message fits a datagram; returns whether there was one to remove.
    pub fn drop_least_important(&mut self) -> bool {
        if !self.known_peers.is_empty() {
            self.known_peers.pop();
        } else if !self.sent_prompts.is_empty() {
            self.sent_prompts.remove(0);
        } else if !self.loads.is_empty() {
            self.loads.pop();
        } else {
            // Sorted by the account's last admission, latest first.
            return self.usage.pop().is_some()
                || self.origins.drop_least_important()
                || self.quarantine.drop_least_important()
                || self.repeats.drop_least_important()
                || self.paces.pop().is_some()
                || self.deferrals.pop().is_some()
                || self.limits.pop().is_some()
                || self.brittle.pop().is_some()
                || self.leaving.pop().is_some()
                || self.rollouts.iter_mut().any(RolloutNote::drop_least_important);
        }
        true
    }
}

impl PeerState {
    fn new(place: PeerPlace) -> PeerState {
        PeerState {
            place,
            last_received: None,
            last_sent: None,
            arrived_after: None,
            run_since: None,
            timeout: MIN_PEER_TIMEOUT,
            last_message: None,
        }
    }

    /// Returns whether a message from the peer arrived within its timeout.
    pub fn is_reachable(&self, now: ClockTime) -> bool {
        self.last_received.is_some_and(|last_received| now.since(last_received) < self.timeout)
    }

    // Returns when the peer counts as unreachable unless another message arrives; `None` before the first one.
    fn expires_at(&self) -> Option<ClockTime> {
        self.last_received.map(|last_received| last_received + self.timeout)
    }
}

impl PeerTable {
    /// Adds a peer, or replaces its state if its address has changed.
    pub fn upsert(&mut self, place: PeerPlace) {
        let state = PeerState::new(place.clone());
        let entry = self.peers.entry(place.vm.clone()).or_insert(state);
        if entry.place.address != place.address {
            *entry = PeerState::new(place);
            self.changes += 1;
        }
    }

    /// Records that a peer is sent a message, and returns its address; `None` if it isn't known.
    pub fn record_sent(&mut self, now: ClockTime, vm: &VmName) -> Option<IpAddr> {
        let peer = self.peers.get_mut(vm)?;
        peer.last_sent = Some(now);
        Some(peer.place.address)
    }

    /// Removes a peer that has deregistered or whose entry has expired.
    pub fn remove(&mut self, vm: &VmName) {
        self.peers.remove(vm);
        self.changes += 1;
    }

    /// Returns the work in progress that a reachable peer last reported; empty for an unreachable one.
    pub fn loads_of(&self, now: ClockTime, vm: &VmName) -> &[LoadEntry] {
        let peer = self.peers.get(vm).filter(|peer| peer.is_reachable(now));
        peer.and_then(|peer| peer.last_message.as_ref()).map_or(&[], |message| &message.loads)
    }

    /// Returns what is known about a peer.
    pub fn get(&self, vm: &VmName) -> Option<&PeerState> {
        self.peers.get(vm)
    }

    /// Returns whether a peer said that it is stopping.
    pub fn is_stopping(&self, vm: &VmName) -> bool {
        let last = self.peers.get(vm).and_then(|peer| peer.last_message.as_ref());
        last.is_some_and(|message| message.stopping)
    }

    /// Returns whether a message is newer than the last one from its sender.
    pub fn is_newer(&self, message: &GossipMessage) -> bool {
        let last = self.peers.get(&message.place.vm).and_then(|peer| peer.last_message.as_ref());
        last.is_none_or(|last| {
            (message.incarnation, message.sequence) > (last.incarnation, last.sequence)
        })
    }

    /// Stores a message if it is newer than the last one from its sender, and returns whether it is; after `timeout`
    /// without another message the sender counts as unreachable. The message arrived at some time from `arrived_after` on.
    pub fn receive(
        &mut self,
        now: ClockTime,
        arrived_after: ClockTime,
        message: GossipMessage,
        timeout: ClockSpan,
    ) -> bool {
        let is_newer = self.is_newer(&message);
        self.upsert(message.place.clone());
        if let Some(peer) = self.peers.get_mut(&message.place.vm).filter(|_| is_newer) {
            let before = peer.last_message.as_ref().map(|last| last.incarnation);
            if before != Some(message.incarnation) {
                peer.run_since = Some(now);
            }
            let was_reachable = peer.is_reachable(now);
            let expired_at = peer.expires_at();
            peer.last_received = Some(now);
            peer.arrived_after = Some(arrived_after.min(now));
            peer.timeout = timeout;
            peer.last_message = Some(message);
            if !was_reachable || Some(now + timeout) < expired_at {
                self.changes += 1;
            }
        }
        is_newer
    }

    /// Returns all peers in the order of their names.
    pub fn iter(&self) -> impl Iterator<Item = &PeerState> {
        self.peers.values()
    }

    /// Returns the last messages of the reachable peers, with their ages.
    pub fn reachable(
        &self,
        now: ClockTime,
    ) -> impl Iterator<Item = (&GossipMessage, ClockSpan)> + Clone {
        self.peers.values().filter(move |peer| peer.is_reachable(now)).filter_map(move |peer| {
            Some((peer.last_message.as_ref()?, now.since(peer.last_received?)))
        })
    }

    /// Returns the mark of the set of peers that are reachable now.
    pub fn reachable_mark(&self, now: ClockTime) -> ReachableMark {
        let reachable = self.peers.values().filter(|peer| peer.is_reachable(now));
        let valid_until = reachable.filter_map(PeerState::expires_at).min();
        ReachableMark { changes: self.changes, valid_until }
    }

    /// Returns whether the peers that were reachable at the time of `mark` are those that are reachable now. A negative
    /// answer says nothing.
    pub fn is_unchanged(&self, now: ClockTime, mark: ReachableMark) -> bool {
        self.changes == mark.changes && mark.valid_until.is_none_or(|until| now < until)
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
