//! The state machine of one process's membership.

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
    term::TermClock,
};

#[path = "periodic.rs"]
mod periodic;
#[path = "receive.rs"]
mod receive;

/// The key whose first two owners read the roster for their zone.
const READER_KEY: u64 = 0x7265_6164;

/// The members of a zone that read the store for the others.
const READER_COUNT: usize = 2;

/// The lists in a row that must miss a VM before it counts as gone.
const MAX_MISSED_LISTS: u32 = 2;

/// The lists in a row that must miss a VM that no list has shown yet: the list is late with new VMs too.
const MAX_MISSED_LISTS_UNSEEN: u32 = 10;

/// The heartbeats whose sending times are kept; an echo of an older one counts for nothing.
const MAX_TRACKED_HEARTBEATS: usize = 64;

/// The listed VMs that a process without a roster asks at a time.
const ROSTER_REQUESTS: usize = 4;

/// The time without an event after which this process counts as paused.
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
    /// The calls to the store.
    pub store_calls: u64,
    /// The messages sent to peers.
    pub messages: u64,
    /// The rosters adopted.
    pub epochs: u64,
    /// The times that a term ended without a confirmation.
    pub terms_expired: u64,
    /// The pauses of this process that were noticed.
    pub pauses: u64,
}

/// One process's view of the membership of its zone.
#[derive(Debug)]
pub struct MemberTable {
    settings: MemberSettings,
    random: SeededRandom,
    roster: Option<Roster>,
    term: TermClock,
    store: StoreCalls,
    peers: BTreeMap<VmName, PeerState>,
    remote_rosters: BTreeMap<ZoneName, Roster>,
    listed: BTreeMap<VmName, ListedVm>,
    /// The zones that the list shows as gone, with the epoch of their roster and the time since when.
    dead_since: BTreeMap<ZoneName, (u64, ClockTime)>,
    removal_votes: BTreeSet<VmName>,
    settled: BTreeSet<u64>,
    quorum_at: BTreeMap<u64, ClockTime>,
    sent_heartbeats: VecDeque<(u64, ClockTime)>,
    sequence: u64,
    next_heartbeat: ClockTime,
    next_roster_request: ClockTime,
    last_event: Option<ClockTime>,
    stage: LeaveStage,
    summary: NodeSummary,
    was_holding: bool,
    counters: MemberCounters,
}

#[derive(Clone, Copy, Debug)]
struct ListedVm {
    leaving: bool,
    missed: u32,
    ever_listed: bool,
}

impl ListedVm {
    fn is_removed(&self) -> bool {
        self.missed >= if self.ever_listed { MAX_MISSED_LISTS } else { MAX_MISSED_LISTS_UNSEEN }
    }
}

