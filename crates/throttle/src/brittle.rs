//! Targets that fall over if they have to reject many requests.
//!
//! Such a target names how many rejections a second it bears, and takes fewer requests at a time than before. How many it
//! takes, its room, shows only in its rejections. All routers together keep their requests in progress below one estimate of
//! it:
//!
//! - Each router that has requests for the target gets a part of the room, and sends without asking while it stays within
//!   that. What it has in progress is reported with the gossip, so that room which others leave free can be used where it
//!   is large enough for all routers that may do so at the same time.
//! - A rejection lowers the room at once: to the last size that was proved, or to half of that if the target rejects
//!   requests within it. The newest statement of any router counts everywhere.
//! - One router raises it while requests have to be refused, and waits longer after each raise that brings a rejection.
//! - If the rejections of the last second come near the number that the target bears, only half of the room is used; once they
//!   reach it, nothing is sent.
//!
//! A router has no part of the room before its peers have heard that it has requests.

use std::collections::{BTreeMap, VecDeque};

use godwitroad_base::{ClockSpan, ClockTime, VmName};

use crate::{BrittleNotice, BrittleReport, BrittleStatement, RejectionBound, RoomStatement};

/// How an answer or a report changed what is known of a target.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum BrittleChange {
    /// Nothing changed.
    Same,
    /// The target names how many rejections it bears, for the first time or another number than before.
    Began(RejectionBound),
    /// The target is brittle no more.
    Ended,
}

/// This router's place among those that have requests for a target.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct RoomPosition {
    /// The number of claiming routers that come before this one. All routers must order each other alike.
    pub index: usize,
    /// The number of reachable routers that claim a part of the room, this one included.
    pub claiming: usize,
    /// The number of reachable routers, this one included.
    pub reachable: usize,
    /// The number of known routers, this one included.
    pub known: usize,
}

/// What a peer reported last.
#[derive(Clone, Copy, Debug)]
struct PeerWork {
    incarnation: u64,
    in_progress: u32,
    rejected: u32,
    is_claiming: bool,
    is_refusing: bool,
    heard_at: ClockTime,
}

#[derive(Clone, Debug)]
struct BrittleTarget {
    run: u32,
    // `None` once the target says no more that it is brittle.
    bound: Option<RejectionBound>,
    // When that was said. The newest statement is in force.
    stated_at: ClockTime,
    // What the latest answer to this router said. Peers are told this alone: a statement that is passed on would appear newer
    // each time.
    own: Option<(Option<RejectionBound>, ClockTime)>,
    room: RoomStatement,
    raise_at: ClockTime,
    raise_span: ClockSpan,
    // The rejections of the last second, of all routers.
    rejections: VecDeque<ClockTime>,
    own_rejected: u32,
    // Rejections without an accepted request in between.
    in_a_row: u32,
    held_until: ClockTime,
    // When this router last had a request for the target, and when it had to refuse one.
    claimed_at: Option<ClockTime>,
    refused_at: Option<ClockTime>,
    // When the peers were first told so.
    announced_at: Option<ClockTime>,
    peers: BTreeMap<VmName, PeerWork>,
    lowered_at: ClockTime,
    has_news: bool,
}

/// The targets that are brittle, by their tags.
#[derive(Clone, Debug, Default)]
pub struct BrittleTable {
    targets: BTreeMap<u32, BrittleTarget>,
}

/// The time in which the rejections of a target are counted.
const REJECTION_SPAN: ClockSpan = ClockSpan::from_ms(1_000);

/// How long the end is remembered, so that older reports of peers don't bring the sign back.
const ENDED_SPAN: ClockSpan = ClockSpan::from_ms(5_000);

/// How long a router counts as having requests for a target, or as refusing them.
const CLAIM_SPAN: ClockSpan = ClockSpan::from_ms(1_000);

/// The time until the peers have heard of a claim.
const ANNOUNCE_SPAN: ClockSpan = ClockSpan::from_ms(60);

