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
pub(crate) struct HandOver {
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
            self.leave(context);
        }
        let leave_wait = self.settings.leave_wait;
        // Without the store the leave can't be written, and the process must not wait for an outage to end.
        let is_over = match self.stop {
            StopPhase::Leaving { since } => context.now.since(since) >= leave_wait,
            StopPhase::Left => true,
            StopPhase::Running | StopPhase::Draining | StopPhase::Exited => false,
        };
        if is_over {
            self.stop = StopPhase::Exited;
            context.actions.push(RouterAction::Exit);
        }
    }

    /// Hands over this router's part of the index; the rates are handed over at the same time.
    pub(crate) fn hand_over_index(&mut self, context: &mut EventContext<'_>) {
        let actions = self.placement.part(context.now, ShardEvent::Stop);
        self.take_part(context, actions);
    }

    pub(crate) fn part_handed_over(&mut self, context: &mut EventContext<'_>) {
        self.hand_over.index = true;
        self.finish_hand_over(context);
    }

    pub(crate) fn rates_handed_over(&mut self, context: &mut EventContext<'_>) {
        self.hand_over.rates = true;
        self.finish_hand_over(context);
    }

    fn finish_hand_over(&mut self, context: &mut EventContext<'_>) {
        if self.hand_over.index && self.hand_over.rates {
            self.run_fleet(context, FleetEvent::Member(MemberEvent::HandoffComplete));
        }
    }

    fn leave(&mut self, context: &mut EventContext<'_>) {
        if self.fleet.is_none() {
            self.stop = StopPhase::Left;
            return;
        }
        self.stop = StopPhase::Leaving { since: context.now };
        self.run_fleet(context, FleetEvent::Member(MemberEvent::Leave));
    }
}
