//! Keeps requests within the limits that targets name; see [`godwitroad_throttle`].

use std::{cmp::Reverse, sync::Arc};

use godwitroad_base::{ClockSpan, ClockTime, TargetName, rendezvous};
use godwitroad_throttle::{FleetPosition, LimitChange, LimitNotice, RequestRate};
use xxhash_rust::xxh3::xxh3_64;

use super::{ForwardAction, ForwardState, brittle::BRITTLE_RETRY_AFTER};
use crate::{
    ForwardRefusal, ForwardRequest, GossipMessage, PeerPlace, RefusalReason, SendPlan,
    TargetRecord, tag_of,
};

impl ForwardState {
    /// Applies what a target's answer says about the rate of requests that the target takes. `sent_at` is when the request
    /// was sent.
    pub fn record_limit(
        &mut self,
        now: ClockTime,
        plan: &SendPlan,
        sent_at: ClockTime,
        notice: LimitNotice,
    ) {
        let target = &plan.target;
        let before = self.target_limit(target);
        let change = self.throttle.observe(now, tag_of(target.as_str()), sent_at, notice);
        if change == LimitChange::Same && notice == LimitNotice::Unreadable {
            let detail = format!("target={target}");
            self.notices.push(ForwardAction::Notice("target_limit_unreadable", detail));
        }
        self.report_limit(target, before, change, "own");
    }

    /// Returns the rate that a target names as its limit.
    pub fn target_limit(&self, target: &TargetName) -> Option<RequestRate> {
        self.throttle.limit(tag_of(target.as_str()))
    }

    /// Returns how many requests a target's limit still allowed when it was last used; `None` if it names no limit.
    pub fn limit_level(&self, target: &TargetName) -> Option<f64> {
        self.target_limit(target)?;
        self.throttle.level(tag_of(target.as_str()))
    }

    fn report_limit(
        &mut self,
        target: &TargetName,
        before: Option<RequestRate>,
        change: LimitChange,
        source: &str,
    ) {
        let event = match change {
            LimitChange::Same => return,
            LimitChange::Named(_) => "target_limit_named",
            LimitChange::Ended => "target_limit_ended",
        };
        let detail = format!(
            "target={target} per_second={:?} before={:?} source={source}",
            self.target_limit(target).map(RequestRate::per_second),
            before.map(RequestRate::per_second),
        );
        self.notices.push(ForwardAction::Notice(event, detail));
    }

    /// Applies what a peer reports of targets with limits.
    pub(super) fn receive_limits(&mut self, now: ClockTime, message: &GossipMessage) {
        for report in &message.limits {
            let tagged = self.roster.find_by_tag(report.target);
            let Some(name) = tagged.map(|record| record.name.clone()) else { continue };
            let before = self.target_limit(&name);
            let (peer, incarnation) = (&message.place.vm, message.incarnation);
            let change = self.throttle.receive(now, peer, incarnation, report);
            self.report_limit(&name, before, change, "peer");
        }
    }

    /// Returns the targets that aren't deferring and whose limits and room allow this router to send the request now.
    ///
    /// # Errors
    ///
    /// Returns the refusal for the caller if none does, with the time to return.
    pub(super) fn targets_within_limits(
        &mut self,
        now: ClockTime,
        request: &ForwardRequest,
        records: &[Arc<TargetRecord>],
    ) -> std::result::Result<Vec<Arc<TargetRecord>>, ForwardRefusal> {
        self.check_deferrals(now, request, records)?;
        // A stream that has begun would break.
        let is_urgent = request.begun_version.is_some() || request.begun_build.is_some();
        let (mut first, mut per_second) = (None::<ClockSpan>, 0.0);
        let mut allowed = Vec::with_capacity(records.len());
        for record in records {
            let Some(rate) = self.target_limit(&record.name) else {
                allowed.push(record.clone());
                continue;
            };
            let position = self.position_for(now, record);
            let tag = tag_of(record.name.as_str());
            match self.throttle.check(now, tag, position, is_urgent) {
                Ok(()) => allowed.push(record.clone()),
                Err(wait) => {
                    first = Some(first.map_or(wait, |first| first.min(wait)));
                    per_second += rate.per_second() / position.reachable as f64;
                }
            }
        }
        let limited = records.len() - allowed.len();
        let with_room = self.targets_with_room(now, request, &allowed);
        if !with_room.is_empty() || records.is_empty() {
            return Ok(with_room);
        }
        let mut reason = RefusalReason::TargetsLimited;
        if limited < records.len() {
            reason = RefusalReason::TargetsBrittle;
            first = Some(first.map_or(BRITTLE_RETRY_AFTER, |first| first.min(BRITTLE_RETRY_AFTER)));
            per_second +=
                allowed.iter().map(|record| self.record_no_room(now, record)).sum::<f64>();
        }
        let first = first.unwrap_or_default();
        let queue = self.return_queues.entry(request.service.clone()).or_default();
        let wait = queue.next_wait(now, first, per_second, &mut self.random);
        Err(ForwardRefusal::after(reason, wait))
    }

    // Returns this router's position for a target: the reachable routers in order of their distance to the target, so that
    // those which prefer it come first.
    fn position_for(&self, now: ClockTime, record: &TargetRecord) -> FleetPosition {
        let hash = xxh3_64(record.name.as_str().as_bytes());
        let order = |place: &PeerPlace| {
            let score = rendezvous::score(hash, place.vm.as_str());
            (self.distance(&place.zone, &record.zone), Reverse(score))
        };
        let own = order(&self.settings.place);
        let (mut index, mut reachable) = (0, 1);
        for peer in self.peers.iter().filter(|peer| peer.is_reachable(now)) {
            reachable += 1;
            index += usize::from(order(&peer.place) < own);
        }
        FleetPosition { index, reachable, known: self.member_count() }
    }
}
