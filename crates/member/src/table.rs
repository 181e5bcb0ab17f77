//! The membership state machine of one process.

use std::collections::{BTreeMap, BTreeSet, VecDeque};

use godwitroad_base::{ClockSpan, ClockTime, NodeId, SeededRandom, VmName, ZoneName};

use crate::{
    message::{
        Heartbeat, HeartbeatEcho, MemberAction, MemberEvent, MemberMessage, MemberReport,
        NodeSummary, VmListing, VmState,
    },
    peer::{PeerHealth, PeerState},
    roster::{PastRoster, Roster, RosterMember},
    settings::{HOLD_TERM_MS, MemberSettings, TERM_MARGIN_MS, max_drifted_span},
    store_calls::{StoreCalls, StoreResult, roster_with_member},
    term::LeaseTerm,
};

#[path = "periodic.rs"]
mod periodic;
#[path = "receive.rs"]
mod receive;

/// The key by which the members that read the roster for their zone are ranked.
const READER_KEY: u64 = 0x7265_6164;

/// The number of members of a zone that read the store for the others.
const READER_COUNT: usize = 2;

/// The number of consecutive VM lists without a previously listed VM after which the VM counts as removed.
const MAX_MISSED_LISTS: u32 = 2;

/// The same number for a VM that has never been listed; the list shows new VMs with a delay.
const MAX_MISSED_LISTS_UNSEEN: u32 = 10;

/// The number of sent heartbeats whose sending times are kept; echoes of older ones are ignored.
const MAX_TRACKED_HEARTBEATS: usize = 64;

/// The number of listed VMs from which a process without a roster requests it at a time.
const ROSTER_REQUESTS: usize = 4;

/// The time between two events after which this process assumes that it was paused.
const PAUSE_THRESHOLD_MS: u64 = 1_000;

#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum LeaveStage {
    Active,
    HandingOff,
    HandedOff,
    Left,
}

/// Counters of a [`MemberTable`].
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct MemberCounters {
    /// The number of calls to the store.
    pub store_calls: u64,
    /// The number of messages sent to peers.
    pub messages: u64,
    /// The number of rosters adopted.
    pub epochs: u64,
    /// The number of times this process lost its lease term.
    pub terms_expired: u64,
    /// The number of detected pauses of this process.
    pub pauses: u64,
}

/// One process's view of the membership of its zone.
#[derive(Debug)]
pub struct MemberTable {
    settings: MemberSettings,
    random: SeededRandom,
    roster: Option<Roster>,
    term: LeaseTerm,
    store: StoreCalls,
    peers: BTreeMap<VmName, PeerState>,
    remote_rosters: BTreeMap<ZoneName, Roster>,
    listed: BTreeMap<VmName, ListedVm>,
    /// The zones without any listed VM, each with the epoch of its roster and the time at which this was first seen.
    dead_since: BTreeMap<ZoneName, (u64, ClockTime)>,
    /// The members whose removal this process has voted for in the current epoch.
    removal_votes: BTreeSet<VmName>,
    /// The past epochs in which no holder can act any more.
    settled: BTreeSet<u64>,
    /// The past epochs of which a majority has stopped or moved on, with the time at which this was first seen.
    quorum_at: BTreeMap<u64, ClockTime>,
    /// The sequence numbers and sending times of recent heartbeats.
    sent_heartbeats: VecDeque<(u64, ClockTime)>,
    /// The sequence number of the last heartbeat.
    sequence: u64,
    next_heartbeat: ClockTime,
    next_roster_request: ClockTime,
    last_event: Option<ClockTime>,
    stage: LeaveStage,
    summary: NodeSummary,
    /// Whether the last reported state was an active lease term.
    was_holding: bool,
    counters: MemberCounters,
}

#[derive(Clone, Copy, Debug)]
struct ListedVm {
    leaving: bool,
    /// The number of consecutive lists without the VM.
    missed: u32,
    ever_listed: bool,
}

impl ListedVm {
    fn is_removed(&self) -> bool {
        self.missed >= if self.ever_listed { MAX_MISSED_LISTS } else { MAX_MISSED_LISTS_UNSEEN }
    }
}