/// How long the work that a peer reported counts without another report.
const WORK_LIFETIME: ClockSpan = ClockSpan::from_ms(1_000);

/// The time between two raises, before the first rejection and after one.
const FIRST_RAISE_SPAN: ClockSpan = ClockSpan::from_ms(250);
const RAISE_SPAN: ClockSpan = ClockSpan::from_ms(500);

/// The longest time between two raises.
const MAX_RAISE_SPAN: ClockSpan = ClockSpan::from_ms(4_000);

/// The time without a request after a rejection, which doubles with each one that follows without a success.
const HOLD_SPAN: ClockSpan = ClockSpan::from_ms(100);

/// The number of such doublings.
const MAX_HOLD_STEPS: u32 = 4;

impl BrittleTarget {
    fn new(
        now: ClockTime,
        run: u32,
        bound: Option<RejectionBound>,
        stated_at: ClockTime,
        room: u32,
    ) -> BrittleTarget {
        let room = room.max(1);
        BrittleTarget {
            run,
            bound,
            stated_at,
            own: None,
            room: RoomStatement { revision: 0, room, proved: room },
            raise_at: now + FIRST_RAISE_SPAN,
            raise_span: FIRST_RAISE_SPAN,
            rejections: VecDeque::new(),
            own_rejected: 0,
            in_a_row: 0,
            held_until: ClockTime::ZERO,
            claimed_at: None,
            refused_at: None,
            announced_at: None,
            peers: BTreeMap::new(),
            lowered_at: ClockTime::ZERO,
            has_news: true,
        }
    }

    fn change_to(&mut self, bound: Option<RejectionBound>, stated_at: ClockTime) -> BrittleChange {
        let before = std::mem::replace(&mut self.bound, bound);
        self.stated_at = stated_at;
        match bound {
            _ if bound == before => BrittleChange::Same,
            Some(bound) => BrittleChange::Began(bound),
            None => BrittleChange::Ended,
        }
    }

    fn recent_rejections(&mut self, now: ClockTime) -> u32 {
        while self.rejections.front().is_some_and(|at| now.since(*at) >= REJECTION_SPAN) {
            self.rejections.pop_front();
        }
        u32::try_from(self.rejections.len()).unwrap_or(u32::MAX)
    }

    fn heard_peers(&self, now: ClockTime) -> impl Iterator<Item = &PeerWork> {
        self.peers.values().filter(move |peer| now.since(peer.heard_at) < WORK_LIFETIME)
    }

    // Returns what all routers have in progress, with `own` requests of this one.
    fn total(&self, now: ClockTime, own: u32) -> u32 {
        self.heard_peers(now).map(|peer| peer.in_progress).fold(own, u32::saturating_add)
    }

    fn is_claiming(&self, now: ClockTime) -> bool {
        self.claimed_at.is_some_and(|at| now.since(at) < CLAIM_SPAN)
    }

    fn is_refusing(&self, now: ClockTime) -> bool {
        self.refused_at.is_some_and(|at| now.since(at) < CLAIM_SPAN)
    }

    fn set_room(&mut self, room: u32, proved: u32) {
        let (room, proved) = (room.max(1), proved.max(1));
        let revision = self.room.revision.wrapping_add(1);
        self.room = RoomStatement { revision, room, proved };
        self.has_news = true;
    }

    // Lowers the room after a rejection while `outstanding` requests were in progress.
    fn lower(&mut self, now: ClockTime, outstanding: u32) {
        let RoomStatement { room, proved, .. } = self.room;
        self.delay_raise(now);
        if room > proved {
            self.set_room(proved, proved);
        } else {
            let room = (room / 2).min(outstanding.saturating_sub(1));
            self.set_room(room, room);
        }
        self.lowered_at = now;
    }

    // Puts the next raise off after a rejection; after one that a raise brought, for longer each time.
    fn delay_raise(&mut self, now: ClockTime) {
        let was_raised = self.room.room > self.room.proved;
        let doubled = (self.raise_span + self.raise_span).min(MAX_RAISE_SPAN);
        self.raise_span = if was_raised { doubled.max(RAISE_SPAN) } else { RAISE_SPAN };
        self.raise_at = now + self.raise_span;
    }

