//! Feeds the cost model with what this router observes and what its peers report.

use godwitroad_base::{ClockSpan, ClockTime, TargetName};
use godwitroad_cost::{CostModel, EstimateError, PaceEntry};

use super::{ForwardAction, ForwardState, gossip_schedule::UrgentScope};
use crate::{AttemptOutcome, ForwardRequest, LearnedCost, LoadReport, PaceNotice, SendPlan};

impl ForwardState {
    /// Records in the cost model that a request is sent as planned.
    pub(super) fn record_sent_cost(&mut self, now: ClockTime, plan: &mut SendPlan) {
        if let Some(sent) = &mut plan.sent {
            *sent = self.cost.record_waiting(now, &plan.target, sent.estimate);
        }
    }

    /// Records the beginning of an answer, with the load that it reports.
    pub(super) fn record_answer_cost(
        &mut self,
        now: ClockTime,
        plan: &SendPlan,
        load: Option<LoadReport>,
    ) {
        match load.map_or(PaceNotice::Absent, |load| load.pace) {
            PaceNotice::Absent => {}
            PaceNotice::Unreadable => {
                let detail = format!("target={}", plan.target);
                self.notices.push(ForwardAction::Notice("target_pace_unreadable", detail));
            }
            PaceNotice::Percent(percent) => {
                self.activate_cost(&plan.target, "own");
                self.cost.record_report(now, &plan.target, f64::from(percent) / 100.0);
            }
        }
        if let Some(sent) = &plan.sent {
            self.cost.record_first_event(now, &plan.target, sent);
        }
    }

    /// Records the end of an attempt. A response that has begun has been recorded before.
    pub(super) fn record_cost_end(
        &mut self,
        now: ClockTime,
        plan: &SendPlan,
        outcome: AttemptOutcome,
    ) {
        if let Some(sent) = &plan.sent {
            let has_responded = matches!(
                outcome,
                AttemptOutcome::Rejected { .. } | AttemptOutcome::Complete { .. }
            );
            self.cost.record_end(now, &plan.target, sent, has_responded);
        }
    }

    /// Tells the peers of targets that have begun to look stuck.
    pub(super) fn announce_silence(&mut self, now: ClockTime, actions: &mut Vec<ForwardAction>) {
        for tag in self.cost.newly_silent(now) {
            if let Some(record) = self.roster.find_by_tag(tag) {
                let detail = format!("target={}", record.name);
                actions.push(ForwardAction::Notice("target_silent", detail));
            }
            self.request_gossip(UrgentScope::Fleet, actions);
        }
    }

    /// Applies a peer's figures of the targets that are registered.
    pub(super) fn receive_paces(&mut self, now: ClockTime, entries: &[PaceEntry]) {
        for entry in entries {
            let Some(record) = self.roster.find_by_tag(entry.tag) else { continue };
            let name = record.name.clone();
            self.activate_cost(&name, "peer");
            self.cost.receive(now, std::slice::from_ref(entry));
        }
    }

    // Activates the cost model for the service of a target.
    fn activate_cost(&mut self, target: &TargetName, source: &str) {
        let Some(record) = self.roster.get(target) else { return };
        if self.cost.activate(&record.service, source == "own") {
            let detail = format!("service={} target={target} source={source}", record.service);
            self.notices.push(ForwardAction::Notice("cost_model_active", detail));
        }
    }

    /// Records the length of a complete stream in events, if the cost model is active for the service.
    pub fn record_stream_length(&mut self, request: &ForwardRequest, events: u64) {
        let rules = self.rules.as_ref().filter(|_| self.cost.is_learned(&request.service));
        let service = rules.and_then(|rules| rules.services.get(&request.service));
        let engine = service.and_then(|service| service.engine.as_ref());
        if let (Some(engine), Some((_, declared))) = (engine, request.arrival.tokens) {
            let tokens = events.saturating_mul(engine.stride.into());
            let account = request.account.as_ref().map(|account| &account.name);
            self.cost.record_length(&request.route.name, account, declared, tokens);
        }
    }

    /// Returns the expected number of tokens of an answer: the declared one unless the cost model is active.
    pub(super) fn expected_output(&self, request: &ForwardRequest, declared: u64) -> u64 {
        if !self.cost.is_learned(&request.service) {
            return declared;
        }
        let account = request.account.as_ref().map(|account| &account.name);
        self.cost.expected_length(&request.route.name, account, declared)
    }

    /// Returns how well the latest estimates of the cost model agreed with the actual times.
    pub fn cost_error(&self) -> EstimateError {
        self.cost.error_summary()
    }
}

/// Returns what is learned of the cost of a request, if the model is active for its service.
pub(super) fn learned_cost<'a>(
    model: &'a CostModel,
    now: ClockTime,
    request: &ForwardRequest,
    gap: Option<ClockSpan>,
) -> Option<LearnedCost<'a>> {
    let is_streaming = request.route.streaming;
    let gap_ms = gap.map(|gap| gap.as_ms() as f64);
    let places_by_estimate = model.places_by_estimate(&request.service);
    model.is_learned(&request.service).then_some(LearnedCost {
        model,
        now,
        is_streaming,
        gap_ms,
        places_by_estimate,
    })
}
