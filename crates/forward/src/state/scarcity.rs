//! Admission while capacity is short, for services for which the cost model is active; see [`godwitroad_admission`].

use std::sync::Arc;

use godwitroad_admission::{
    AccountDemand, AdmissionControl, AdmissionLimit, AdmissionRequest, AdmissionSettings,
    CANDIDATES, TargetEstimate,
};
use godwitroad_base::{ClockSpan, ClockTime, SeededRandom};
use godwitroad_cost::{RequestSize, TargetWork};
use xxhash_rust::xxh3::xxh3_64;

use super::{
    ForwardAction, ForwardState,
    cost::learned_cost,
    placement::{check_wait, max_wait_ms},
};
use crate::{
    ForwardRefusal, ForwardRequest, PromptDemand, RefusalReason, SendPlan, TargetCandidate,
    TargetChoice, TargetRecord, WorkSum, ZoneDistance, choose_candidate,
};

/// How long the accounts' demands are used before they are added up again; gossip brings new ones every 200 ms.
const DEMAND_LIFETIME: ClockSpan = ClockSpan::from_ms(200);

/// The admission stage and the demands that it compares accounts by.
#[derive(Debug)]
pub(super) struct ScarcityState {
    control: AdmissionControl,
    // By the unit of the accounts' allowances: requests, tokens.
    demands: [Vec<AccountDemand>; 2],
    summed_at: Option<ClockTime>,
}

/// The admission of one request that is about to be placed.
#[derive(Debug)]
pub(super) struct PlacementLimit {
    request: AdmissionRequest,
    limit: AdmissionLimit,
    // Whether less than half of the slots are in use and nothing waits, so that the request isn't refused.
    has_free_slots: bool,
    // The estimate at which the last choice was refused.
    refused_at: Option<TargetEstimate>,
}

impl ScarcityState {
    pub(super) fn new(settings: AdmissionSettings) -> ScarcityState {
        let control = AdmissionControl::new(settings);
        ScarcityState { control, demands: [Vec::new(), Vec::new()], summed_at: None }
    }

    pub(super) fn control_mut(&mut self) -> &mut AdmissionControl {
        &mut self.control
    }
}

impl ForwardState {
    /// Returns the limit for placing a request, or `None` if admission or the cost model isn't active for its service, or if a refusal would
    /// break its stream or be a failure.
    pub(super) fn placement_limit(
        &mut self,
        now: ClockTime,
        request: &ForwardRequest,
        records: &[Arc<TargetRecord>],
    ) -> Option<PlacementLimit> {
        let has_begun = request.begun_version.is_some() || request.begun_build.is_some();
        let is_active = self.settings.admission.active && self.cost.is_learned(&request.service);
        if has_begun || request.may_have_run || !is_active {
            return None;
        }
        self.sum_demands(now);
        let admission = AdmissionRequest {
            service: request.service.clone(),
            account: request.account.as_ref().map(|account| account.name.clone()),
            priority: request.priority(),
            objective: request.route.objective,
            arrived: request.arrived,
            deadline: request.deadline,
            draw: xxh3_64(request.arrival.id.as_bytes()),
        };
        let by_tokens = request.account.as_ref().is_some_and(|account| account.by_tokens);
        let demands = &self.scarcity.demands[usize::from(by_tokens)];
        let limit = self.scarcity.control.limit(now, &admission, demands);
        let has_free_slots = self.has_free_slots(now, records);
        Some(PlacementLimit { request: admission, limit, has_free_slots, refused_at: None })
    }