    // Raises the room if requests had to be refused.
    fn raise(&mut self, now: ClockTime) {
        let Some(bound) = self.bound.filter(|bound| bound.per_second() > 0) else { return };
        let is_wanted = self.is_refusing(now) || self.heard_peers(now).any(|peer| peer.is_refusing);
        if now < self.raise_at || !is_wanted || self.recent_rejections(now) > 0 {
            return;
        }
        if self.room.room > self.room.proved {
            // The last raise has brought no rejection.
            let half = ClockSpan::from_ms(self.raise_span.as_ms() / 2);
            self.raise_span = half.max(FIRST_RAISE_SPAN);
        }
        // Each request beyond the room may cost a rejection.
        let step = (self.room.room / 4).min(bound.per_second() / 2).max(1);
        self.set_room(self.room.room.saturating_add(step), self.room.room);
        self.raise_at = now + self.raise_span;
    }

    fn check(
        &mut self,
        now: ClockTime,
        bound: RejectionBound,
        position: RoomPosition,
        own: u32,
        is_urgent: bool,
    ) -> bool {
        if !self.is_claiming(now) {
            self.announced_at = None;
            self.has_news = true;
        }
        self.claimed_at = Some(now);
        let recent = self.recent_rejections(now);
        if recent >= bound.per_second().max(1) || now < self.held_until {
            return false;
        }
        let mut room = position.usable(self.room.room);
        if recent + 1 >= bound.per_second() {
            // The last rejection is left for requests on the way.
            room = room.div_ceil(2);
        }
        let total = self.total(now, own);
        let claiming = u32::try_from(position.claiming).unwrap_or(u32::MAX);
        if total.saturating_add(claiming) <= room {
            return true;
        }
        let is_announced = self.announced_at.is_some_and(|at| now.since(at) >= ANNOUNCE_SPAN);
        let has_part = position.reachable <= 1 || is_announced;
        total < room && (is_urgent || has_part && own < position.part(room))
    }

    fn adopt_room(&mut self, now: ClockTime, statement: RoomStatement) {
        let (own, other) = (self.room, statement);
        let is_newer = other.revision > own.revision
            || other.revision == own.revision && other.room < own.room;
        if !is_newer {
            return;
        }
        if other.room < own.room {
            self.delay_raise(now);
            self.lowered_at = now;
        }
        self.room = other;
    }

    fn report(&mut self, now: ClockTime, target: u32, in_progress: u32) -> BrittleReport {
        self.has_news = false;
        if self.is_claiming(now) {
            self.announced_at.get_or_insert(now);
        }
        let own = self.own.filter(|(bound, _)| *bound == self.bound);
        let statement = own.map(|(bound, stated_at)| BrittleStatement {
            bound,
            age_ms: u32::try_from(now.since(stated_at).as_ms()).unwrap_or(u32::MAX),
        });
        BrittleReport {
            target,
            run: self.run,
            statement,
            room: self.room,
            in_progress,
            rejected: self.own_rejected,
            is_claiming: self.is_claiming(now),
            is_refusing: self.is_refusing(now),
        }
    }
}

impl RoomPosition {
    // Returns the part of a room that the reachable routers may use. The last place belongs to those that are the most.
    fn usable(self, room: u32) -> u32 {
        let part = self.reachable as f64 / self.known.max(1) as f64;
        let usable = (f64::from(room) * part.min(1.0)) as u32;
        usable.max(u32::from(part > 0.5))
    }

    // Returns this router's part of the usable room.
    fn part(self, room: u32) -> u32 {
        let [index, claiming] = [self.index, self.claiming.max(1)]
            .map(|count| u32::try_from(count).unwrap_or(u32::MAX));
        room / claiming + u32::from(index < room % claiming)
    }
}

