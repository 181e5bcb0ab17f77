//! The rollout of one service: how its targets may be used, and what the order leader writes.

use std::collections::BTreeMap;

use godwitroad_base::{BuildName, ClockSpan, ClockTime, StoreRevision, VmName};

use crate::{
    AnswerRecord, EvidenceKey, EvidencePart, RequestShare, RolloutNote, RolloutOrder, RolloutPhase,
    RolloutSettings, RolloutStatus, StatusKind, StopFigures, VersionSide,
    evidence::EvidenceTable,
    latency_class,
    verdict::{find_fault, slow_class},
};

/// The number of periods of an order's time for which evidence is kept apart.
const PERIODS: u64 = 6;

/// The age of the last response of the store from which a router sends nothing to the new version, where the time for a
/// rollback allows it.
const MAX_STORE_AGE: ClockSpan = ClockSpan::from_ms(2_000);

/// The largest part of the time for a rollback that this age may take, in percent. The rest is for the evidence and the stop
/// to reach the routers.
const STORE_AGE_PERCENT: u64 = 40;

/// The fewest responses of the new version with which the shift begins.
const MIN_RESPONSES: u64 = 20;

/// The shortest shift: gossip reaches all routers, and the status the store.
const MIN_SHIFT: ClockSpan = ClockSpan::from_ms(1_500);

/// The time before the end of the order at which the status is written at the latest.
const END_MARGIN: ClockSpan = ClockSpan::from_ms(700);

/// The time by which the shift begins earlier, so that another leader can complete the rollout if the first one dies in it.
const FAILOVER_SPAN: ClockSpan = ClockSpan::from_ms(1_000);

/// The time for which routers have used only the new version before the old targets may be stopped. Notes of all routers
/// of a region have arrived by then.
const MIN_SETTLE: ClockSpan = ClockSpan::from_ms(800);

/// The time after which a status that is not observed is written again.
const RETRY_DELAY: ClockSpan = ClockSpan::from_ms(400);

/// Limit of entries of evidence in a note.
const MAX_ENTRIES: usize = 16;

/// How a router may use targets of the versions for a request.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum TargetUse {
    /// Only targets of the old version.
    Old,
    /// Targets of the new version; those of the old one if no new one takes the request.
    Canary,
    /// Targets of the new version; those of the old one if there are no others.
    New,
}

/// What a router knows of its contact at the time of a decision.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct ContactView {
    /// Whether it hears at least half of the known routers.
    pub hears_half: bool,
    /// The age of the last response of the store; `None` if there was none.
    pub store_age: Option<ClockSpan>,
}

/// A status that the order leader should write.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct StatusStep {
    /// The status; its revision is that of the entry that it replaces.
    pub status: RolloutStatus,
    /// The number of the revision of the order's entry, which must not have changed.
    pub order: u64,
}

/// The rollout of a service under one order.
#[derive(Clone, Debug)]
pub struct ServiceRollout {
    order: RolloutOrder,
    revision: StoreRevision,
    // The revision of the order's entry. It differs from `revision` after an entry that can't be read.
    entry: StoreRevision,
    settings: RolloutSettings,
    began: ClockTime,
    knows_age: bool,
    phase: RolloutPhase,
    share: RequestShare,
    evidence: EvidenceTable,
    // The first class of times that counts as slow, by route.
    slow_classes: BTreeMap<(u32, EvidencePart), usize>,
    status: Option<RolloutStatus>,
    sent_at: Option<ClockTime>,
    open_old: u32,
    longest: ClockSpan,
    // Open requests at old targets of peers, by VM, with the time of the note. Only notes of the shift count.
    peers_open: BTreeMap<VmName, (ClockTime, u16)>,
    // Whether targets of the new version, and of another one, have been registered.
    has_new: bool,
    has_old: bool,
}

impl ServiceRollout {
    /// Returns the rollout for an order that this router reads now. `share` has the router's credit, and `knows_age` tells
    /// whether the order was written while this router ran.
    pub fn new(
        now: ClockTime,
        order: RolloutOrder,
        revision: StoreRevision,
        settings: RolloutSettings,
        share: RequestShare,
        knows_age: bool,
    ) -> ServiceRollout {
        ServiceRollout {
            order,
            revision,
            entry: revision,
            settings,
            began: now,
            knows_age,
            phase: RolloutPhase::Canary(Default::default()),
            share,
            evidence: EvidenceTable::default(),
            slow_classes: BTreeMap::new(),
            status: None,
            sent_at: None,
            open_old: 0,
            longest: ClockSpan::ZERO,
            peers_open: BTreeMap::new(),
            has_new: false,
            has_old: false,
        }
    }

