//! Rollouts of services to a new version of their targets' software; see [`godwitroad_rollout`].

use std::{
    collections::{BTreeMap, BTreeSet},
    sync::Arc,
};

use godwitroad_base::{
    BuildName, ClockSpan, ClockTime, ServiceName, StoreRevision, TargetName, VmName, rendezvous,
};
use godwitroad_rollout::{
    AnswerRecord, ContactView, RequestShare, RolloutNote, RolloutOrder, RolloutPhase,
    RolloutStatus, ServiceRollout, StatusKind, StopFigures, TargetUse, VersionSide,
};
use xxhash_rust::xxh3::xxh3_64;

use super::{ForwardAction, ForwardState, gossip_schedule::UrgentScope};
use crate::{AttemptOutcome, ForwardRequest, GossipMessage, SendPlan, TargetRecord, tag_of};

/// The time for which a target of an unknown version is held back, as the order that names its version may still be in
/// transit to this router.
const HOLD_SPAN: ClockSpan = ClockSpan::from_ms(2_500);

/// The fewest targets of a new version that get requests in the canary phase. With one, a fault of the target couldn't be
/// told from one of its version.
const MIN_CANARIES: usize = 2;

/// The lowest speed at which targets read prompts, in tokens per ms. The time for reading uncached tokens isn't counted, as
/// the caches of new targets are empty.
const READ_TOKENS_PER_MS: u64 = 40;

/// The factor by which times per event are counted, as those of a few milliseconds must be told apart.
const PACE_FACTOR: u64 = 10;

/// A version of a service's targets.
#[derive(Clone, Copy, Debug)]
struct SeenBuild {
    first_seen: ClockTime,
    // Whether it was there before this router.
    is_initial: bool,
}

/// The rollouts of all services.
#[derive(Debug, Default)]
pub(super) struct RolloutTable {
    orders: BTreeMap<ServiceName, ServiceRollout>,
    statuses: BTreeMap<ServiceName, RolloutStatus>,
    builds: BTreeMap<(ServiceName, BuildName), SeenBuild>,
    // Versions that were rolled back or replaced, and get no requests until an order names them.
    barred: BTreeSet<(ServiceName, BuildName)>,
    // When targets stop being slow after their start.
    warm_at: BTreeMap<TargetName, ClockTime>,
    // Where a phase that began has to be told at once.
    news: Option<UrgentScope>,
}

impl RolloutTable {
    /// Returns whether the order leader has to write a status.
    pub(super) fn need_leader(&self) -> bool {
        self.orders.values().any(ServiceRollout::needs_leader)
    }

    /// Returns where a phase that began has to be told at once.
    pub(super) fn news(&self) -> Option<UrgentScope> {
        self.news
    }

    /// Records that the store returned from an older copy.
    pub(super) fn begin_era(&mut self) {
        self.statuses.clear();
        self.orders.values_mut().for_each(ServiceRollout::begin_era);
    }

    /// Removes what is known about a target that has left.
    pub(super) fn forget_target(&mut self, name: &TargetName) {
        self.warm_at.remove(name);
    }

    fn is_held(&self, now: ClockTime, record: &TargetRecord) -> bool {
        let key = (record.service.clone(), record.build.clone());
        self.builds.get(&key).is_some_and(|seen| !seen.is_settled(now))
    }

    fn is_barred(&self, service: &ServiceName, build: &BuildName) -> bool {
        !self.barred.is_empty() && self.barred.contains(&(service.clone(), build.clone()))
    }

    // Bars the versions that must get no more requests after a rollout has ended.
    fn bar_after(&mut self, service: &ServiceName) {
        let Some(rollout) = self.orders.get(service) else { return };
        let target = rollout.order().target.clone();
        match rollout.phase() {
            RolloutPhase::RolledBack(_) => {
                self.barred.insert((service.clone(), target));
            }
            RolloutPhase::Completed(_) => {
                let others = self.builds.keys().filter(|key| key.0 == *service && key.1 != target);
                self.barred.extend(others.cloned());
            }
            RolloutPhase::Canary(_) | RolloutPhase::Shift(_) => {}
        }
    }
}