impl BrittleTable {
    /// Applies what the answer of a target's `run` to a request that was sent at `sent_at` says. `room` is how many requests the
    /// target is taken to have room for when it is new.
    ///
    /// As with limits, an answer without the sign ends it only if its request was sent after the sign was last given.
    pub fn observe(
        &mut self,
        now: ClockTime,
        target: u32,
        run: u32,
        sent_at: ClockTime,
        notice: BrittleNotice,
        room: u32,
    ) -> BrittleChange {
        match (notice, self.targets.get_mut(&target)) {
            (BrittleNotice::Named(bound), None) => {
                let mut state = BrittleTarget::new(now, run, Some(bound), now, room);
                state.own = Some((Some(bound), now));
                self.targets.insert(target, state);
                BrittleChange::Began(bound)
            }
            (BrittleNotice::Named(bound), Some(state)) => {
                state.own = Some((Some(bound), now));
                state.change_to(Some(bound), now)
            }
            (BrittleNotice::Absent, Some(state)) if sent_at > state.stated_at => {
                state.own = Some((None, sent_at));
                state.change_to(None, sent_at)
            }
            _ => BrittleChange::Same,
        }
    }

    /// Takes a target that was started again for brittle, as others of its service are, until an answer says otherwise.
    pub fn assume(&mut self, now: ClockTime, target: u32, run: u32, bound: RejectionBound) {
        self.targets.insert(target, BrittleTarget::new(now, run, Some(bound), now, 1));
    }

    /// Applies a peer's report on one target, whose current run is `run`.
    pub fn receive(
        &mut self,
        now: ClockTime,
        peer: &VmName,
        incarnation: u64,
        run: u32,
        report: &BrittleReport,
    ) -> BrittleChange {
        if report.run != run {
            return BrittleChange::Same;
        }
        let stated = report.statement.map(|statement| {
            let stated_at = now - ClockSpan::from_ms(statement.age_ms.into());
            (statement.bound, stated_at)
        });
        let change = match (stated, self.targets.get_mut(&report.target)) {
            (Some((Some(bound), stated_at)), None) => {
                let room = report.room.room;
                let state = BrittleTarget::new(now, run, Some(bound), stated_at, room);
                self.targets.insert(report.target, state);
                BrittleChange::Began(bound)
            }
            (Some((bound, stated_at)), Some(state)) if stated_at > state.stated_at => {
                state.change_to(bound, stated_at)
            }
            _ => BrittleChange::Same,
        };
        if let Some(state) = self.targets.get_mut(&report.target) {
            state.adopt_room(now, report.room);
            let work = PeerWork {
                incarnation,
                in_progress: report.in_progress,
                rejected: report.rejected,
                is_claiming: report.is_claiming,
                is_refusing: report.is_refusing,
                heard_at: now,
            };
            let rejected = match state.peers.insert(peer.clone(), work) {
                None => 0,
                Some(known)
                    if known.incarnation == incarnation && known.rejected <= report.rejected =>
                {
                    report.rejected - known.rejected
                }
                Some(_) => report.rejected,
            };
            let bound = state.bound.map_or(0, RejectionBound::per_second);
            state.rejections.extend((0..rejected.min(bound)).map(|_| now));
        }
        change
    }

    /// Returns whether this router may send a request to a target where it has `own` requests in progress. `is_urgent` takes
    /// precedence over other routers.
    pub fn admits(
        &mut self,
        now: ClockTime,
        target: u32,
        position: RoomPosition,
        own: u32,
        is_urgent: bool,
    ) -> bool {
        let Some(state) = self.targets.get_mut(&target) else { return true };
        let Some(bound) = state.bound else { return true };
        state.check(now, bound, position, own, is_urgent)
    }

    /// Records that this router refuses a request because no target has room for it.
    pub fn record_refusal(&mut self, now: ClockTime, target: u32) {
        if let Some(state) = self.targets.get_mut(&target) {
            state.refused_at = Some(now);
        }
    }