    /// Returns the order.
    pub fn order(&self) -> &RolloutOrder {
        &self.order
    }

    /// Returns the revision that identifies the order.
    pub fn revision(&self) -> StoreRevision {
        self.revision
    }

    /// Returns the phase.
    pub fn phase(&self) -> RolloutPhase {
        self.phase
    }

    /// Returns whether the order concerns the routing of requests: targets of its version have been registered, and so have
    /// others.
    pub fn is_active(&self) -> bool {
        self.has_new && self.has_old
    }

    /// Returns whether targets of the order's version have been registered.
    pub fn knows_version(&self) -> bool {
        self.has_new
    }

    /// Returns whether the order still needs a leader.
    pub fn needs_leader(&self) -> bool {
        self.has_new && !self.own_status().is_some_and(|status| status.state.is_final())
    }

    // Returns the status in the store unless it belongs to an earlier order.
    fn own_status(&self) -> Option<&RolloutStatus> {
        self.status.as_ref().filter(|status| {
            status.target == self.order.target && status.revision > self.revision.number()
        })
    }

    /// Returns the time since the order.
    pub fn age(&self, now: ClockTime) -> ClockSpan {
        now.since(self.began)
    }

    fn end(&self) -> ClockTime {
        self.began + self.order.duration
    }

    /// Returns the side of a version.
    pub fn side(&self, build: &BuildName) -> VersionSide {
        if *build == self.order.target { VersionSide::New } else { VersionSide::Old }
    }

    /// Records that a target is registered.
    pub fn observe_build(&mut self, build: &BuildName) {
        match self.side(build) {
            VersionSide::New => self.has_new = true,
            VersionSide::Old => self.has_old = true,
        }
    }

    /// Records that the order's entry has another revision although the order is the same, as after the store returned from
    /// an older copy, or after an entry that can't be read.
    pub fn replace_entry(&mut self, entry: StoreRevision, is_order: bool) {
        self.entry = entry;
        if is_order {
            self.revision = entry;
        }
    }

    /// Applies the status that the store shows. One of an earlier order only tells the revision of the entry.
    pub fn observe_status(&mut self, now: ClockTime, status: RolloutStatus) {
        self.sent_at = None;
        self.status = Some(status);
        match self.own_status().map(|status| status.state) {
            Some(StatusKind::Completed) => self.phase = self.phase.after_completion(now),
            Some(StatusKind::RolledBack) => self.phase = self.phase.after_stop(),
            Some(StatusKind::Running) | None => {}
        }
    }

    /// Records that the store returned from an older copy, in which revisions mean something else.
    pub fn begin_era(&mut self) {
        self.status = None;
        self.sent_at = None;
    }

    /// Returns how a request may use the targets.
    pub fn target_use(&self, now: ClockTime, contact: ContactView) -> TargetUse {
        match self.phase {
            RolloutPhase::Completed(_) => TargetUse::New,
            RolloutPhase::RolledBack(_) => TargetUse::Old,
            // The service's requests are at the ordered version already.
            _ if self.has_new && !self.has_old => TargetUse::New,
            _ if !self.may_expose(now, contact) => TargetUse::Old,
            RolloutPhase::Shift(_) => TargetUse::New,
            RolloutPhase::Canary(_) if self.share.permits(&self.settings) => TargetUse::Canary,
            RolloutPhase::Canary(_) => TargetUse::Old,
        }
    }

    fn may_expose(&self, now: ClockTime, contact: ContactView) -> bool {
        let part = ClockSpan::from_ms(self.settings.rollback.as_ms() * STORE_AGE_PERCENT / 100);
        contact.hears_half
            && contact.store_age.is_some_and(|age| age < MAX_STORE_AGE.min(part))
            && now < self.end()
    }

    /// Returns whether a stream that began at the new version may go on there.
    pub fn may_go_on(&self, now: ClockTime, contact: ContactView) -> bool {
        self.target_use(now, contact) == TargetUse::New
            || self.phase.is_open() && self.may_expose(now, contact)
    }

