//! The planned stop of a router.
//!
//! The router first refuses new requests, then ends those that it has, then leaves the roster so that its keys move
//! at once to their successors, and only then lets the process exit.

use godwitroad_base::ClockTime;
use godwitroad_member::MemberEvent;
use godwitroad_prefix::ShardEvent;

use crate::{RouterAction, RouterState, fleet::FleetEvent, state::EventContext};

/// How far a planned stop is.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum StopPhase {
    Running,
    Draining,
    Leaving { since: ClockTime },
    Left,
    Exited,
}

/// What has been handed over to the successors.
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
        // Without the store the leave can't be written, and the process must not wait for an outage to end.
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

    /// Hands over this router's part of the index; the rates are handed over at the same time.
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