    /// Records that a target rejected a request that was sent at `sent_at`, one of `own` of this router that are in progress.
    pub fn record_rejection(&mut self, now: ClockTime, target: u32, sent_at: ClockTime, own: u32) {
        let Some(state) = self.targets.get_mut(&target) else { return };
        state.own_rejected = state.own_rejected.wrapping_add(1);
        state.rejections.push_back(now);
        state.held_until =
            now + ClockSpan::from_ms(HOLD_SPAN.as_ms() << state.in_a_row.min(MAX_HOLD_STEPS));
        state.in_a_row += 1;
        state.has_news = true;
        // Requests that were sent before the room was lowered tell nothing of it.
        if sent_at >= state.lowered_at {
            let outstanding = state.total(now, own);
            state.lower(now, outstanding);
        }
    }

    /// Records that a target accepted a request.
    pub fn record_acceptance(&mut self, target: u32) {
        if let Some(state) = self.targets.get_mut(&target) {
            state.in_a_row = 0;
        }
    }

    /// Records that no connection to a target could be opened, after which nothing is known of its room.
    pub fn record_loss(&mut self, now: ClockTime, target: u32) {
        if let Some(state) = self.targets.get_mut(&target) {
            if state.room.room > 1 {
                state.set_room(1, 1);
            }
            state.raise_span = FIRST_RAISE_SPAN;
            state.raise_at = now + REJECTION_SPAN;
        }
    }

    /// Returns the reports for the next message to the peers: at most `max_reports`, beginning after the first `skipped` ones
    /// if there are more. `work` returns how many requests this router has in progress at a target, and whether it is the
    /// router that raises the room; `None` if the target is gone.
    pub fn reports(
        &mut self,
        now: ClockTime,
        max_reports: usize,
        skipped: usize,
        work: impl Fn(u32) -> Option<(u32, bool)>,
    ) -> Vec<BrittleReport> {
        self.targets
            .retain(|_, state| state.bound.is_some() || now.since(state.stated_at) < ENDED_SPAN);
        for (target, state) in &mut self.targets {
            if work(*target).is_some_and(|(_, is_raiser)| is_raiser) {
                state.raise(now);
            }
        }
        let count = self.targets.len();
        let first = if count > max_reports { skipped % count } else { 0 };
        let (before, after): (Vec<_>, Vec<_>) =
            self.targets.iter_mut().enumerate().partition(|(index, _)| *index < first);
        let ordered = after.into_iter().chain(before).take(max_reports);
        let report = |(_, (target, state)): (usize, (&u32, &mut BrittleTarget))| {
            let (in_progress, _) = work(*target)?;
            Some(state.report(now, *target, in_progress))
        };
        ordered.filter_map(report).collect()
    }

    /// Returns the tags of the targets.
    pub fn tags(&self) -> impl Iterator<Item = u32> {
        self.targets.keys().copied()
    }

    /// Returns whether something has changed that the peers should hear at once.
    pub fn has_news(&self) -> bool {
        self.targets.values().any(|state| state.has_news && state.bound.is_some())
    }

    /// Returns whether a peer claims a part of a target's room.
    pub fn is_claimed_by(&self, now: ClockTime, target: u32, peer: &VmName) -> bool {
        let work = self.targets.get(&target).and_then(|state| state.peers.get(peer));
        work.is_some_and(|work| work.is_claiming && now.since(work.heard_at) < WORK_LIFETIME)
    }

    /// Removes a target that has left or was started again.
    pub fn remove(&mut self, target: u32) {
        self.targets.remove(&target);
    }

    /// Returns how many rejections a second a target bears, if it is brittle.
    pub fn bound(&self, target: u32) -> Option<RejectionBound> {
        self.targets.get(&target).and_then(|state| state.bound)
    }

    /// Returns the room of a brittle target, in requests of all routers; for the log.
    pub fn room(&self, target: u32) -> Option<u32> {
        self.targets.get(&target).filter(|state| state.bound.is_some()).map(|state| state.room.room)
    }
}
