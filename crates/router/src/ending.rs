//! Ends requests. All requests end here, which ensures that every component releases their state.

use godwitroad_base::RequestId;
use godwitroad_idempotency::{ClaimEvent, ClaimOutcome};
use godwitroad_lifecycle::LifeStage;
use godwitroad_limits::{RateEvent, SpendEvent};

use crate::{
    CallerError, CallerReply, RouterAction, RouterState, RunOutcome,
    claim::ClaimedAnswer,
    fleet::FleetEvent,
    placement::AttemptEnd,
    request::{CallerState, RequestEntry},
    state::EventContext,
};

/// The way in which a request ends.
#[derive(Clone, Debug)]
pub(crate) enum RequestEnd {
    /// The answer is complete.
    Answered,
    /// The caller receives an error.
    Failed(CallerError),
    /// The caller disconnected, and the request does not continue without it.
    Abandoned,
}

impl RouterState {
    /// Ends a request: releases its queue entry and target, settles its rate and claim, and replies to the caller.
    pub(crate) fn end_request(
        &mut self,
        context: &mut EventContext<'_>,
        id: RequestId,
        end: RequestEnd,
    ) {
        let Some(entry) = self.requests.get(id) else { return };
        let used = entry.used_tokens();
        self.remove_from_queue(id, used);
        let Some(mut entry) = self.requests.remove(id) else { return };
        if matches!(end, RequestEnd::Answered) {
            let repeat_key = entry.facts.repeat_key;
            if entry.log.tokens() > 0 {
                self.record_sound_answer(context.now, &entry.facts.chain, repeat_key);
            } else {
                self.repeats.record_sound(context.now, repeat_key.as_slice());
            }
        }
        self.release_target(context, id, &mut entry, &end);
        self.settle_rate(context, id, &entry, used);
        self.finish_claim(context, id, &entry, &end);
        if entry.caller == CallerState::Connected {
            match end {
                RequestEnd::Answered => context.reply(id, CallerReply::End),
                RequestEnd::Failed(error) => context.reply_error(id, error),
                RequestEnd::Abandoned => {}
            }
        }
    }

    /// Ends a request with an error.
    pub(crate) fn fail_request(
        &mut self,
        context: &mut EventContext<'_>,
        id: RequestId,
        error: CallerError,
    ) {
        self.end_request(context, id, RequestEnd::Failed(error));
    }

    fn remove_from_queue(&mut self, id: RequestId, used: u64) {
        let Some(entry) = self.requests.get(id) else { return };
        self.pending_lookups.remove(&id.serial);
        if entry.dequeued.is_some() {
            self.finish_dequeued(id, used);
        } else if let Some(queue) = self.queues.get_mut(&entry.facts.route.service) {
            queue.cancel(id);
        }
    }

    fn release_target(
        &mut self,
        context: &mut EventContext<'_>,
        id: RequestId,
        entry: &mut RequestEntry,
        end: &RequestEnd,
    ) {
        let Some(placed) = entry.placed.take() else { return };
        let attempt_end = match end {
            RequestEnd::Answered => AttemptEnd::Answered,
            RequestEnd::Failed(_) | RequestEnd::Abandoned => {
                context.actions.push(RouterAction::Cancel { id, attempt: entry.attempts() });
                AttemptEnd::Cancelled
            }
        };
        self.placement.record_attempt_end(context.now, id, &placed, attempt_end);
    }

    fn settle_rate(
        &mut self,
        context: &mut EventContext<'_>,
        id: RequestId,
        entry: &RequestEntry,
        used: u64,
    ) {
        if entry.facts.account.is_none() {
            return;
        }
        let ticket = id.serial;
        let event = match entry.stage {
            Some(LifeStage::Received(_)) => RateEvent::Spend(SpendEvent::Cancel { ticket }),
            _ => RateEvent::Spend(SpendEvent::Settle { ticket, used }),
        };
        self.handle_fleet_event(context, FleetEvent::Rates(event));
    }

    fn finish_claim(
        &mut self,
        context: &mut EventContext<'_>,
        id: RequestId,
        entry: &RequestEntry,
        end: &RequestEnd,
    ) {
        // A pending claim is finished in `run_claimed` once it has been decided.
        let awaits_claim =
            matches!(entry.stage, Some(LifeStage::Received(_) | LifeStage::Admitted(_)));
        let Some(claim) = entry.claim.as_ref().filter(|_| !awaits_claim) else { return };
        let end = match end {
            RequestEnd::Answered => {
                ClaimedAnswer::encode(claim).map_or(ClaimOutcome::Unknown, ClaimOutcome::Answered)
            }
            RequestEnd::Failed(error) if error.outcome == RunOutcome::NotRun => {
                ClaimOutcome::NotRun
            }
            RequestEnd::Abandoned if entry.stage.as_ref().is_some_and(LifeStage::has_not_run) => {
                ClaimOutcome::NotRun
            }
            RequestEnd::Failed(_) | RequestEnd::Abandoned => ClaimOutcome::Unknown,
        };
        self.handle_fleet_event(
            context,
            FleetEvent::Claims(ClaimEvent::Finish { id, outcome: end }),
        );
    }
}

impl EventContext<'_> {
    pub(crate) fn reply(&mut self, id: RequestId, reply: CallerReply) {
        self.actions.push(RouterAction::Reply { id, reply });
    }

    pub(crate) fn reply_error(&mut self, id: RequestId, error: CallerError) {
        self.reply(id, CallerReply::Failed(error));
    }
}
