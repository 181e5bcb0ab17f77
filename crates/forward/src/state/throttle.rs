//! Follows the limits that targets name; see [`godwitroad_throttle`].

use godwitroad_base::{ClockTime, TargetName};
use godwitroad_throttle::{LimitChange, LimitNotice, RequestRate};

use super::{ForwardAction, ForwardState};
use crate::{SendPlan, tag_of};

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
        let event = match change {
            LimitChange::Same if notice == LimitNotice::Unreadable => "target_limit_unreadable",
            LimitChange::Same => return,
            LimitChange::Named(_) => "target_limit_named",
            LimitChange::Ended => "target_limit_ended",
        };
        let detail = format!(
            "target={target} per_second={:?} before={:?} request_age_ms={}",
            self.target_limit(target).map(RequestRate::per_second),
            before.map(RequestRate::per_second),
            now.since(sent_at).as_ms(),
        );
        self.notices.push(ForwardAction::Notice(event, detail));
    }

    /// Returns the rate that a target names as its limit.
    pub fn target_limit(&self, target: &TargetName) -> Option<RequestRate> {
        self.throttle.limit(tag_of(target.as_str()))
    }
}
