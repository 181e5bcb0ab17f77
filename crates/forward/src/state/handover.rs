//! Hands a request over from its target to another one.
//!
//! A sound target may be silent for a while, so silence alone ends no attempt. The request is offered to another target
//! while the attempt goes on, and the attempt ends only once the other target has accepted the request.

use godwitroad_base::{ClockSpan, ClockTime};

use super::{
    ForwardState,
    placement::{MIN_TIME_LEFT, version_of},
};
use crate::{ForwardRequest, SendPlan};

/// The multiple of a route's latency objective after which a repeatable request without an answer is offered to another
/// target. It is long enough for a target that is only busy to answer.
const ANSWER_SILENCE_FACTOR: u64 = 3;

/// The time without an event after which a resumable stream is offered to another target; callers close their
/// connection after two seconds.
const STREAM_SILENCE_LIMIT: ClockSpan = ClockSpan::from_ms(1_200);

/// The shortest such time, for routes with a very short objective.
const MIN_ANSWER_SILENCE: ClockSpan = ClockSpan::from_ms(50);

impl ForwardState {
    /// Returns how long a target may be silent before the request is offered to another one: without an answer, or
    /// without an event of a stream that `is_answered`. Returns `None` if the request can't be handed over.
    pub fn silence_limit(&self, request: &ForwardRequest, is_answered: bool) -> Option<ClockSpan> {
        if !can_be_handed_over(request) {
            return None;
        }
        let objective = request.route.objective.as_ms();
        let unanswered = ClockSpan::from_ms(objective * ANSWER_SILENCE_FACTOR);
        Some(if is_answered { STREAM_SILENCE_LIMIT } else { unanswered.max(MIN_ANSWER_SILENCE) })
    }

    /// Returns the copy of a request that may be offered to another target while its own is silent, or `None` if there is
    /// no other usable target, no time or no retry left. `begun_version` are the weights of the stream if it has begun.
    ///
    /// The result counts as a retry.
    pub fn begin_handover(
        &mut self,
        now: ClockTime,
        request: &ForwardRequest,
        begun_version: Option<u64>,
    ) -> Option<ForwardRequest> {
        if !can_be_handed_over(request) || request.time_left(now) < MIN_TIME_LEFT {
            return None;
        }
        let begun_version = begun_version.or(request.begun_version);
        let successor = ForwardRequest { may_have_run: true, begun_version, ..request.clone() };
        let has_other = !self.usable_targets(now, &successor).is_empty();
        (has_other && self.retry_budget(&request.service).take()).then_some(successor)
    }

    /// Returns whether to offer a stream that has begun to another target, because its own is about to load weights. The
    /// target loads only once all its streams have ended, and takes no other requests until then.
    ///
    /// The other target must serve the same weights, so that one answer doesn't come from two versions. If the result is
    /// true, the offer counts as a retry.
    pub fn relocate(
        &mut self,
        now: ClockTime,
        request: &mut ForwardRequest,
        plan: &SendPlan,
    ) -> bool {
        if !request.route.resumable
            || request.attempts >= request.route.max_attempts
            || request.time_left(now) < MIN_TIME_LEFT
            || !self.is_changing(&plan.target)
        {
            return false;
        }
        let Some(rules) = self.rules.clone() else { return false };
        if self.authorize(now, &rules, &request.arrival).is_err() {
            return false;
        }
        request.begun_version = plan.version;
        let targets = self.usable_targets(now, request);
        let Ok(targets) = self.targets_within_limits(now, request, &targets) else { return false };
        let has_other = targets.iter().any(|record| version_of(request, record) == plan.version);
        has_other && self.retry_budget(&request.service).take_spare()
    }
}

fn can_be_handed_over(request: &ForwardRequest) -> bool {
    request.is_repeatable() && request.attempts < request.route.max_attempts
}