impl MemberTable {
    /// Returns the table of a process that started at `now` and is not a member yet.
    pub fn new(settings: MemberSettings, now: ClockTime, mut random: SeededRandom) -> MemberTable {
        // A random delay keeps the processes of a zone from writing the roster at the same time after a mass restart.
        let first = now + ClockSpan::from_ms(random.below(settings.join_spread.as_ms().max(1)));
        MemberTable {
            store: StoreCalls::new(settings.zone.clone(), first),
            settings,
            random,
            roster: None,
            term: LeaseTerm::default(),
            peers: BTreeMap::new(),
            remote_rosters: BTreeMap::new(),
            listed: BTreeMap::new(),
            dead_since: BTreeMap::new(),
            removal_votes: BTreeSet::new(),
            settled: BTreeSet::new(),
            quorum_at: BTreeMap::new(),
            sent_heartbeats: VecDeque::new(),
            sequence: 0,
            next_heartbeat: now,
            next_roster_request: first,
            last_event: None,
            stage: LeaveStage::Active,
            summary: NodeSummary::default(),
            was_holding: false,
            counters: MemberCounters::default(),
        }
    }

    /// Handles one event and appends the resulting actions to `actions`.
    pub fn handle(&mut self, now: ClockTime, event: MemberEvent, actions: &mut Vec<MemberAction>) {
        let before = actions.len();
        self.compensate_pause(now);
        match event {
            MemberEvent::VmList(list) => self.apply_vm_list(now, &list),
            MemberEvent::Peer { from, message } => self.handle_message(now, from, message, actions),
            MemberEvent::Store { call, outcome } => {
                let result = self.store.complete(now, call, outcome, &mut self.random);
                if let Some(result) = result {
                    self.apply_store_result(now, result, actions);
                }
            }
            MemberEvent::Leave => {
                if self.stage == LeaveStage::Active {
                    self.stage = LeaveStage::HandingOff;
                    actions.push(MemberAction::Report(MemberReport::HandoffRequired));
                }
            }
            MemberEvent::HandoffComplete => {
                if self.stage == LeaveStage::HandingOff {
                    self.stage = LeaveStage::HandedOff;
                    self.store.next_read = now;
                }
            }
            MemberEvent::Tick => self.tick(now, actions),
        }
        self.settle_epochs(now, actions);
        self.report_term(now, actions);
        let sent = actions[before..].iter();
        let sent = sent.filter(|action| matches!(action, MemberAction::Send { .. })).count();
        self.counters.messages += sent as u64;
    }

    /// Sets the state that the next heartbeats distribute.
    pub fn set_summary(&mut self, summary: NodeSummary) {
        self.summary = summary;
    }

    /// Returns the identity of this process.
    pub fn node(&self) -> &NodeId {
        &self.settings.node
    }

    /// Returns the zone of this process.
    pub fn zone(&self) -> &ZoneName {
        &self.settings.zone
    }

    /// Returns the current roster, if one is known.
    pub fn roster(&self) -> Option<&Roster> {
        self.roster.as_ref()
    }

    /// Returns the epoch of the current roster, or zero without one.
    pub fn epoch(&self) -> u64 {
        self.roster.as_ref().map_or(0, |roster| roster.epoch)
    }

    /// Returns whether this process is a member of the current roster.
    pub fn is_member(&self) -> bool {
        self.roster.as_ref().is_some_and(|roster| roster.contains(&self.settings.node))
    }

    /// Returns the end of the lease term in this epoch; it may have passed. `None` without any term in this epoch.
    pub fn term_end(&self, now: ClockTime) -> Option<ClockTime> {
        let roster = self.roster.as_ref().filter(|_| self.is_member())?;
        if matches!(self.stage, LeaveStage::HandedOff | LeaveStage::Left) {
            return None;
        }
        self.term.end(now, roster.majority() - 1)
    }

    /// Returns whether the lease term of this process is active at `now`.
    pub fn may_hold(&self, now: ClockTime) -> bool {
        self.term_end(now).is_some_and(|end| now < end)
    }

    /// Returns whether this process may act as the holder of `key` at `now`.
    ///
    /// A key that moved here in a recent epoch is not held until no earlier holder can act any more.
    pub fn holds(&self, now: ClockTime, key: u64) -> bool {
        self.may_hold(now) && self.owns_exclusively(key)
    }

    /// Returns whether this process owns `key` and no holder of an earlier epoch can act on it any more.
    ///
    /// In addition, the process may act on the key only during its lease term, which this doesn't check.
    pub fn owns_exclusively(&self, key: u64) -> bool {
        let owns = self.owner_of(key).is_some_and(|owner| owner.node() == self.settings.node);
        let stays = !matches!(self.stage, LeaveStage::HandedOff | LeaveStage::Left);
        owns && stays
            && self.unsettled().all(|past| past.owner_of(key) == Some(&self.settings.node))
    }

    /// Returns the owner of `key` in the current roster.
    pub fn owner_of(&self, key: u64) -> Option<&RosterMember> {
        self.roster.as_ref()?.owner_of(key)
    }