impl SeenBuild {
    fn is_settled(self, now: ClockTime) -> bool {
        self.is_initial || now.since(self.first_seen) >= HOLD_SPAN
    }
}

impl ForwardState {
    /// Applies an order that the store shows.
    pub(super) fn apply_rollout_order(
        &mut self,
        now: ClockTime,
        order: RolloutOrder,
        revision: u64,
        actions: &mut Vec<ForwardAction>,
    ) {
        let Some(settings) = self.settings.rollout else { return };
        self.store_progress.record_urgent();
        let service = order.service.clone();
        if self.rules.as_ref().is_some_and(|rules| !rules.services.contains_key(&service)) {
            let reason = "the configuration has no such service";
            return self.apply_unreadable_rollout(&service, reason, revision, actions);
        }
        let revision = StoreRevision::new(self.era.current_era(), revision);
        if let Some(known) = self.rollouts.orders.get_mut(&service) {
            if known.revision() >= revision {
                return;
            }
            // The operator writes the order anew after the store has returned from an older copy.
            if known.revision().era() < revision.era() && *known.order() == order {
                return known.replace_entry(revision, true);
            }
            if known.phase().is_open() {
                let target = known.order().target.clone();
                self.rollouts.barred.insert((service.clone(), target));
            }
        }
        let routers = self.member_count();
        let share = match self.has_listed {
            true => RequestShare::with_credit(&settings, &self.settings.place.vm, routers),
            false => RequestShare::default(),
        };
        self.rollouts.barred.remove(&(service.clone(), order.target.clone()));
        let mut rollout =
            ServiceRollout::new(now, order, revision, settings, share, self.has_listed);
        for record in self.roster.iter().filter(|record| record.service == service) {
            if !self.rollouts.is_barred(&service, &record.build) {
                rollout.observe_build(&record.build);
            }
        }
        if let Some(status) = self.rollouts.statuses.get(&service) {
            rollout.observe_status(now, status.clone());
        }
        let known = rollout.knows_version();
        let detail = format!("{} version_known={known}", rollout.summary(now));
        actions.push(ForwardAction::Notice("rollout_phase", detail));
        self.rollouts.orders.insert(service.clone(), rollout);
        self.rollouts.bar_after(&service);
    }

    /// Logs an order that can't be carried out. It changes nothing but the revision of its entry.
    pub(super) fn apply_unreadable_rollout(
        &mut self,
        service: &ServiceName,
        reason: &str,
        revision: u64,
        actions: &mut Vec<ForwardAction>,
    ) {
        if self.settings.rollout.is_none() {
            return;
        }
        let revision = StoreRevision::new(self.era.current_era(), revision);
        if let Some(rollout) = self.rollouts.orders.get_mut(service) {
            rollout.replace_entry(revision, false);
        }
        let service: String = service.as_str().chars().take(80).collect();
        let detail = format!("service={service} revision={revision} reason={reason}");
        actions.push(ForwardAction::Notice("rollout_order_unreadable", detail));
    }

    /// Applies the status that the store shows.
    pub(super) fn apply_rollout_status(
        &mut self,
        now: ClockTime,
        status: RolloutStatus,
        actions: &mut Vec<ForwardAction>,
    ) {
        if self.settings.rollout.is_none() {
            return;
        }
        self.store_progress.record_urgent();
        let service = status.service.clone();
        let known = self.rollouts.statuses.get(&service).map_or(0, |known| known.revision);
        if status.revision < known {
            return;
        }
        self.rollouts.statuses.insert(service.clone(), status.clone());
        if let Some(rollout) = self.rollouts.orders.get_mut(&service) {
            let before = rollout.phase();
            rollout.observe_status(now, status);
            if rollout.phase() != before {
                let detail = format!("{} told_by=store", rollout.summary(now));
                actions.push(ForwardAction::Notice("rollout_phase", detail));
            }
        }
        self.rollouts.bar_after(&service);
    }

