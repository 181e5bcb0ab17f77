//! The planned stop of a router.
//!
//! The router first admits only what it can finish before the process has to end, and refuses new requests once the load
//! balancer avoids it. It waits for the running ones to end. It then leaves the roster and hands off its index shard and
//! its rate limit state, so that the successors take over its keys immediately. The process exits last.

use godwitroad_base::{ClockSpan, ClockTime};
use godwitroad_lifecycle::LifeStage;
use godwitroad_member::MemberEvent;
use godwitroad_prefix::ShardEvent;

use crate::{
    CallerError, ErrorKind, RouterAction, RouterState, fleet::FleetEvent, state::EventContext,
};

/// The longest time before the end of the process that is reserved for the last answers.
const MAX_ANSWER_MARGIN: ClockSpan = ClockSpan::from_ms(500);

/// A short stop reserves its time limit divided by this for the last answers.
const ANSWER_MARGIN_DIVISOR: u64 = 8;

/// The phase of a planned stop.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum StopPhase {
    Running,
    Draining,
    Leaving { since: ClockTime },
    Left,
    Exited,
}

/// Which state has been transferred to the successors.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct HandoffProgress {
    pub(crate) index: bool,
    pub(crate) rates: bool,
}

impl RouterState {
    /// Records that the process ends after `limit`.
    pub(crate) fn prepare_stop(&mut self, now: ClockTime, limit: ClockSpan) {
        let share = ClockSpan::from_ms(limit.as_ms() / ANSWER_MARGIN_DIVISOR);
        self.answer_by = Some(now + limit.saturating_sub(share.min(MAX_ANSWER_MARGIN)));
    }

    /// Returns whether a request with this deadline can be finished before the process ends.
    pub(crate) fn ends_in_time(&self, deadline: ClockTime) -> bool {
        self.answer_by.is_none_or(|answer_by| deadline <= answer_by)
    }

    /// Ends all open requests when the process is about to end.
    pub(crate) fn answer_open_requests(&mut self, context: &mut EventContext<'_>) {
        if self.answer_by.is_none_or(|answer_by| context.now < answer_by) {
            return;
        }
        for id in self.requests.select(|_| true) {
            let stage = self.requests.get(id).and_then(|entry| entry.stage.as_ref());
            let error = if stage.is_some_and(LifeStage::has_not_run) {
                CallerError::not_run(ErrorKind::NotReady)
            } else {
                CallerError {
                    message: "the router stopped before the answer was complete".to_owned(),
                    ..CallerError::unknown(ErrorKind::TargetFailed)
                }
            };
            self.fail_request(context, id, error);
        }
    }

    pub(crate) fn begin_stop(&mut self) {
        if self.stop == StopPhase::Running {
            self.stop = StopPhase::Draining;
        }
    }

    pub(crate) fn advance_stop(&mut self, context: &mut EventContext<'_>) {
        if self.stop == StopPhase::Draining && self.requests.is_empty() {
            self.leave_roster(context);
        }
        let leave_timeout = self.settings.leave_timeout;
        // Leaving the roster requires the store; the time limit prevents an outage from blocking the exit.
        let is_complete = match self.stop {
            StopPhase::Leaving { since } => context.now.since(since) >= leave_timeout,
            StopPhase::Left => true,
            StopPhase::Running | StopPhase::Draining | StopPhase::Exited => false,
        };
        if is_complete {
            self.stop = StopPhase::Exited;
            context.actions.push(RouterAction::Exit);
        }
    }

    /// Starts the handoff of this router's index shard; the handoff of the rates runs at the same time.
    pub(crate) fn start_index_handoff(&mut self, context: &mut EventContext<'_>) {
        let actions = self.placement.handle_shard_event(context.now, ShardEvent::Stop);
        self.handle_shard_actions(context, actions);
    }

    pub(crate) fn complete_index_handoff(&mut self, context: &mut EventContext<'_>) {
        self.handoff.index = true;
        self.complete_handoff(context);
    }

    pub(crate) fn complete_rates_handoff(&mut self, context: &mut EventContext<'_>) {
        self.handoff.rates = true;
        self.complete_handoff(context);
    }

    fn complete_handoff(&mut self, context: &mut EventContext<'_>) {
        if self.handoff.index && self.handoff.rates {
            self.handle_fleet_event(context, FleetEvent::Member(MemberEvent::HandoffComplete));
        }
    }

    fn leave_roster(&mut self, context: &mut EventContext<'_>) {
        if self.fleet.is_none() {
            self.stop = StopPhase::Left;
            return;
        }
        self.stop = StopPhase::Leaving { since: context.now };
        self.handle_fleet_event(context, FleetEvent::Member(MemberEvent::Leave));
    }
}
