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
    settings::{HOLD_TERM_MS, MemberSettings, TERM_MARGIN_MS, longest_span},
    term::TermClock,
    work::{StoreWork, WorkNews, with_joined},
};

#[path = "hear.rs"]
mod hear;
#[path = "tick.rs"]
mod tick;

/// The key whose first two owners read the roster for their zone.
const READER_KEY: u64 = 0x7265_6164;

/// The members of a zone that read the store for the others.
const READERS: usize = 2;

/// The lists in a row that must miss a VM before it counts as gone.
const GONE_LISTS: u32 = 2;

/// The lists in a row that must miss a VM that no list has shown yet: the list is late with new VMs too.
const NEVER_LISTED: u32 = 10;

/// The heartbeats whose sending times are kept; an echo of an older one counts for nothing.
const BEATS_KEPT: usize = 64;

/// The listed VMs that a process without a roster asks at a time.
const ASKED: usize = 4;

/// The time without an event after which this process counts as paused.
const PAUSE_MS: u64 = 1_000;

#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum LeaveStage {
    Staying,
    HandingOver,
    HandedOver,
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
    pub terms_lapsed: u64,
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
    work: StoreWork,
    peers: BTreeMap<VmName, PeerState>,
    remote_rosters: BTreeMap<ZoneName, Roster>,
    listed: BTreeMap<VmName, ListedVm>,
    /// The zones that the list shows as gone, with the epoch of their roster and the time since when.
    gone_since: BTreeMap<ZoneName, (u64, ClockTime)>,
    promised: BTreeSet<VmName>,
    settled: BTreeSet<u64>,
    quorum_at: BTreeMap<u64, ClockTime>,
    beats: VecDeque<(u64, ClockTime)>,
    sequence: u64,
    beat_at: ClockTime,
    ask_at: ClockTime,
    last: Option<ClockTime>,
    stage: LeaveStage,
    summary: NodeSummary,
    held: bool,
    counters: MemberCounters,
}

#[derive(Clone, Copy, Debug)]
struct ListedVm {
    leaving: bool,
    missed: u32,
    seen: bool,
}

impl ListedVm {
    fn is_gone(&self) -> bool {
        self.missed >= if self.seen { GONE_LISTS } else { NEVER_LISTED }
    }
}

impl MemberTable {
    /// Returns the table of a process that started at `now` and is no member yet.
    pub fn new(settings: MemberSettings, now: ClockTime, mut random: SeededRandom) -> MemberTable {
        // A mass restart must not make every process of a zone write the roster at the same moment.
        let first = now + ClockSpan::from_ms(random.below(settings.spread.as_ms().max(1)));
        MemberTable {
            work: StoreWork::new(settings.zone.clone(), first),
            settings,
            random,
            roster: None,
            term: TermClock::default(),
            peers: BTreeMap::new(),
            remote_rosters: BTreeMap::new(),
            listed: BTreeMap::new(),
            gone_since: BTreeMap::new(),
            promised: BTreeSet::new(),
            settled: BTreeSet::new(),
            quorum_at: BTreeMap::new(),
            beats: VecDeque::new(),
            sequence: 0,
            beat_at: now,
            ask_at: first,
            last: None,
            stage: LeaveStage::Staying,
            summary: NodeSummary::default(),
            held: false,
            counters: MemberCounters::default(),
        }
    }