    /// Records a registered target.
    pub(super) fn observe_rollout_target(&mut self, now: ClockTime, record: &TargetRecord) {
        if self.settings.rollout.is_none() {
            return;
        }
        let seen = SeenBuild { first_seen: now, is_initial: !self.has_listed };
        let table = &mut self.rollouts;
        table.builds.entry((record.service.clone(), record.build.clone())).or_insert(seen);
        table
            .warm_at
            .entry(record.name.clone())
            .or_insert(now + ClockSpan::from_ms(record.cold_ms));
        let is_barred = table.is_barred(&record.service, &record.build);
        if let Some(rollout) = table.orders.get_mut(&record.service)
            && !is_barred
        {
            rollout.observe_build(&record.build);
        }
    }

    fn rollout_contact(&self, now: ClockTime) -> ContactView {
        let heard = self.peers.reachable(now).count() + 1;
        ContactView {
            hears_half: heard * 2 >= self.member_count(),
            store_age: self.freshness.age(now),
        }
    }

    // Returns the rollout of a service if its order concerns the routing.
    fn active_rollout(&self, service: &ServiceName) -> Option<&ServiceRollout> {
        self.rollouts.orders.get(service).filter(|rollout| rollout.knows_version())
    }

    /// Returns targets of a new version if the request may be tried there.
    pub(super) fn canary_targets(
        &self,
        now: ClockTime,
        request: &ForwardRequest,
        records: &[Arc<TargetRecord>],
    ) -> Option<Vec<Arc<TargetRecord>>> {
        let rollout = self.active_rollout(&request.service)?;
        if rollout.target_use(now, self.rollout_contact(now)) != TargetUse::Canary {
            return None;
        }
        let is_new = |record: &&Arc<TargetRecord>| rollout.side(&record.build) == VersionSide::New;
        let mut new: Vec<_> = records.iter().filter(is_new).cloned().collect();
        // All routers use the same few, so that each gets about as many requests as an old target.
        let share = self.settings.rollout.map_or(0.0, |settings| settings.share);
        let count = ((records.len() - new.len()) as f64 * share).ceil() as usize;
        let key = xxh3_64(rollout.revision().to_string().as_bytes());
        new.sort_by_cached_key(|record| {
            std::cmp::Reverse(rendezvous::score(key, record.name.as_str()))
        });
        new.truncate(count.max(MIN_CANARIES));
        Some(new)
    }

    /// Returns whether a request that is about to be sent to one of these targets tries a new version.
    pub(super) fn is_canary(
        &self,
        now: ClockTime,
        request: &ForwardRequest,
        records: &[Arc<TargetRecord>],
    ) -> bool {
        let Some(rollout) = self.active_rollout(&request.service) else { return false };
        let is_new = |record: &Arc<TargetRecord>| rollout.side(&record.build) == VersionSide::New;
        records.first().is_some_and(is_new)
            && rollout.target_use(now, self.rollout_contact(now)) == TargetUse::Canary
    }

    /// Leaves out the targets of versions that the request must not reach; canaries are chosen before.
    pub(super) fn permitted_targets(
        &self,
        now: ClockTime,
        request: &ForwardRequest,
        mut records: Vec<Arc<TargetRecord>>,
    ) -> Vec<Arc<TargetRecord>> {
        if self.settings.rollout.is_none() {
            return records;
        }
        let rollout = self.active_rollout(&request.service);
        let side = |record: &TargetRecord| {
            rollout.map_or(VersionSide::Old, |rollout| rollout.side(&record.build))
        };
        let contact = self.rollout_contact(now);
        let target_use = rollout.map_or(TargetUse::Old, |own| own.target_use(now, contact));
        if target_use == TargetUse::New {
            let (new, old): (Vec<_>, Vec<_>) =
                records.into_iter().partition(|record| side(record) == VersionSide::New);
            if !new.is_empty() {
                return new;
            }
            records = old;
        } else {
            // A stream that began at the new version can go on nowhere else.
            let goes_on = request.begun_build.is_some()
                && rollout.is_some_and(|own| own.may_go_on(now, contact));
            records.retain(|record| side(record) == VersionSide::Old || goes_on);
        }
        records.retain(|record| !self.rollouts.is_barred(&record.service, &record.build));
        let is_held = |record: &Arc<TargetRecord>| self.rollouts.is_held(now, record);
        if records.iter().any(|record| !is_held(record)) {
            records.retain(|record| !is_held(record));
        }
        records
    }

