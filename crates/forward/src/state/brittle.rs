//! Keeps requests from targets that fall over if they have to reject many; see [`BrittleTable`].

use std::{cmp::Reverse, collections::BTreeMap, sync::Arc};

use godwitroad_base::{ClockSpan, ClockTime, ServiceName, TargetName, rendezvous};
use godwitroad_throttle::{
    BrittleChange, BrittleNotice, BrittleReport, BrittleTable, RejectionBound, RoomPosition,
};
use xxhash_rust::xxh3::xxh3_64;

use super::{ForwardAction, ForwardState};
use crate::{ForwardRequest, GossipMessage, PeerPlace, SendPlan, TargetRecord, tag_of};

/// What is known of brittle targets.
#[derive(Debug, Default)]
pub(super) struct BrittleState {
    table: BrittleTable,
    // What targets of each service said last.
    services: BTreeMap<ServiceName, (RejectionBound, ClockTime)>,
}

/// Limit of brittle targets in a message. Each message lists other ones.
const MAX_REPORTS: usize = 16;

/// How long targets of a service that start are taken for brittle after another one said that it is.
const SERVICE_SPAN: ClockSpan = ClockSpan::from_secs(10);

/// Requests per second that return for each request that the targets take at a time.
const RETURNS_PER_PLACE: f64 = 4.0;

/// The shortest time after which a caller returns.
pub(super) const BRITTLE_RETRY_AFTER: ClockSpan = ClockSpan::from_ms(100);

fn count(value: u64) -> u32 {
    u32::try_from(value).unwrap_or(u32::MAX)
}

// Returns a part of the time of a target's start that tells its runs apart.
fn run_of(started_ms: u64) -> u32 {
    started_ms as u32
}

impl ForwardState {
    /// Applies what a target's answer, a rejection if `is_rejection`, says of the rejections that the target bears. `sent_at`
    /// is when the request was sent.
    pub fn record_brittle(
        &mut self,
        now: ClockTime,
        plan: &SendPlan,
        sent_at: ClockTime,
        notice: BrittleNotice,
        is_rejection: bool,
    ) {
        let target = &plan.target;
        let (tag, run) = (tag_of(target.as_str()), run_of(plan.started_ms));
        let current = self.roster.get(target).filter(|record| record.started_ms == plan.started_ms);
        let Some(slots) = current.map(|record| record.slots) else { return };
        if notice == BrittleNotice::Unreadable {
            let detail = format!("target={target}");
            self.notices.push(ForwardAction::Notice("target_brittle_unreadable", detail));
        }
        let accepted =
            count(self.loads.work(now, target).requests).saturating_sub(is_rejection.into());
        // At first a target still takes as many as before.
        let room = accepted.max(slots);
        let change = self.brittle.table.observe(now, tag, run, sent_at, notice, room);
        if let BrittleNotice::Named(bound) = notice {
            self.record_brittle_service(now, target, bound);
        }
        self.report_brittle(target, change, "own");
        if is_rejection {
            let own = count(self.loads.own_requests(target));
            self.brittle.table.record_rejection(now, tag, sent_at, own);
        }
    }

    fn record_brittle_service(
        &mut self,
        now: ClockTime,
        target: &TargetName,
        bound: RejectionBound,
    ) {
        if let Some(record) = self.roster.get(target) {
            self.brittle.services.insert(record.service.clone(), (bound, now));
        }
    }

    fn report_brittle(&mut self, target: &TargetName, change: BrittleChange, source: &str) {
        let (event, bound) = match change {
            BrittleChange::Same => return,
            BrittleChange::Began(bound) => ("target_brittle_began", Some(bound.per_second())),
            BrittleChange::Ended => ("target_brittle_ended", None),
        };
        let room = self.brittle.table.room(tag_of(target.as_str()));
        let detail = format!("target={target} per_second={bound:?} room={room:?} source={source}");
        self.notices.push(ForwardAction::Notice(event, detail));
    }

    /// Returns how many requests of all routers a brittle target is taken to have room for; `None` if it isn't brittle.
    pub fn brittle_room(&self, target: &TargetName) -> Option<u32> {
        self.brittle.table.room(tag_of(target.as_str()))
    }

    pub(super) fn has_brittle_news(&self) -> bool {
        self.brittle.table.has_news()
    }

    /// Forgets the run of a target that has left or was started again. A new run is brittle if others of its service are.
    pub(super) fn restart_brittle(&mut self, now: ClockTime, name: &TargetName) {
        let tag = tag_of(name.as_str());
        self.brittle.table.remove(tag);
        let Some(record) = self.roster.get(name) else { return };
        let said = self.brittle.services.get(&record.service);
        let Some((bound, _)) = said.filter(|(_, at)| now.since(*at) < SERVICE_SPAN) else { return };
        let (bound, run) = (*bound, run_of(record.started_ms));
        self.brittle.table.assume(now, tag, run, bound);
        self.report_brittle(name, BrittleChange::Began(bound), "service");
    }