impl MemberTable {
    /// Returns the table of a process that started at `now` and is no member yet.
    pub fn new(settings: MemberSettings, now: ClockTime, mut random: SeededRandom) -> MemberTable {
        // A mass restart must not make every process of a zone write the roster at the same moment.
        let first = now + ClockSpan::from_ms(random.below(settings.join_spread.as_ms().max(1)));
        MemberTable {
            store: StoreCalls::new(settings.zone.clone(), first),
            settings,
            random,
            roster: None,
            term: TermClock::default(),
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

    /// Takes one event and pushes the actions that follow from it.
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

    /// Sets the facts that the next heartbeats spread.
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

    /// Returns the roster in force, if one is known.
    pub fn roster(&self) -> Option<&Roster> {
        self.roster.as_ref()
    }

    /// Returns the epoch of the roster in force, or zero.
    pub fn epoch(&self) -> u64 {
        self.roster.as_ref().map_or(0, |roster| roster.epoch)
    }

    /// Returns whether this process is a member of the roster that it knows.
    pub fn is_member(&self) -> bool {
        self.roster.as_ref().is_some_and(|roster| roster.contains(&self.settings.node))
    }

    /// Returns the end of the term, if one runs or ran in this epoch.
    pub fn term_end(&self, now: ClockTime) -> Option<ClockTime> {
        let roster = self.roster.as_ref().filter(|_| self.is_member())?;
        if matches!(self.stage, LeaveStage::HandedOff | LeaveStage::Left) {
            return None;
        }
        self.term.end(now, roster.majority() - 1)
    }

    /// Returns whether the process may act on its roster at `now`.
    pub fn may_hold(&self, now: ClockTime) -> bool {
        self.term_end(now).is_some_and(|end| now < end)
    }

    /// Returns whether the process is the effective holder of `key` at `now`.
    ///
    /// A key that moved here with an unsettled change waits until no earlier holder can act any more.
    pub fn holds(&self, now: ClockTime, key: u64) -> bool {
        self.may_hold(now) && self.owns_exclusively(key)
    }

    /// Returns whether this process owns `key` and no holder of an earlier epoch can act on it any more.
    ///
    /// The process may act on the key only while its term runs as well.
    pub fn owns_exclusively(&self, key: u64) -> bool {
        let owns = self.owner_of(key).is_some_and(|owner| owner.node() == self.settings.node);
        let stays = !matches!(self.stage, LeaveStage::HandedOff | LeaveStage::Left);
        owns && stays
            && self.unsettled().all(|past| past.owner_of(key) == Some(&self.settings.node))
    }

    /// Returns the owner of `key` in the roster in force.
    pub fn owner_of(&self, key: u64) -> Option<&RosterMember> {
        self.roster.as_ref()?.owner_of(key)
    }

    /// Returns the member that would own `key` without its owner.
    pub fn backup_of(&self, key: u64) -> Option<&RosterMember> {
        self.roster.as_ref()?.backup_of(key)
    }

    /// Returns the health of the peer on `vm`, if it is a member.
    pub fn health_of(&self, now: ClockTime, vm: &VmName) -> Option<PeerHealth> {
        let peer = self.peers.get(vm)?;
        let listed = self.listed.get(vm);
        let removed = listed.is_some_and(ListedVm::is_removed);
        let leaving = listed.is_some_and(|listed| listed.leaving);
        Some(peer.health(now, removed, leaving, &self.settings))
    }

    /// Returns what the heartbeats of `vm` last said.
    pub fn summary_of(&self, vm: &VmName) -> Option<NodeSummary> {
        self.peers.get(vm).map(|peer| peer.summary)
    }

    /// Returns the rosters of the other zones, which can be old.
    pub fn remote_rosters(&self) -> &BTreeMap<ZoneName, Roster> {
        &self.remote_rosters
    }

    /// Returns the sum of the epochs of the other zones' rosters: it grows with each change that is learned.
    pub(crate) fn remote_epoch_sum(&self) -> u64 {
        self.remote_rosters.values().map(|roster| roster.epoch).sum()
    }

    /// Returns whether this process reads the store for its zone.
    pub fn is_reader(&self, now: ClockTime) -> bool {
        self.readers(now).contains(&self.settings.node.vm)
    }

    /// Returns the time of the newest confirmation by the store, own or relayed.
    pub fn confirmed_at(&self) -> Option<ClockTime> {
        self.term.last_read()
    }

    /// Returns the counters.
    pub fn counters(&self) -> MemberCounters {
        MemberCounters { store_calls: self.store.calls, ..self.counters }
    }

    // The silence of a peer during this process's own pause says nothing about the peer.
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
        for line in list {
            let leaving = line.state == VmState::Leaving;
            self.listed.insert(line.vm.clone(), ListedVm { leaving, missed: 0, ever_listed: true });
        }
        let (peers, rosters) = (&self.peers, &self.remote_rosters);
        let known = |vm: &VmName| {
            peers.contains_key(vm) || rosters.values().any(|roster| roster.member(vm).is_some())
        };
        self.listed.retain(|vm, listed| !listed.is_removed() || known(vm));
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

    /// Returns the zones whose last members the VM list has shown as gone for longer than their terms, with those
    /// members. The zone's roster can be old: only what exactly these processes held is surely free.
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

    // Returns the change that this process wants to make to the roster that it has just read.
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

    // Rules (ii) and (iii): the list shows the VM as gone, or a majority has promised the removal.
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
        self.term = TermClock::default();
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