    /// Records that an attempt is sent to a target.
    pub(super) fn record_rollout_sent(&mut self, request: &ForwardRequest, plan: &SendPlan) {
        let Some(rollout) = self.rollouts.orders.get_mut(&request.service) else { return };
        if request.tried.is_empty() {
            rollout.record_request();
        }
        rollout.record_sent(&plan.build);
    }

    /// Records the end of an attempt as evidence.
    pub(super) fn record_rollout_end(
        &mut self,
        now: ClockTime,
        request: &ForwardRequest,
        plan: &SendPlan,
        outcome: AttemptOutcome,
    ) {
        let Some(rollout) = self.rollouts.orders.get_mut(&request.service) else { return };
        rollout.record_end(now.since(plan.chosen_at));
        let failed = match outcome {
            AttemptOutcome::Complete { status } => status >= 500,
            AttemptOutcome::Lost { .. }
            | AttemptOutcome::Failed
            | AttemptOutcome::Silent
            | AttemptOutcome::TimeOver => true,
            AttemptOutcome::Rejected { .. }
            | AttemptOutcome::NotSent
            | AttemptOutcome::Outdated
            | AttemptOutcome::Relocated
            | AttemptOutcome::Superseded
            | AttemptOutcome::CallerLeft => return,
        };
        let warm_at = self.rollouts.warm_at.get(&plan.target).copied().unwrap_or_default();
        let is_measured = !failed && plan.chosen_at >= warm_at;
        let (start_ms, pace_ms) = answer_times(now, request, plan);
        let answer = AnswerRecord {
            route: tag_of(request.route.name.as_ref()),
            target_tag: tag_of(plan.target.as_str()),
            build: plan.build.clone(),
            failed,
            start_ms: start_ms.filter(|_| is_measured),
            pace_ms: pace_ms.filter(|_| is_measured),
        };
        if let Some(figures) = rollout.record_answer(now, &answer) {
            let service = request.service.clone();
            self.report_stop(now, &service, &figures);
        }
    }

    fn report_stop(&mut self, now: ClockTime, service: &ServiceName, figures: &StopFigures) {
        self.rollouts.news = Some(UrgentScope::Fleet);
        self.rollouts.bar_after(service);
        let Some(rollout) = self.rollouts.orders.get(service) else { return };
        let routes = self.rules.iter().flat_map(|rules| &rules.routes);
        let route = routes.map(|route| route.name.to_string());
        let route = route.into_iter().find(|name| tag_of(name) == figures.route);
        let detail = format!(
            "{} route={} slow={} new_responses={} new_bad={} old_responses={} old_bad={}",
            rollout.summary(now),
            route.unwrap_or_default(),
            figures.is_slow,
            figures.new.0,
            figures.new.1,
            figures.old.0,
            figures.old.1,
        );
        self.notices.push(ForwardAction::Notice("rollout_stopped", detail));
    }

    /// Checks the evidence of all open rollouts.
    pub(super) fn check_rollouts(&mut self, now: ClockTime) {
        if self.rollouts.orders.is_empty() {
            return;
        }
        let mut open: BTreeMap<ServiceName, u32> = BTreeMap::new();
        for (name, work) in self.loads.own_work() {
            let Some(record) = self.roster.get(name) else { continue };
            if let Some(rollout) = self.rollouts.orders.get(&record.service)
                && rollout.side(&record.build) == VersionSide::Old
            {
                *open.entry(record.service.clone()).or_default() += work.requests as u32;
            }
        }
        let mut stops = Vec::new();
        for (service, rollout) in &mut self.rollouts.orders {
            rollout.set_open_old(open.get(service).copied().unwrap_or(0));
            rollout.refresh();
            if let Some(figures) = rollout.stop_if_worse(now) {
                stops.push((service.clone(), figures));
            }
        }
        for (service, figures) in stops {
            self.report_stop(now, &service, &figures);
        }
    }

