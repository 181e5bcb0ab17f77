//! What is known of one brittle target.

use std::collections::{BTreeMap, VecDeque};

use godwitroad_base::{ClockSpan, ClockTime, VmName};

use super::{BrittleChange, RoomPosition};
use crate::{BrittleReport, BrittleStatement, RejectionBound, RoomStatement};

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
pub(super) struct BrittleTarget {
    pub(super) run: u32,
    // `None` once the target no longer says that it is brittle.
    pub(super) bound: Option<RejectionBound>,
    // When that was said. The newest statement is in force.
    pub(super) stated_at: ClockTime,
    // What the latest answer to this router said. Peers are told this alone: a statement that is passed on would appear newer
    // each time.
    pub(super) own: Option<(Option<RejectionBound>, ClockTime)>,
    pub(super) room: RoomStatement,
    raise_at: ClockTime,
    raise_span: ClockSpan,
    // The rejections of the last second, of all routers.
    rejections: VecDeque<ClockTime>,
    own_rejected: u32,
    // Rejections without an accepted request in between.
    pub(super) in_a_row: u32,
    held_until: ClockTime,
    // When this router last had a request for the target, and when it had to refuse one.
    pub(super) claimed_at: Option<ClockTime>,
    pub(super) refused_at: Option<ClockTime>,
    // When the peers were first told so.
    announced_at: Option<ClockTime>,
    peers: BTreeMap<VmName, PeerWork>,
    lowered_at: ClockTime,
    // Whether the room was last lowered because a raise brought a rejection.
    was_raised: bool,
    // The most requests that all routers together had in progress since the room last changed.
    peak: u32,
    // When this router last sent a request, and what all routers had in progress with it.
    sent_at: Option<ClockTime>,
    sent_total: u32,
    pub(super) has_news: bool,
}

/// The time in which the rejections of a target are counted.
const REJECTION_SPAN: ClockSpan = ClockSpan::from_ms(1_000);

/// How long a router counts as having requests for a target, or as refusing them.
const CLAIM_SPAN: ClockSpan = ClockSpan::from_ms(1_000);

/// The time until the peers have heard of a claim.
const ANNOUNCE_SPAN: ClockSpan = ClockSpan::from_ms(60);

/// The time until the peers have heard of a claim and their reports on their own requests have arrived.
const TAKEOVER_SPAN: ClockSpan = ClockSpan::from_ms(100);

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

/// The time after which a request that wasn't rejected counts as accepted.
const ANSWER_SPAN: ClockSpan = ClockSpan::from_ms(20);