    /// Returns the member that would own `key` if its owner were removed.
    pub fn backup_of(&self, key: u64) -> Option<&RosterMember> {
        self.roster.as_ref()?.backup_of(key)
    }

    /// Returns the health of the peer on `vm`, if the peer is known.
    pub fn health_of(&self, now: ClockTime, vm: &VmName) -> Option<PeerHealth> {
        let peer = self.peers.get(vm)?;
        let listed = self.listed.get(vm);
        let removed = listed.is_some_and(ListedVm::is_removed);
        let leaving = listed.is_some_and(|listed| listed.leaving);
        Some(peer.health(now, removed, leaving, &self.settings))
    }

    /// Returns the summary in the last heartbeat of `vm`.
    pub fn summary_of(&self, vm: &VmName) -> Option<NodeSummary> {
        self.peers.get(vm).map(|peer| peer.summary)
    }

    /// Returns the known rosters of the other zones, which may be stale.
    pub fn remote_rosters(&self) -> &BTreeMap<ZoneName, Roster> {
        &self.remote_rosters
    }

    /// Returns the sum of the epochs of the other zones' rosters, which increases with each newly received roster.
    pub(crate) fn remote_epoch_sum(&self) -> u64 {
        self.remote_rosters.values().map(|roster| roster.epoch).sum()
    }

    /// Returns whether this process reads the store for its zone.
    pub fn is_reader(&self, now: ClockTime) -> bool {
        self.readers(now).contains(&self.settings.node.vm)
    }

    /// Returns the time of the newest read of the store, by this process or by a peer, that confirmed the roster.
    pub fn confirmed_at(&self) -> Option<ClockTime> {
        self.term.last_read()
    }

    /// Returns the counters since the start of the process.
    pub fn counters(&self) -> MemberCounters {
        MemberCounters { store_calls: self.store.calls, ..self.counters }
    }

    // Missing heartbeats during a pause of this process say nothing about the peers, so the pause is not counted.
    fn compensate_pause(&mut self, now: ClockTime) {
        let pause = self.last_event.map_or(ClockSpan::ZERO, |last_event| now.since(last_event));
        self.last_event = Some(now);
        if pause.as_ms() >= PAUSE_THRESHOLD_MS {
            self.counters.pauses += 1;
            for peer in self.peers.values_mut() {
                peer.last_two_way += pause;
            }
        }
    }

    fn apply_vm_list(&mut self, now: ClockTime, list: &[VmListing]) {
        let unlisted = ListedVm { leaving: false, missed: 0, ever_listed: false };
        for vm in self.peers.keys() {
            self.listed.entry(vm.clone()).or_insert(unlisted);
        }
        for listed in self.listed.values_mut() {
            listed.missed += 1;
        }
        for listing in list {
            let leaving = listing.state == VmState::Leaving;
            self.listed
                .insert(listing.vm.clone(), ListedVm { leaving, missed: 0, ever_listed: true });
        }
        let (peers, rosters) = (&self.peers, &self.remote_rosters);
        let is_known = |vm: &VmName| {
            peers.contains_key(vm) || rosters.values().any(|roster| roster.member(vm).is_some())
        };
        self.listed.retain(|vm, listed| !listed.is_removed() || is_known(vm));
        let removed = |vm: &VmName| self.listed.get(vm).is_some_and(ListedVm::is_removed);
        let zones = rosters
            .iter()
            .filter(|(_, roster)| roster.members.iter().all(|member| removed(&member.vm)));
        let since = zones.map(|(zone, roster)| {
            let earlier = self.dead_since.get(zone).filter(|(epoch, _)| *epoch == roster.epoch);
            (zone.clone(), earlier.copied().unwrap_or((roster.epoch, now)))
        });
        self.dead_since = since.collect();
    }

    /// Returns the zones all of whose members have been missing from the VM list for longer than a lease term, with
    /// those members. The known roster of such a zone may be stale, so only what these processes held is free for use.
    pub fn dead_zones(&self, now: ClockTime) -> BTreeMap<ZoneName, Vec<NodeId>> {
        let wait = max_drifted_span(ClockSpan::from_ms(HOLD_TERM_MS + TERM_MARGIN_MS));
        let expired = self.dead_since.iter().filter(|(_, (_, since))| now >= *since + wait);
        let members = expired.filter_map(|(zone, _)| {
            let roster = self.remote_rosters.get(zone)?;
            Some((zone.clone(), roster.members.iter().map(RosterMember::node).collect()))
        });
        members.collect()
    }

