//! The planned stop of a router.
//!
//! The router refuses new requests and waits for the running ones to end. It then leaves the roster and hands off its
//! index shard and its rate limit state, so that the successors take over its keys immediately. The process exits last.

use godwitroad_base::ClockTime;
use godwitroad_member::MemberEvent;
use godwitroad_prefix::ShardEvent;

use crate::{RouterAction, RouterState, fleet::FleetEvent, state::EventContext};

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
