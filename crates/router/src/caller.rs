//! Handles callers that disconnect, resume a stream, read slowly, or whose key is withdrawn.

use godwitroad_base::RequestId;
use godwitroad_config::RepeatRule;
use godwitroad_stream::EventId;

use crate::{
    CallerError, CallerReply, ErrorKind, RequestArrival, RouterAction, RouterState,
    ending::RequestEnd, request::CallerState, state::EventContext,
};

impl RouterState {
    pub(crate) fn handle_disconnect(&mut self, context: &mut EventContext<'_>, id: RequestId) {
        let Some(entry) = self.requests.get_mut(id) else { return };
        if entry.caller != CallerState::Connected {
            return;
        }
        entry.caller = CallerState::Disconnected(context.now);
        // The caller of a stream may resume it, and a run-once request must run to completion.
        let may_end = !entry.facts.is_streaming && entry.facts.repeat() == RepeatRule::Repeatable;
        if entry.is_waiting() || may_end {
            self.end_request(context, id, RequestEnd::Abandoned);
        }
    }

    pub(crate) fn handle_drained_bytes(
        &mut self,
        context: &mut EventContext<'_>,
        id: RequestId,
        bytes: u64,
    ) {
        let Some(entry) = self.requests.get_mut(id) else { return };
        entry.log.remove_pending(bytes);
        let paused = entry.log.take_pause_change();
        let attempt = entry.attempts();
        context.pause(id, attempt, paused);
        if paused == Some(false) {
            self.mark_heard(context.now, id);
        }
    }

    /// Resumes a stream for a caller that reconnects with the id of the last event it received.
    pub(crate) fn resume_stream(
        &mut self,
        context: &mut EventContext<'_>,
        arrival: &RequestArrival,
        event: &str,
    ) {
        let connection = arrival.connection;
        match self.find_stream(arrival, event) {
            Ok(event) => {
                let id = event.request;
                context.actions.push(RouterAction::Accepted { connection, id });
                if let Err(error) = self.replay_events(context, event) {
                    context.reply_error(id, error);
                }
            }
            // The error gets a new id, as the stream may belong to another caller.
            Err(error) => {
                let id = self.requests.next_id();
                context.actions.push(RouterAction::Accepted { connection, id });
                context.reply_error(id, error);
            }
        }
    }

    fn find_stream(&self, arrival: &RequestArrival, event: &str) -> Result<EventId, CallerError> {
        let invalid = |_| CallerError::not_run(ErrorKind::RequestInvalid);
        let event: EventId = event.parse().map_err(invalid)?;
        let entry = self.requests.get(event.request);
        // Callers with another key must not learn whether the stream exists.
        let is_owner = entry.is_some_and(|entry| entry.facts.key == arrival.key);
        is_owner.then_some(event).ok_or_else(|| CallerError::unknown(ErrorKind::StreamLost))
    }

    fn replay_events(
        &mut self,
        context: &mut EventContext<'_>,
        event: EventId,
    ) -> Result<(), CallerError> {
        let lost = || CallerError::unknown(ErrorKind::StreamLost);
        let entry = self.requests.get_mut(event.request).ok_or_else(lost)?;
        entry.log.clear_pending();
        let missed: Vec<_> = entry.log.replay(event.number).map_err(|_| lost())?.cloned().collect();
        entry.caller = CallerState::Connected;
        for event_data in missed {
            entry.log.add_pending(event_data.data.len() as u64);
            let reply = CallerReply::Event { number: event_data.number, data: event_data.data };
            context.reply(event.request, reply);
        }
        let attempt = entry.attempts();
        let paused = entry.log.take_pause_change();
        context.pause(event.request, attempt, paused);
        if paused == Some(false) {
            self.mark_heard(context.now, event.request);
        }
        Ok(())
    }

    /// Ends the repeatable requests of callers that have not reconnected within the grace period.
    pub(crate) fn cancel_abandoned_requests(&mut self, context: &mut EventContext<'_>) {
        let grace = self.settings.reconnect_grace;
        let abandoned = self.requests.select(|entry| {
            let has_expired = matches!(entry.caller, CallerState::Disconnected(since) if since + grace <= context.now);
            has_expired && entry.facts.repeat() == RepeatRule::Repeatable
        });
        for id in abandoned {
            self.end_request(context, id, RequestEnd::Abandoned);
        }
    }

    /// Ends the requests whose key is no longer valid for their account and route.
    pub(crate) fn end_withdrawn_requests(&mut self, context: &mut EventContext<'_>) {
        let view = &self.view;
        let withdrawn = self.requests.select(|entry| {
            let account = view.authorize(&entry.facts.route, entry.facts.key.as_ref());
            entry.facts.account.is_some() && account != Ok(entry.facts.account.clone())
        });
        for id in withdrawn {
            self.end_withdrawn_request(context, id);
        }
    }

    fn end_withdrawn_request(&mut self, context: &mut EventContext<'_>, id: RequestId) {
        let Some(entry) = self.requests.get_mut(id) else { return };
        if entry.is_waiting() {
            return self.refuse_waiting(context, id, ErrorKind::KeyWithdrawn, None);
        }
        let error = CallerError::unknown(ErrorKind::KeyWithdrawn);
        if entry.facts.repeat() == RepeatRule::Repeatable {
            return self.fail_request(context, id, error);
        }
        // A run-once request continues, so that its outcome can be recorded.
        if entry.caller == CallerState::Connected {
            context.reply_error(id, error);
        }
        entry.caller = CallerState::Done;
    }
}