    /// Chooses the target of a request among candidates, a few random ones if it has a limit.
    ///
    /// # Errors
    ///
    /// Returns the refusal if the request isn't admitted at the chosen target.
    pub(super) fn choose_admitted(
        &mut self,
        now: ClockTime,
        request: &ForwardRequest,
        candidates: &[TargetCandidate],
        demand: Option<&PromptDemand<'_>>,
        admission: Option<&mut PlacementLimit>,
    ) -> std::result::Result<TargetChoice, ForwardRefusal> {
        let no_target = || ForwardRefusal::new(RefusalReason::NoTarget);
        let Some(admission) = admission else {
            let max_wait = max_wait_ms(now, request);
            let choice = self.choose_among(now, request, candidates, demand, max_wait);
            let choice = choice.ok_or_else(no_target)?;
            check_wait(choice.wait_ms, max_wait)?;
            return Ok(choice);
        };
        let responsive = self.responsive_candidates(now, candidates);
        let drawn = self.draw_candidates(now, candidates, responsive);
        let few: Vec<_> = drawn.iter().map(|index| candidates[*index].clone()).collect();
        let max_wait = admission.limit.first_ms;
        let choice = self.choose_among(now, request, &few, demand, max_wait);
        let choice = choice.ok_or_else(no_target)?;
        let idle = TargetCandidate { work: WorkSum::default(), ..few[choice.index].clone() };
        let alone = self.choose_among(now, request, &[idle], demand, max_wait);
        let alone_ms = alone.map_or(choice.wait_ms, |alone| alone.wait_ms);
        let estimate = TargetEstimate { first_ms: choice.wait_ms, alone_ms };
        if admission.has_free_slots || admission.limit.admits(&estimate) {
            return Ok(TargetChoice { index: drawn[choice.index], ..choice });
        }
        admission.refused_at = Some(estimate);
        Err(ForwardRefusal::new(RefusalReason::Overloaded))
    }

    /// Records whether a request with a limit is placed, and returns the refusal with the time to return otherwise.
    ///
    /// # Errors
    ///
    /// Returns the refusal if the request isn't placed.
    pub(super) fn settle_admission(
        &mut self,
        now: ClockTime,
        request: &ForwardRequest,
        admission: Option<PlacementLimit>,
        plan: std::result::Result<SendPlan, ForwardRefusal>,
    ) -> std::result::Result<SendPlan, ForwardRefusal> {
        let Some(admission) = admission else { return plan };
        let control = &mut self.scarcity.control;
        let PlacementLimit { request: admitted, limit, refused_at, .. } = &admission;
        if plan.is_ok() {
            control.record_placed(now, &admitted.service, admitted.priority);
            return plan;
        }
        let overloaded =
            plan.as_ref().is_err_and(|refusal| refusal.reason == RefusalReason::Overloaded);
        let Some(estimate) = refused_at.filter(|_| overloaded) else { return plan };
        let over_ms = estimate.backlog_ms() - limit.backlog_ms(&estimate);
        let retry_after = control.refuse(now, admitted, over_ms, &mut self.random);
        let detail = format!(
            "request={} service={} priority={} wait_estimate_ms={:.0} backlog_ms={:.0} backlog_limit_ms={:.0} urgent_limit_ms={:.0} \
             account_factor={:.2} returned={} retry_after_ms={}",
            request.arrival.id,
            admitted.service,
            admitted.priority,
            estimate.first_ms,
            estimate.backlog_ms(),
            limit.backlog_ms(&estimate),
            limit.urgent_ms,
            limit.account_factor,
            limit.is_return,
            retry_after.as_ms(),
        );
        self.notices.push(ForwardAction::Notice("admission_refused", detail));
        Err(ForwardRefusal::after(RefusalReason::Overloaded, retry_after))
    }

    fn choose_among(
        &mut self,
        now: ClockTime,
        request: &ForwardRequest,
        candidates: &[TargetCandidate],
        demand: Option<&PromptDemand<'_>>,
        max_wait: f64,
    ) -> Option<TargetChoice> {
        let rules = self.rules.as_ref().filter(|_| demand.is_some());
        let gap = rules.and_then(|rules| rules.strictest_gap(&request.service));
        let learned = learned_cost(&self.cost, now, request, gap);
        let (settings, learned) = (&self.settings.choice, learned.as_ref());
        choose_candidate(settings, candidates, demand, learned, max_wait, &mut self.random)
    }

    // Returns the positions of the candidates that don't look stuck, or of all if there are none.
    fn responsive_candidates(&self, now: ClockTime, candidates: &[TargetCandidate]) -> Vec<usize> {
        let (work, request) = (TargetWork::default(), RequestSize::default());
        let is_silent = |candidate: &TargetCandidate| {
            self.cost.estimate(now, &candidate.name, &work, &request).silent_ms > 0.0
        };
        let all = 0..candidates.len();
        let responsive: Vec<usize> =
            all.clone().filter(|index| !is_silent(&candidates[*index])).collect();
        if responsive.is_empty() { all.collect() } else { responsive }
    }