    fn apply_store_result(
        &mut self,
        now: ClockTime,
        result: StoreResult,
        actions: &mut Vec<MemberAction>,
    ) {
        self.store.next_read = now + self.settings.read_interval;
        match result {
            StoreResult::Written { sent, roster } => {
                self.apply_confirmed_roster(now, sent, roster, actions)
            }
            StoreResult::Read { sent, roster, version, others } => {
                self.merge_remote_rosters(others, actions);
                let roster = roster.unwrap_or_default();
                if roster.epoch > 0 {
                    self.apply_confirmed_roster(now, sent, roster.clone(), actions);
                }
                if let Some(next) = self.proposed_roster(now, &roster) {
                    self.store.write(now, next, version, actions);
                }
            }
        }
    }

    fn apply_confirmed_roster(
        &mut self,
        now: ClockTime,
        sent: ClockTime,
        roster: Roster,
        actions: &mut Vec<MemberAction>,
    ) {
        let epoch = roster.epoch;
        self.adopt_roster(now, roster, actions);
        if epoch == self.epoch() {
            self.term.record_read(sent);
        }
    }

    // Returns the roster that this process wants to write in place of the one that it has just read.
    fn proposed_roster(&mut self, now: ClockTime, roster: &Roster) -> Option<Roster> {
        let node = &self.settings.node;
        let mut base = roster.clone();
        base.unsettled.retain(|past| !self.settled.contains(&past.epoch));
        if self.stage == LeaveStage::HandedOff {
            if !roster.contains(node) {
                return None;
            }
            let others = roster.members.iter().filter(|member| member.vm != node.vm);
            return Some(base.next_epoch(others.cloned().collect(), std::slice::from_ref(node)));
        }
        if self.stage == LeaveStage::Left {
            return None;
        }
        if !roster.contains(node) {
            let me = RosterMember {
                vm: node.vm.clone(),
                incarnation: node.incarnation,
                address: self.settings.address.clone(),
            };
            return roster_with_member(&base, &me);
        }
        let removed = self.removable_members(now, roster);
        if removed.is_empty() {
            return None;
        }
        let kept = roster.members.iter().filter(|member| !removed.contains(&member.vm));
        Some(base.next_epoch(kept.cloned().collect(), &[]))
    }

    // A member is removable if the platform's list no longer includes its VM (rule ii) or a majority has voted for its
    // removal (rule iii).
    fn removable_members(&self, now: ClockTime, roster: &Roster) -> BTreeSet<VmName> {
        if roster.epoch != self.epoch() {
            return BTreeSet::new();
        }
        let has_majority = |vm: &VmName| {
            let others = self.peers.iter().filter(|(name, peer)| {
                let current = peer.epoch == roster.epoch && peer.removal_votes.contains(vm);
                current
                    && roster
                        .member(name)
                        .is_some_and(|member| member.incarnation == peer.incarnation)
            });
            others.count() + usize::from(self.removal_votes.contains(vm)) >= roster.majority()
        };
        let candidates = roster.members.iter().map(|member| &member.vm);
        let removable = candidates.filter(|vm| **vm != self.settings.node.vm).filter(|vm| {
            self.health_of(now, vm) == Some(PeerHealth::Gone)
                || self.removal_votes.contains(*vm) && has_majority(vm)
        });
        removable.cloned().collect()
    }

    fn adopt_roster(&mut self, now: ClockTime, roster: Roster, actions: &mut Vec<MemberAction>) {
        if roster.epoch <= self.epoch() {
            return;
        }
        let node = self.settings.node.clone();
        let epoch = roster.epoch;
        let past = roster.unsettled.iter().flat_map(|past| past.members.clone());
        let known: BTreeSet<NodeId> =
            roster.members.iter().map(RosterMember::node).chain(past).collect();
        self.peers.retain(|vm, _| known.iter().any(|node| node.vm == *vm));
        for member in known.iter().filter(|member| member.vm != node.vm) {
            let peer = self.peers.entry(member.vm.clone());
            let peer = peer.or_insert_with(|| PeerState::new(member.incarnation, now));
            if peer.incarnation < member.incarnation {
                *peer = PeerState::new(member.incarnation, now);
            }
        }
        self.term = LeaseTerm::default();
        self.removal_votes.clear();
        self.roster = Some(roster);
        self.counters.epochs += 1;
        self.next_heartbeat = now;
        actions.push(MemberAction::Report(MemberReport::RosterChanged { epoch }));
        if self.stage == LeaveStage::HandedOff && !self.is_member() {
            self.stage = LeaveStage::Left;
            actions.push(MemberAction::Report(MemberReport::Left));
        }
    }
}
