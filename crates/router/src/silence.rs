//! Ends requests whose target has been silent until their deadline.
//!
//! A sound target may pause, so silence alone never ends an attempt: it goes on until the deadline of the request, and
//! never for less than the route's deadline after the target was last heard. A target that froze with its connection
//! open would otherwise hold the caller, the slot and a planned stop forever.

use godwitroad_base::{ClockTime, RequestId};
use godwitroad_config::RepeatRule;

use crate::{
    CallerError, ErrorKind, RouterAction, RouterState, StateChange,
    request::{CallerState, RequestEntry},
    state::EventContext,
};

impl RequestEntry {
    /// Returns when the request ends if its target stays silent, or `None` if no silence is counted.
    fn silence_end(&self) -> Option<ClockTime> {
        let placed = self.placed.as_ref()?;
        // Nothing is read from the target of a slow caller, so it can't be heard.
        let limit = self.facts.deadline.max(placed.heard_at + self.facts.route.deadline_ms);
        (!self.log.is_paused()).then_some(limit)
    }
}

impl RouterState {
    /// Records that the target of a request was heard, or that it is being read from again.
    pub(crate) fn mark_heard(&mut self, now: ClockTime, id: RequestId) {
        let placed = self.requests.get_mut(id).and_then(|entry| entry.placed.as_mut());
        if let Some(placed) = placed {
            placed.heard_at = now;
        }
    }

    /// Ends the requests whose target has been silent until their deadline.
    pub(crate) fn end_silent_requests(&mut self, context: &mut EventContext<'_>) {
        let now = context.now;
        let silent =
            self.requests.select(|entry| entry.silence_end().is_some_and(|limit| limit <= now));
        for id in silent {
            self.end_silent_request(context, id);
        }
    }

    fn end_silent_request(&mut self, context: &mut EventContext<'_>, id: RequestId) {
        let Some(entry) = self.requests.get_mut(id) else { return };
        let Some(placed) = &entry.placed else { return };
        let (target, silence) = (placed.target.clone(), context.now.since(placed.heard_at));
        context.report_change(StateChange::TargetSilent { request: id, target, silence });
        let error = CallerError {
            message: "the target sent nothing until the deadline".to_owned(),
            ..CallerError::unknown(ErrorKind::TargetFailed)
        };
        let is_repeatable = entry.facts.repeat() == RepeatRule::Repeatable;
        if !is_repeatable && entry.caller != CallerState::Done {
            // The work goes on for as long again, so that its outcome can be recorded.
            if entry.caller == CallerState::Connected {
                context.reply_error(id, error);
            }
            entry.caller = CallerState::Done;
            return self.mark_heard(context.now, id);
        }
        if is_repeatable {
            context.actions.push(RouterAction::Cancel { id, attempt: entry.attempts() });
        }
        self.record_failure(context, id);
        self.fail_request(context, id, error);
    }
}