    /// Records a request to the service.
    pub fn record_request(&mut self) {
        self.share.record_request();
    }

    /// Records that an attempt is sent to a target of a version.
    pub fn record_sent(&mut self, build: &BuildName) {
        if self.side(build) == VersionSide::New {
            self.share.record_exposed();
        }
    }

    /// Records how long an attempt took.
    pub fn record_end(&mut self, took: ClockSpan) {
        self.longest = self.longest.max(took);
    }

    /// Records how many of this router's requests are open at old targets.
    pub fn set_open_old(&mut self, open: u32) {
        self.open_old = open;
    }

    fn period(&self, now: ClockTime) -> u8 {
        let length = (self.order.duration.as_ms() / PERIODS).max(1);
        u8::try_from(self.age(now).as_ms() / length).unwrap_or(u8::MAX)
    }

    /// Adds a response to the evidence. Returns the figures if they stop the rollout.
    pub fn record_answer(&mut self, now: ClockTime, answer: &AnswerRecord) -> Option<StopFigures> {
        if !self.phase.is_open() {
            return None;
        }
        let (side, period) = (self.side(&answer.build), self.period(now));
        let key = |part| EvidenceKey { period, route: answer.route, side, part };
        self.evidence.record(key(EvidencePart::Start), answer.failed, answer.start_ms);
        if answer.pace_ms.is_some() {
            self.evidence.record(key(EvidencePart::Pace), false, answer.pace_ms);
        }
        if side == VersionSide::Old {
            return None;
        }
        let is_bad = answer.failed || self.is_slow(answer);
        self.evidence.record_target(answer.target_tag, is_bad);
        if is_bad { self.stop_if_worse(now) } else { None }
    }

    fn is_slow(&self, answer: &AnswerRecord) -> bool {
        let slow = |part, ms: Option<u64>| {
            let class = self.slow_classes.get(&(answer.route, part)).copied();
            ms.zip(class).is_some_and(|(ms, class)| latency_class(ms) >= class)
        };
        slow(EvidencePart::Start, answer.start_ms) || slow(EvidencePart::Pace, answer.pace_ms)
    }

    /// Determines again which times count as slow, from the old version's.
    pub fn refresh(&mut self) {
        if !self.phase.is_open() {
            return;
        }
        let sums = self.evidence.sums(0);
        let old = sums.iter().filter(|((.., side), _)| *side == VersionSide::Old);
        let classes = old
            .filter_map(|((route, part, _), old)| Some(((*route, *part), slow_class(Some(old))?)));
        self.slow_classes = classes.collect();
    }

    /// Stops the rollout if the evidence shows that the new version is worse. Returns the figures if so.
    pub fn stop_if_worse(&mut self, now: ClockTime) -> Option<StopFigures> {
        if !self.phase.is_open() || !self.is_active() {
            return None;
        }
        let figures = find_fault(&self.evidence, self.period(now))?;
        self.phase = self.phase.after_stop();
        Some(figures)
    }

    /// Returns the note for gossip; `None` once the rollout has ended and the store tells so.
    pub fn note(&mut self, now: ClockTime, service: u32) -> Option<RolloutNote> {
        if !self.needs_leader() {
            return None;
        }
        let clamp = |span: ClockSpan| u32::try_from(span.as_ms()).unwrap_or(u32::MAX);
        let period = self.period(now);
        Some(RolloutNote {
            service,
            order: self.revision,
            age_ms: self.knows_age.then(|| clamp(self.age(now))),
            shifted: matches!(self.phase, RolloutPhase::Shift(_) | RolloutPhase::Completed(_)),
            stopped: matches!(self.phase, RolloutPhase::RolledBack(_)),
            open_old: u16::try_from(self.open_old).unwrap_or(u16::MAX),
            longest_ms: clamp(self.longest),
            evidence: self.evidence.own_entries(period, MAX_ENTRIES),
            targets: self.evidence.own_targets(),
        })
    }