    /// Returns the notes for gossip.
    pub(super) fn rollout_notes(&mut self, now: ClockTime) -> Vec<RolloutNote> {
        self.rollouts.news = None;
        let rollouts = self.rollouts.orders.iter_mut();
        rollouts
            .filter_map(|(service, rollout)| rollout.note(now, tag_of(service.as_str())))
            .collect()
    }

    /// Applies a peer's notes.
    pub(super) fn receive_rollouts(&mut self, now: ClockTime, message: &GossipMessage) {
        for note in &message.rollouts {
            let mut orders = self.rollouts.orders.iter_mut();
            let Some((service, rollout)) =
                orders.find(|(service, _)| tag_of(service.as_str()) == note.service)
            else {
                continue;
            };
            if !rollout.receive(now, &message.place.vm, message.incarnation, note) {
                continue;
            }
            let detail = format!("{} told_by={}", rollout.summary(now), message.place.vm);
            self.notices.push(ForwardAction::Notice("rollout_phase", detail));
            // Peers that don't hear the sender hear this router.
            self.rollouts.news = self.rollouts.news.max(Some(UrgentScope::Zone));
            let service = service.clone();
            self.rollouts.bar_after(&service);
        }
    }

    /// Carries out the open rollouts if this router is the order leader.
    pub(super) fn lead_rollouts(&mut self, now: ClockTime, actions: &mut Vec<ForwardAction>) {
        let Some(fence) = self.term.leader_revision(now) else { return };
        if !self.rollouts.need_leader() {
            return;
        }
        let contact = self.rollout_contact(now);
        let reachable = self.peers.reachable(now).filter(|(message, _)| !message.stopping);
        let peers: Vec<VmName> = reachable.map(|(message, _)| message.place.vm.clone()).collect();
        let mut ended = Vec::new();
        for (service, rollout) in &mut self.rollouts.orders {
            if rollout.begin_shift(now, contact) {
                self.rollouts.news = Some(UrgentScope::Fleet);
                let detail = format!("{} told_by=own", rollout.summary(now));
                actions.push(ForwardAction::Notice("rollout_phase", detail));
            }
            let Some(step) = rollout.next_status(now, peers.iter()) else { continue };
            let detail = format!("{} state={:?}", rollout.summary(now), step.status.state);
            actions.push(ForwardAction::Notice("rollout_status_sent", detail));
            if step.status.state == StatusKind::RolledBack {
                self.rollouts.news = Some(UrgentScope::Fleet);
                ended.push(service.clone());
            }
            actions.push(ForwardAction::RecordRollout { fence, step });
        }
        ended.iter().for_each(|service| self.rollouts.bar_after(service));
        if self.rollouts.news.is_some() {
            actions.push(ForwardAction::SendGossip);
        }
    }

    /// Returns the phase of a service's rollout.
    pub fn rollout_phase(&self, service: &ServiceName) -> Option<RolloutPhase> {
        self.rollouts.orders.get(service).map(ServiceRollout::phase)
    }
}

// Returns the time to the end of an answer or to the first event of a stream, and the time per event in units of
// `1 / PACE_FACTOR` ms.
fn answer_times(
    now: ClockTime,
    request: &ForwardRequest,
    plan: &SendPlan,
) -> (Option<u64>, Option<u64>) {
    let read_ms = plan.prefill_tokens / READ_TOKENS_PER_MS;
    let since_chosen = |at: ClockTime| at.since(plan.chosen_at).as_ms().saturating_sub(read_ms);
    if !request.route.streaming {
        return (Some(since_chosen(now)), None);
    }
    let Some((first, last)) = plan.progress.span else { return (None, None) };
    let events = plan.progress.events.saturating_sub(1);
    let pace = (last.since(first).as_ms() * PACE_FACTOR).checked_div(events);
    (Some(since_chosen(first)), pace)
}
