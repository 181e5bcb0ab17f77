//! What follows from the outcome of an attempt.

use godwitroad_base::{ClockSpan, ClockTime, ModelName, TargetName};

use super::{
    ForwardAction, ForwardState,
    placement::{MIN_TIME_LEFT, NO_TARGET_RETRY_AFTER},
};
use crate::{
    AttemptOutcome, ForwardRefusal, ForwardRequest, LoadReport, NextStep, RefusalReason, SendPlan,
    WorkSum,
};

/// The most targets that one request is offered to, rejections and failed connections included.
const MAX_TARGETS_TRIED: usize = 4;

/// The multiple of a route's objective after which a request that may run again is given up at a silent target. Long
/// enough that a target that is only busy has answered.
const ANSWER_TIMEOUT_FACTOR: u64 = 3;

/// The pause in a stream after which a stream that may be continued is given up at a silent target; callers leave
/// after two seconds.
const STREAM_IDLE_TIMEOUT: ClockSpan = ClockSpan::from_ms(1_200);

impl ForwardState {
    /// Returns how long to wait for the head of an answer before the request is tried elsewhere.
    pub fn answer_timeout(&self, now: ClockTime, request: &ForwardRequest) -> ClockSpan {
        let left = request.time_left(now);
        if !request.is_repeatable() || request.attempts >= request.route.max_attempts {
            return left;
        }
        left.min(ClockSpan::from_ms(request.route.objective.as_ms() * ANSWER_TIMEOUT_FACTOR))
    }

    /// Returns how long to wait for the next event of a stream before it is continued elsewhere. A stream that can't
    /// be continued waits until its time is over: silence alone is no reason to end it.
    pub fn stream_idle_timeout(&self, request: &ForwardRequest) -> ClockSpan {
        let can_continue = request.route.resumable && request.attempts < request.route.max_attempts;
        if can_continue { STREAM_IDLE_TIMEOUT } else { request.route.timeout }
    }

    /// Notes that a target has begun to answer: it has read the prompt.
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
        self.health.record_success(now, &plan.target);
    }

    /// Notes the version of the weights that an answer was made on.
    pub fn update_version(&mut self, target: &TargetName, model: &ModelName, version: u64) {
        self.roster.update_version(target, model, version);
    }

    /// Takes the outcome of an attempt and returns what follows.
    pub fn finish_attempt(
        &mut self,
        now: ClockTime,
        request: &mut ForwardRequest,
        plan: &SendPlan,
        outcome: AttemptOutcome,
    ) -> NextStep {
        self.loads.remove_work(&plan.target, plan.work);
        match outcome {
            AttemptOutcome::Complete { status } => {
                request.may_have_run = true;
                if status >= 500 && request.is_repeatable() && self.may_retry(now, request) {
                    return NextStep::Again;
                }
                NextStep::Deliver
            }
            AttemptOutcome::Rejected { .. } => {
                request.attempts -= 1;
                let can_try_another = request.tried.len() < MAX_TARGETS_TRIED;
                if can_try_another && self.may_retry(now, request) {
                    return NextStep::Again;
                }
                self.end_with_retry_after(request, RefusalReason::TargetsRefused)
            }
            AttemptOutcome::NotSent => {
                request.attempts -= 1;
                self.record_target_failure(now, plan, outcome);
                // Nothing arrived, so that another try takes nothing from the fleet's retries.
                if request.tried.len() < MAX_TARGETS_TRIED
                    && request.time_left(now) >= MIN_TIME_LEFT
                {
                    return NextStep::Again;
                }
                self.end_with_retry_after(request, RefusalReason::NoTarget)
            }
            AttemptOutcome::Failed => {
                request.may_have_run = true;
                self.record_target_failure(now, plan, outcome);
                if request.is_repeatable() && self.may_retry(now, request) {
                    return NextStep::Again;
                }
                NextStep::End(ForwardRefusal::new(RefusalReason::TargetFailed))
            }
            AttemptOutcome::CallerLeft | AttemptOutcome::TimeOver => {
                request.may_have_run = true;
                NextStep::End(ForwardRefusal::new(RefusalReason::TargetTimeout))
            }
        }
    }

    fn record_target_failure(&mut self, now: ClockTime, plan: &SendPlan, outcome: AttemptOutcome) {
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

    // A request that an earlier attempt may have run can't be called "not run".
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
