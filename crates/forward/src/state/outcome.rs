//! Handles the outcome of an attempt: health and load records, retries and the final refusal.

use godwitroad_base::{ClockSpan, ClockTime, ModelName, TargetName};

use super::{
    ForwardAction, ForwardState,
    placement::{MIN_TIME_LEFT, NO_TARGET_RETRY_AFTER},
};
use crate::{
    AttemptOutcome, ForwardRefusal, ForwardRequest, LoadReport, NextStep, RefusalReason, SendPlan,
    WorkSum,
};

/// Limit of targets that are tried for one request if the next one isn't expected to take it.
pub(super) const MAX_TARGETS_TRIED: usize = 4;

impl ForwardState {
    /// Returns how long to wait for the head of an answer before the attempt is ended.
    pub fn answer_timeout(
        &self,
        now: ClockTime,
        request: &ForwardRequest,
        plan: &SendPlan,
    ) -> ClockSpan {
        let left = request.time_left(now);
        plan.begin_by.map_or(left, |by| left.min(by.since(now)))
    }

    /// Records that a target has begun to answer, which means that it has processed the prompt.
    pub fn record_answer_start(
        &mut self,
        now: ClockTime,
        plan: &mut SendPlan,
        load: Option<LoadReport>,
    ) {
        let prompt_read =
            WorkSum { pending_prefill: plan.work.pending_prefill, ..WorkSum::default() };
        plan.work.pending_prefill = 0;
        self.loads.remove_work(&plan.target, prompt_read);
        if let Some(load) = load {
            self.loads.report(now, &plan.target, load);
        }
        self.record_answer_cost(now, plan, load);
        self.health.record_success(now, &plan.target);
        self.record_acceptance(now, plan);
    }

    /// Records that an answer went on past its beginning, which shows that its prompt doesn't crash targets.
    pub fn record_answer_progress(&mut self, now: ClockTime, request: &ForwardRequest) {
        self.record_sound_answer(now, request);
    }

    /// Records the version of the weights that an answer states.
    pub fn update_version(&mut self, target: &TargetName, model: &ModelName, version: u64) {
        self.roster.update_version(target, model, version);
    }

    /// Records the outcome of an attempt and returns what to do next.
    pub fn finish_attempt(
        &mut self,
        now: ClockTime,
        request: &mut ForwardRequest,
        plan: &SendPlan,
        outcome: AttemptOutcome,
    ) -> NextStep {
        self.loads.remove_work(&plan.target, plan.work);
        self.record_cost_end(now, plan, outcome);
        self.settle_trial(request, plan, outcome);
        self.record_rollout_end(now, request, plan, outcome);
        match outcome {
            AttemptOutcome::Complete { status } => self.finish_complete(now, request, status),
            AttemptOutcome::Rejected { .. } => self.finish_rejected(now, request, plan),
            AttemptOutcome::NotSent => {
                request.attempts -= 1;
                self.record_target_failure(now, plan, outcome);
                // The request didn't reach the target, so another attempt doesn't count as a retry.
                if request.tried.len() < MAX_TARGETS_TRIED
                    && request.time_left(now) >= MIN_TIME_LEFT
                {
                    return NextStep::Again;
                }
                self.refund_test(request);
                self.end_with_retry_after(request, RefusalReason::NoTarget)
            }
            AttemptOutcome::Lost { .. } | AttemptOutcome::Failed => {
                request.may_have_run = true;
                if let AttemptOutcome::Lost { phase } = outcome {
                    self.record_lost_answer(now, request, plan, phase);
                }
                self.record_target_failure(now, plan, outcome);
                if request.is_repeatable() && self.may_retry(now, request) {
                    return NextStep::Again;
                }
                NextStep::End(ForwardRefusal::new(RefusalReason::TargetFailed))
            }
            AttemptOutcome::Outdated => {
                request.may_have_run = true;
                if request.is_repeatable() && self.may_retry(now, request) {
                    return NextStep::Again;
                }
                NextStep::End(ForwardRefusal::new(RefusalReason::TargetTimeout))
            }
            AttemptOutcome::Silent => {
                request.may_have_run = true;
                self.record_target_failure(now, plan, outcome);
                NextStep::Again
            }
            AttemptOutcome::Relocated => {
                request.may_have_run = true;
                NextStep::Again
            }
            AttemptOutcome::CallerLeft | AttemptOutcome::Superseded | AttemptOutcome::TimeOver => {
                request.may_have_run = true;
                NextStep::End(ForwardRefusal::new(RefusalReason::TargetTimeout))
            }
        }
    }

    fn finish_complete(
        &mut self,
        now: ClockTime,
        request: &mut ForwardRequest,
        status: u16,
    ) -> NextStep {
        request.may_have_run = true;
        if (200..300).contains(&status) {
            self.record_sound_answer(now, request);
        } else {
            self.record_survived_request(now, request);
        }
        if status >= 500 && request.is_repeatable() && self.may_retry(now, request) {
            return NextStep::Again;
        }
        NextStep::Deliver
    }

    fn record_target_failure(&mut self, now: ClockTime, plan: &SendPlan, outcome: AttemptOutcome) {
        if outcome == AttemptOutcome::NotSent {
            self.record_brittle_loss(now, &plan.target);
        }
        if self.health.record_failure(now, &plan.target) {
            let detail = format!("target={} outcome={outcome:?}", plan.target);
            self.notices.push(ForwardAction::Notice("target_on_probation", detail));
        }
    }

    fn may_retry(&mut self, now: ClockTime, request: &ForwardRequest) -> bool {
        if request.attempts >= request.route.max_attempts || request.time_left(now) < MIN_TIME_LEFT
        {
            return false;
        }
        self.retry_budget(&request.service).take()
    }

    fn end_with_retry_after(
        &mut self,
        request: &ForwardRequest,
        reason: RefusalReason,
    ) -> NextStep {
        let refusal = ForwardRefusal::after(reason, NO_TARGET_RETRY_AFTER);
        NextStep::End(self.settle_refusal(request, refusal))
    }

    pub(super) fn end_without_retry_after(
        &mut self,
        request: &ForwardRequest,
        reason: RefusalReason,
    ) -> ForwardRefusal {
        self.settle_refusal(request, ForwardRefusal::new(reason))
    }

    // Returns the final refusal: a failure if an earlier attempt may have run the request, as the caller must not be
    // told "not run" then; otherwise `refusal`, with the account's units refunded.
    pub(super) fn settle_refusal(
        &mut self,
        request: &ForwardRequest,
        refusal: ForwardRefusal,
    ) -> ForwardRefusal {
        if request.may_have_run {
            let reason = match refusal.reason {
                RefusalReason::TimeOver => RefusalReason::TargetTimeout,
                _ => RefusalReason::TargetFailed,
            };
            return ForwardRefusal::new(reason);
        }
        if let Some(account) = &request.account {
            self.allowance.refund(&account.name, request.units);
        }
        refusal
    }
}