    /// Takes one event and pushes the actions that follow from it.
    pub fn handle(&mut self, now: ClockTime, event: MemberEvent, actions: &mut Vec<MemberAction>) {
        let before = actions.len();
        self.notice_pause(now);
        match event {
            MemberEvent::VmList(list) => self.take_list(now, &list),
            MemberEvent::Peer { from, message } => self.take_message(now, from, message, actions),
            MemberEvent::Store { call, outcome } => {
                let news = self.work.end(now, call, outcome, &mut self.random);
                if let Some(news) = news {
                    self.take_news(now, news, actions);
                }
            }
            MemberEvent::Leave => {
                if self.stage == LeaveStage::Staying {
                    self.stage = LeaveStage::HandingOver;
                    actions.push(MemberAction::Report(MemberReport::HandoffRequired));
                }
            }
            MemberEvent::HandoffComplete => {
                if self.stage == LeaveStage::HandingOver {
                    self.stage = LeaveStage::HandedOver;
                    self.work.next = now;
                }
            }
            MemberEvent::Tick => self.tick(now, actions),
        }
        self.settle(now, actions);
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
        if matches!(self.stage, LeaveStage::HandedOver | LeaveStage::Left) {
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
        self.may_hold(now) && self.keeps(key)
    }

    /// Returns whether this process owns `key` and no holder of an earlier epoch can act on it any more.
    ///
    /// The process may act on the key only while its term runs as well.
    pub fn keeps(&self, key: u64) -> bool {
        let owns = self.owner_of(key).is_some_and(|owner| owner.node() == self.settings.node);
        let stays = !matches!(self.stage, LeaveStage::HandedOver | LeaveStage::Left);
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
        let gone = listed.is_some_and(ListedVm::is_gone);
        let leaving = listed.is_some_and(|listed| listed.leaving);
        Some(peer.health(now, gone, leaving, &self.settings))
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
    pub(crate) fn neighbour_epochs(&self) -> u64 {
        self.remote_rosters.values().map(|roster| roster.epoch).sum()
    }

    /// Returns whether this process reads the store for its zone.
    pub fn is_reader(&self, now: ClockTime) -> bool {
        self.readers(now).contains(&self.settings.node.vm)
    }

    /// Returns the time of the newest confirmation by the store, own or relayed.
    pub fn confirmed_at(&self) -> Option<ClockTime> {
        self.term.confirmed()
    }

    /// Returns the counters.
    pub fn counters(&self) -> MemberCounters {
        MemberCounters { store_calls: self.work.calls, ..self.counters }
    }

    // The silence of a peer during this process's own pause says nothing about the peer.
    fn notice_pause(&mut self, now: ClockTime) {
        let pause = self.last.map_or(ClockSpan::ZERO, |last| now.since(last));
        self.last = Some(now);
        if pause.as_ms() >= PAUSE_MS {
            self.counters.pauses += 1;
            for peer in self.peers.values_mut() {
                peer.two_way += pause;
            }
        }
    }

    fn take_list(&mut self, now: ClockTime, list: &[VmListing]) {
        let unlisted = ListedVm { leaving: false, missed: 0, seen: false };
        for vm in self.peers.keys() {
            self.listed.entry(vm.clone()).or_insert(unlisted);
        }
        for listed in self.listed.values_mut() {
            listed.missed += 1;
        }
        for line in list {
            let leaving = line.state == VmState::Leaving;
            self.listed.insert(line.vm.clone(), ListedVm { leaving, missed: 0, seen: true });
        }
        let (peers, rosters) = (&self.peers, &self.remote_rosters);
        let known = |vm: &VmName| {
            peers.contains_key(vm) || rosters.values().any(|roster| roster.member(vm).is_some())
        };
        self.listed.retain(|vm, listed| !listed.is_gone() || known(vm));
        let gone = |vm: &VmName| self.listed.get(vm).is_some_and(ListedVm::is_gone);
        let zones = rosters
            .iter()
            .filter(|(_, roster)| roster.members.iter().all(|member| gone(&member.vm)));
        let since = zones.map(|(zone, roster)| {
            let earlier = self.gone_since.get(zone).filter(|(epoch, _)| *epoch == roster.epoch);
            (zone.clone(), earlier.copied().unwrap_or((roster.epoch, now)))
        });
        self.gone_since = since.collect();
    }

    /// Returns the zones whose last members the VM list has shown as gone for longer than their terms, with those
    /// members. The zone's roster can be old: only what exactly these processes held is surely free.
    pub fn dead_zones(&self, now: ClockTime) -> BTreeMap<ZoneName, Vec<NodeId>> {
        let wait = longest_span(ClockSpan::from_ms(HOLD_TERM_MS + TERM_MARGIN_MS));
        let over = self.gone_since.iter().filter(|(_, (_, since))| now >= *since + wait);
        let members = over.filter_map(|(zone, _)| {
            let roster = self.remote_rosters.get(zone)?;
            Some((zone.clone(), roster.members.iter().map(RosterMember::node).collect()))
        });
        members.collect()
    }

    fn take_news(&mut self, now: ClockTime, news: WorkNews, actions: &mut Vec<MemberAction>) {
        self.work.next = now + self.settings.read;
        match news {
            WorkNews::Written { sent, roster } => self.take_confirmed(now, sent, roster, actions),
            WorkNews::Read { sent, roster, version, others } => {
                self.meet(others, actions);
                let roster = roster.unwrap_or_default();
                if roster.epoch > 0 {
                    self.take_confirmed(now, sent, roster.clone(), actions);
                }
                if let Some(next) = self.change(now, &roster) {
                    self.work.write(now, next, version, actions);
                }
            }
        }
    }

    fn take_confirmed(
        &mut self,
        now: ClockTime,
        sent: ClockTime,
        roster: Roster,
        actions: &mut Vec<MemberAction>,
    ) {
        let epoch = roster.epoch;
        self.adopt(now, roster, actions);
        if epoch == self.epoch() {
            self.term.confirm(sent);
        }
    }

    // Returns the change that this process wants to make to the roster that it has just read.
    fn change(&mut self, now: ClockTime, roster: &Roster) -> Option<Roster> {
        let node = &self.settings.node;
        let mut base = roster.clone();
        base.unsettled.retain(|past| !self.settled.contains(&past.epoch));
        if self.stage == LeaveStage::HandedOver {
            if !roster.contains(node) {
                return None;
            }
            let others = roster.members.iter().filter(|member| member.vm != node.vm);
            return Some(base.next(others.cloned().collect(), std::slice::from_ref(node)));
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
            return with_joined(&base, &me);
        }
        let removed = self.removable(now, roster);
        if removed.is_empty() {
            return None;
        }
        let kept = roster.members.iter().filter(|member| !removed.contains(&member.vm));
        Some(base.next(kept.cloned().collect(), &[]))
    }

    // Rules (ii) and (iii): the list shows the VM as gone, or a majority has promised the removal.
    fn removable(&self, now: ClockTime, roster: &Roster) -> BTreeSet<VmName> {
        if roster.epoch != self.epoch() {
            return BTreeSet::new();
        }
        let promised = |vm: &VmName| {
            let others = self.peers.iter().filter(|(name, peer)| {
                let current = peer.epoch == roster.epoch && peer.promises.contains(vm);
                current
                    && roster
                        .member(name)
                        .is_some_and(|member| member.incarnation == peer.incarnation)
            });
            others.count() + usize::from(self.promised.contains(vm)) >= roster.majority()
        };
        let candidates = roster.members.iter().map(|member| &member.vm);
        let removable = candidates.filter(|vm| **vm != self.settings.node.vm).filter(|vm| {
            self.health_of(now, vm) == Some(PeerHealth::Gone)
                || self.promised.contains(*vm) && promised(vm)
        });
        removable.cloned().collect()
    }

    fn adopt(&mut self, now: ClockTime, roster: Roster, actions: &mut Vec<MemberAction>) {
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
        self.promised.clear();
        self.roster = Some(roster);
        self.counters.epochs += 1;
        self.beat_at = now;
        actions.push(MemberAction::Report(MemberReport::RosterChanged { epoch }));
        if self.stage == LeaveStage::HandedOver && !self.is_member() {
            self.stage = LeaveStage::Left;
            actions.push(MemberAction::Report(MemberReport::Left));
        }
    }
}