    /// Applies a peer's note on the same order; returns whether the phase changed.
    pub fn receive(
        &mut self,
        now: ClockTime,
        vm: &VmName,
        incarnation: u64,
        note: &RolloutNote,
    ) -> bool {
        if note.order != self.revision {
            return false;
        }
        if let Some(age) = note.age_ms {
            // The order is at least as old as any router says.
            let began = now - ClockSpan::from_ms(age.into());
            self.began = if self.knows_age { self.began.min(began) } else { began };
            self.knows_age = true;
        }
        self.evidence.receive(vm, incarnation, self.period(now), &note.evidence, &note.targets);
        self.longest = self.longest.max(ClockSpan::from_ms(note.longest_ms.into()));
        if note.shifted {
            self.peers_open.insert(vm.clone(), (now, note.open_old));
        }
        let before = self.phase;
        if note.stopped {
            self.phase = self.phase.after_stop();
        } else if note.shifted {
            self.phase = self.phase.after_shift(now);
        }
        before != self.phase
    }

    // Returns how long the old targets need to finish their requests.
    fn shift_span(&self) -> ClockSpan {
        let third = ClockSpan::from_ms(self.order.duration.as_ms() / 3);
        let longest = ClockSpan::from_ms(self.longest.as_ms() * 5 / 4) + MIN_SHIFT;
        longest.min(third.max(MIN_SHIFT))
    }

    /// Begins the shift if this router, the order leader, finds it due. Returns whether it began.
    pub fn begin_shift(&mut self, now: ClockTime, contact: ContactView) -> bool {
        let is_canary = matches!(self.phase, RolloutPhase::Canary(_));
        if !is_canary || !self.is_active() || !self.may_expose(now, contact) {
            return false;
        }
        let left = self.end().since(now);
        let responses: u64 = self.evidence.target_sums().values().map(|(all, _)| *all).sum();
        let span = self.shift_span() + END_MARGIN + FAILOVER_SPAN;
        if left > span || left < MIN_SHIFT || responses < MIN_RESPONSES {
            return false;
        }
        self.phase = self.phase.after_shift(now);
        true
    }

    /// Returns the status that the order leader should write now. `peers` are the reachable routers.
    pub fn next_status<'a>(
        &mut self,
        now: ClockTime,
        peers: impl Iterator<Item = &'a VmName>,
    ) -> Option<StatusStep> {
        if !self.needs_leader() || self.sent_at.is_some_and(|at| now.since(at) < RETRY_DELAY) {
            return None;
        }
        let is_late = now + END_MARGIN >= self.end();
        let state = match self.phase {
            RolloutPhase::Completed(_) => StatusKind::Completed,
            RolloutPhase::RolledBack(_) => StatusKind::RolledBack,
            _ if !self.has_old => StatusKind::Completed,
            RolloutPhase::Shift(_) if now >= self.end() => StatusKind::RolledBack,
            RolloutPhase::Shift(shift) => {
                let is_settled = now.since(shift.since) >= MIN_SETTLE && self.has_drained(peers);
                if is_late || is_settled { StatusKind::Completed } else { StatusKind::Running }
            }
            RolloutPhase::Canary(_) if is_late => StatusKind::RolledBack,
            RolloutPhase::Canary(_) => StatusKind::Running,
        };
        if state == StatusKind::RolledBack {
            self.phase = self.phase.after_stop();
        }
        self.step(now, state)
    }

    fn step(&mut self, now: ClockTime, state: StatusKind) -> Option<StatusStep> {
        if self.own_status().is_some_and(|known| known.state == state) {
            return None;
        }
        let known = self.status.as_ref();
        self.sent_at = Some(now);
        let status = RolloutStatus {
            service: self.order.service.clone(),
            state,
            target: self.order.target.clone(),
            revision: known.map_or(0, |known| known.revision),
        };
        Some(StatusStep { status, order: self.entry.number() })
    }

    // Returns whether no router has open requests at old targets.
    fn has_drained<'a>(&self, mut peers: impl Iterator<Item = &'a VmName>) -> bool {
        self.open_old == 0
            && peers.all(|vm| self.peers_open.get(vm).is_some_and(|(_, open)| *open == 0))
    }

    /// Returns the figures for log lines.
    pub fn summary(&self, now: ClockTime) -> String {
        let (requests, exposed) = self.share.figures();
        format!(
            "service={} target={} order={} phase={} age_ms={} requests={requests} exposed={exposed} open_old={}",
            self.order.service,
            self.order.target,
            self.revision,
            self.phase.name(),
            self.age(now).as_ms(),
            self.open_old,
        )
    }
}