impl BrittleTarget {
    pub(super) fn new(
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
            // Rejections of the last second may be unknown.
            raise_at: now + REJECTION_SPAN,
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
            was_raised: false,
            peak: 0,
            sent_at: None,
            sent_total: 0,
            has_news: true,
        }
    }

    pub(super) fn change_to(
        &mut self,
        bound: Option<RejectionBound>,
        stated_at: ClockTime,
    ) -> BrittleChange {
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

    pub(super) fn is_claiming(&self, now: ClockTime) -> bool {
        self.claimed_at.is_some_and(|at| now.since(at) < CLAIM_SPAN)
    }

    fn is_refusing(&self, now: ClockTime) -> bool {
        self.refused_at.is_some_and(|at| now.since(at) < CLAIM_SPAN)
    }

    fn set_room(&mut self, room: u32, proved: u32) {
        let (room, proved) = (room.max(1), proved.max(1));
        let revision = self.room.revision.wrapping_add(1);
        self.room = RoomStatement { revision, room, proved };
        self.peak = 0;
        self.has_news = true;
    }

    // Lowers the room after a rejection while `outstanding` requests were in progress.
    fn lower(&mut self, now: ClockTime, outstanding: u32) {
        let RoomStatement { room, proved, .. } = self.room;
        self.delay_raise(now);
        let is_strict = self.bound.is_some_and(RejectionBound::is_strict);
        self.was_raised = room > proved && (!is_strict || self.sent_total > proved);
        if self.was_raised {
            self.set_room(proved, proved);
        } else {
            let room = (room / 2).min(outstanding.saturating_sub(1));
            self.set_room(room, room);
        }
        self.lowered_at = now;
    }

    // Puts the next raise off after a rejection; after one that a raise brought, for longer each time.
    fn delay_raise(&mut self, now: ClockTime) {
        let is_raised = self.room.room > self.room.proved;
        let doubled = (self.raise_span + self.raise_span).min(MAX_RAISE_SPAN);
        self.raise_span = if is_raised { doubled.max(RAISE_SPAN) } else { RAISE_SPAN };
        self.raise_at = now + self.raise_span;
    }

    // Raises the room if requests had to be refused.
    pub(super) fn raise(&mut self, now: ClockTime) {
        let Some(bound) = self.bound.filter(|bound| bound.per_second() > 0) else { return };
        let is_wanted = self.is_refusing(now) || self.heard_peers(now).any(|peer| peer.is_refusing);
        if now < self.raise_at
            || !is_wanted
            || self.recent_rejections(now) > 0
            // A size that was never reached says nothing of the room.
            || bound.is_strict() && self.peak < self.room.room
        {
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

    pub(super) fn check(
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
        let trusted = self.trusted_room(now, bound);
        if now < self.held_until || trusted == 0 {
            return false;
        }
        let room = position.usable(trusted);
        let total = self.total(now, own);
        self.peak = self.peak.max(total);
        let is_strict = bound.is_strict();
        let is_unanswered = own > 0 && self.sent_at.is_some_and(|at| now.since(at) < ANSWER_SPAN);
        if is_strict && is_unanswered {
            return false;
        }
        if is_strict && total >= self.room.room && self.room.room > self.room.proved {
            self.set_room(self.room.room, self.room.room);
            self.peak = total;
        }
        if total >= room {
            return false;
        }
        let claiming = u32::try_from(position.claiming).unwrap_or(u32::MAX);
        let free = if is_strict { room / 2 } else { room };
        let span = if is_strict { TAKEOVER_SPAN } else { ANNOUNCE_SPAN };
        let is_announced = self.announced_at.is_some_and(|at| now.since(at) >= span);
        let has_part = position.reachable <= 1 || is_announced;
        total.saturating_add(claiming) <= free
            || is_urgent
            || has_part && own < position.part(room, bound.max_holders())
    }

    // Returns the room that may be used after the rejections of the last second.
    fn trusted_room(&mut self, now: ClockTime, bound: RejectionBound) -> u32 {
        let recent = self.recent_rejections(now);
        let RoomStatement { room, proved, .. } = self.room;
        match recent {
            // No rejection at all is borne.
            _ if bound.per_second() == 0 => 1,
            0 => room,
            _ if recent + 1 < bound.per_second() => room,
            _ if bound.is_strict() && self.was_raised => room.min(proved),
            // Another rejection would be one too many. An empty target takes a request, unless one was rejected alone.
            _ if bound.is_strict() => u32::from(room > 1),
            // The last rejection is left for requests on the way.
            _ if recent < bound.per_second() => room.div_ceil(2),
            _ => 0,
        }
    }

    // Records that this router sent a request.
    pub(super) fn record_sent(&mut self, now: ClockTime, own: u32) {
        self.sent_at = Some(now);
        self.sent_total = self.total(now, own);
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
            self.was_raised = own.room > own.proved && other.room >= own.proved;
        }
        self.peak = 0;
        self.room = other;
    }

    pub(super) fn report(
        &mut self,
        now: ClockTime,
        target: u32,
        in_progress: u32,
    ) -> BrittleReport {
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

    pub(super) fn hear(
        &mut self,
        now: ClockTime,
        peer: &VmName,
        incarnation: u64,
        report: &BrittleReport,
    ) {
        self.adopt_room(now, report.room);
        let work = PeerWork {
            incarnation,
            in_progress: report.in_progress,
            rejected: report.rejected,
            is_claiming: report.is_claiming,
            is_refusing: report.is_refusing,
            heard_at: now,
        };
        let before = self.peers.get(peer).filter(|work| work.incarnation == incarnation);
        let is_known =
            |work: &PeerWork| work.is_claiming && now.since(work.heard_at) < WORK_LIFETIME;
        let is_new = !before.is_some_and(is_known);
        let is_using = self.sent_at.is_some_and(|at| now.since(at) < CLAIM_SPAN);
        if report.is_claiming && is_new && is_using {
            // The peer has to know of requests in progress before it uses its part.
            self.has_news = true;
        }
        let rejected = match self.peers.insert(peer.clone(), work) {
            None => 0,
            Some(known)
                if known.incarnation == incarnation && known.rejected <= report.rejected =>
            {
                report.rejected - known.rejected
            }
            Some(_) => report.rejected,
        };
        let bound = self.bound.map_or(0, RejectionBound::per_second);
        self.rejections.extend((0..rejected.min(bound)).map(|_| now));
    }

    // Records a rejection of a request of this router that was sent at `sent_at`, one of `own`.
    pub(super) fn record_rejection(&mut self, now: ClockTime, sent_at: ClockTime, own: u32) {
        self.own_rejected = self.own_rejected.wrapping_add(1);
        self.rejections.push_back(now);
        self.has_news = true;
        // Requests that were sent before the room was lowered tell nothing of it.
        if sent_at >= self.lowered_at {
            let outstanding = self.total(now, own);
            self.lower(now, outstanding);
        }
        let steps = self.in_a_row.min(MAX_HOLD_STEPS);
        self.held_until = now + ClockSpan::from_ms(HOLD_SPAN.as_ms() << steps);
        self.in_a_row += 1;
    }

    pub(super) fn record_loss(&mut self, now: ClockTime) {
        if self.room.room > 1 {
            self.set_room(1, 1);
        }
        self.raise_span = FIRST_RAISE_SPAN;
        self.raise_at = now + REJECTION_SPAN;
    }

    pub(super) fn is_claimed_by(&self, now: ClockTime, peer: &VmName) -> bool {
        let work = self.peers.get(peer);
        work.is_some_and(|work| work.is_claiming && now.since(work.heard_at) < WORK_LIFETIME)
    }
}