    // Returns the positions of a few random ones of `eligible` candidates: of those that have part of the prompt cached, and
    // of the others, with the preferred target if the prompt is cached nowhere. They are of this router's zone as often as its
    // targets can serve the requests of its routers, as routers of one zone know each other's work best.
    fn draw_candidates(
        &mut self,
        now: ClockTime,
        candidates: &[TargetCandidate],
        eligible: Vec<usize>,
    ) -> Vec<usize> {
        let own_part = self.own_zone_part(now, candidates);
        let farthest =
            if self.random.chance(own_part) { ZoneDistance::Zone } else { ZoneDistance::Region };
        let is_near = |index: &usize| candidates[*index].distance <= farthest;
        let mut near: Vec<usize> = eligible.iter().copied().filter(is_near).collect();
        if near.is_empty() {
            near = eligible;
        }
        let (mut cached, mut others): (Vec<usize>, Vec<usize>) =
            near.into_iter().partition(|index| candidates[*index].cached_tokens > 0);
        let affinity = others.iter().copied().find(|index| candidates[*index].is_affinity_target);
        let is_new =
            cached.is_empty() && others.iter().any(|index| !candidates[*index].is_affinity_target);
        draw(&mut cached, CANDIDATES, &mut self.random);
        draw(&mut others, CANDIDATES, &mut self.random);
        let affinity = affinity.filter(|index| is_new && !others.contains(index));
        cached.into_iter().chain(others).chain(affinity).collect()
    }

    // Returns the part of this zone's requests that its targets can serve if routers and targets are alike.
    fn own_zone_part(&self, now: ClockTime, candidates: &[TargetCandidate]) -> f64 {
        let place = &self.settings.place;
        let (mut own, mut region) = (1.0, 1.0);
        for peer in self.peers.iter().filter(|peer| peer.is_reachable(now)) {
            let distance = self.distance(&place.zone, &peer.place.zone);
            own += f64::from(u8::from(distance == ZoneDistance::Zone));
            region += f64::from(u8::from(distance <= ZoneDistance::Region));
        }
        let count = |farthest| {
            candidates.iter().filter(|candidate| candidate.distance <= farthest).count() as f64
        };
        let targets = count(ZoneDistance::Zone) / count(ZoneDistance::Region).max(1.0);
        (targets * region / own).min(1.0)
    }

    // Returns whether less than half of the targets' slots are in use and nothing is known to wait there.
    fn has_free_slots(&self, now: ClockTime, records: &[Arc<TargetRecord>]) -> bool {
        let (mut used, mut slots) = (0, 0);
        for record in records {
            let work = self.loads.work(now, &record.name);
            if work.requests > u64::from(record.slots.max(1))
                || self.loads.reported_waiting(now, &record.name) > 0
            {
                return false;
            }
            used += work.requests;
            slots += u64::from(record.slots.max(1));
        }
        used * 2 < slots
    }

    fn sum_demands(&mut self, now: ClockTime) {
        if self.scarcity.summed_at.is_some_and(|at| now.since(at) < DEMAND_LIFETIME) {
            return;
        }
        self.scarcity.summed_at = Some(now);
        let mut demands = [Vec::new(), Vec::new()];
        for rule in self.rules.iter().flat_map(|rules| &rules.accounts) {
            let per_second = self.allowance.asked_rate(now, &rule.name);
            if per_second > 0.0 {
                let demand = AccountDemand { account: rule.name.clone(), per_second };
                demands[usize::from(rule.by_tokens)].push(demand);
            }
        }
        self.scarcity.demands = demands;
    }
}

// Reduces a list to random entries of it.
fn draw(list: &mut Vec<usize>, count: usize, random: &mut SeededRandom) {
    for index in 0..count.min(list.len()) {
        let other = index + random.below((list.len() - index) as u64) as usize;
        list.swap(index, other);
    }
    list.truncate(count);
}