    pub(super) fn forget_brittle(&mut self, name: &TargetName) {
        self.brittle.table.remove(tag_of(name.as_str()));
    }

    /// Records that this router sends a request to a target.
    pub(super) fn record_brittle_sent(&mut self, now: ClockTime, target: &TargetName) {
        let own = count(self.loads.own_requests(target));
        self.brittle.table.record_sent(now, tag_of(target.as_str()), own);
    }

    /// Records that a target has accepted a request.
    pub(super) fn record_brittle_acceptance(&mut self, target: &TargetName) {
        self.brittle.table.record_acceptance(tag_of(target.as_str()));
    }

    /// Records that no connection to a target could be opened.
    pub(super) fn record_brittle_loss(&mut self, now: ClockTime, target: &TargetName) {
        self.brittle.table.record_loss(now, tag_of(target.as_str()));
    }

    /// Returns what this router knows of brittle targets, for the next message to the peers.
    pub(super) fn brittle_reports(&mut self, now: ClockTime) -> Vec<BrittleReport> {
        let mut work = BTreeMap::new();
        for tag in self.brittle.table.tags() {
            let Some(record) = self.roster.find_by_tag(tag) else { continue };
            let own = count(self.loads.own_requests(&record.name));
            work.insert(tag, (own, self.raises_room(now, record)));
        }
        let skipped = self.sequence as usize * MAX_REPORTS;
        self.brittle.table.reports(now, MAX_REPORTS, skipped, |tag| work.get(&tag).copied())
    }

    /// Applies what a peer reports of brittle targets.
    pub(super) fn receive_brittle(&mut self, now: ClockTime, message: &GossipMessage) {
        for report in &message.brittle {
            let Some(record) = self.roster.find_by_tag(report.target) else { continue };
            let (name, run) = (record.name.clone(), run_of(record.started_ms));
            let (peer, incarnation) = (&message.place.vm, message.incarnation);
            let change = self.brittle.table.receive(now, peer, incarnation, run, report);
            if let Some(bound) = self.brittle.table.bound(report.target) {
                self.record_brittle_service(now, &name, bound);
            }
            self.report_brittle(&name, change, "peer");
        }
    }

    fn room_order(&self, place: &PeerPlace, record: &TargetRecord) -> impl Ord + use<> {
        let hash = xxh3_64(record.name.as_str().as_bytes());
        let score = rendezvous::score(hash, place.vm.as_str());
        (self.distance(&place.zone, &record.zone), Reverse(score))
    }

    // The first of the routers that claim a part knows best whether the room is full.
    fn raises_room(&self, now: ClockTime, record: &TargetRecord) -> bool {
        self.brittle.table.is_claimed(now, tag_of(record.name.as_str()))
            && self.room_position(now, record).index == 0
    }

    fn room_position(&self, now: ClockTime, record: &TargetRecord) -> RoomPosition {
        let tag = tag_of(record.name.as_str());
        let own = self.room_order(&self.settings.place, record);
        let known = self.member_count();
        let mut position = RoomPosition { index: 0, claiming: 1, reachable: 1, known };
        for peer in self.peers.iter().filter(|peer| peer.is_reachable(now)) {
            position.reachable += 1;
            if self.brittle.table.is_claimed_by(now, tag, &peer.place.vm) {
                position.claiming += 1;
                position.index += usize::from(self.room_order(&peer.place, record) < own);
            }
        }
        position
    }

    /// Returns the targets that aren't brittle, or have room for a request of this router.
    pub(super) fn targets_with_room(
        &mut self,
        now: ClockTime,
        request: &ForwardRequest,
        records: &[Arc<TargetRecord>],
    ) -> Vec<Arc<TargetRecord>> {
        let has_room = |record: &&Arc<TargetRecord>| self.has_room(now, request, record);
        records.iter().filter(has_room).cloned().collect()
    }

    fn has_room(
        &mut self,
        now: ClockTime,
        request: &ForwardRequest,
        record: &TargetRecord,
    ) -> bool {
        let tag = tag_of(record.name.as_str());
        if self.brittle.table.bound(tag).is_none() {
            return true;
        }
        // A stream that has begun would break.
        let is_urgent = request.begun_version.is_some() || request.begun_build.is_some();
        let position = self.room_position(now, record);
        let own = count(self.loads.own_requests(&record.name));
        self.brittle.table.admits(now, tag, position, own, is_urgent)
    }

    /// Records that this router refuses a request for lack of room at a target, and returns how many refused callers per
    /// second may return because of this target.
    pub(super) fn record_no_room(&mut self, now: ClockTime, record: &TargetRecord) -> f64 {
        self.brittle.table.record_refusal(now, tag_of(record.name.as_str()));
        let room = self.brittle_room(&record.name).unwrap_or(0);
        let reachable = 1 + self.peers.iter().filter(|peer| peer.is_reachable(now)).count();
        f64::from(room) * RETURNS_PER_PLACE / reachable as f64
    }
}
