//! What an attempt's reports lead to.

use std::sync::Arc;

use godwitroad_base::RequestId;
use godwitroad_lifecycle::{FailureStep, LifeStage, NotRunProof};
use godwitroad_stream::{TokenBatch, TokenOutcome};

use crate::{
    AttemptReport, CallerError, CallerReply, ErrorKind, RouterAction, RouterState, StateChange,
    ending::RequestEnd, placement::AttemptEnd, request::CallerState, state::EventContext,
};

/// The attempts after which a request is given up.
const MAX_ATTEMPTS: u32 = 4;

impl RouterState {
    pub(crate) fn attempt_report(
        &mut self,
        context: &mut EventContext<'_>,
        id: RequestId,
        attempt: u32,
        report: AttemptReport,
    ) {
        let entry = self.requests.get(id);
        let current = entry.is_some_and(|entry| entry.attempts() == attempt && entry.is_running());
        // A report of an earlier attempt comes late: what it says must reach no caller.
        if !current {
            return;
        }
        match report {
            AttemptReport::Started { status, content_type } => {
                self.started(context, id, status, content_type);
            }
            AttemptReport::Tokens { first, count, data, text } => {
                self.tokens(context, id, TokenBatch { attempt, first, count, data, text });
            }
            AttemptReport::Data(bytes) => self.data(context, id, bytes),
            AttemptReport::Ended => self.ended(context, id, attempt),
            AttemptReport::Failed { sent, rejected } => {
                self.failed(context, id, NotRunProof::of_failure(sent, rejected));
            }
        }
    }

    fn started(
        &mut self,
        context: &mut EventContext<'_>,
        id: RequestId,
        status: u16,
        content_type: String,
    ) {
        let Some(entry) = self.requests.get_mut(id) else { return };
        if let Some(LifeStage::Offered(_)) = &entry.stage
            && let Some(LifeStage::Offered(offered)) = entry.stage.take()
        {
            entry.stage = Some(offered.start());
        }
        entry.keep_header(status, &content_type);
        // A resumed stream has its header already.
        if entry.log.tokens() == 0 && entry.caller == CallerState::Connected {
            context.reply(id, CallerReply::Header { status, content_type });
        }
    }

    fn tokens(&mut self, context: &mut EventContext<'_>, id: RequestId, batch: TokenBatch) {
        let Some(entry) = self.requests.get_mut(id) else { return };
        let attempt = batch.attempt;
        if let Some(placed) = &entry.placed {
            self.placement.note_answer(context.now, placed, batch.data.len());
        }
        match entry.log.accept(batch) {
            TokenOutcome::Accepted(event) => {
                if let Some(placed) = &mut entry.placed {
                    self.placement.first_token(context.now, placed);
                }
                if entry.caller == CallerState::Connected {
                    entry.log.add_pending(event.data.len() as u64);
                    let paused = entry.log.take_pause_change();
                    let reply = CallerReply::Event { number: event.number, data: event.data };
                    context.reply(id, reply);
                    context.pause(id, attempt, paused);
                }
            }
            TokenOutcome::Repeated | TokenOutcome::Stale => {}
            TokenOutcome::Gap => {
                context.actions.push(RouterAction::Cancel { id, attempt });
                self.failed(context, id, None);
            }
        }
    }

    fn data(&mut self, context: &mut EventContext<'_>, id: RequestId, bytes: Arc<[u8]>) {
        let Some(entry) = self.requests.get_mut(id) else { return };
        if let Some(placed) = &entry.placed {
            self.placement.note_answer(context.now, placed, bytes.len());
        }
        entry.keep_answer(&bytes);
        if entry.caller == CallerState::Connected {
            entry.log.add_pending(bytes.len() as u64);
            let paused = entry.log.take_pause_change();
            let attempt = entry.attempts();
            context.reply(id, CallerReply::Data(bytes));
            context.pause(id, attempt, paused);
        }
    }

    fn ended(&mut self, context: &mut EventContext<'_>, id: RequestId, attempt: u32) {
        let Some(entry) = self.requests.get_mut(id) else { return };
        let answers = matches!(
            entry.stage,
            Some(LifeStage::StreamingRepeatable(_) | LifeStage::StreamingOnce(_))
        );
        // An end without a beginning is no answer.
        if !answers {
            return self.failed(context, id, None);
        }
        if entry.log.end(attempt) {
            self.end(context, id, RequestEnd::Answered);
        }
    }

    fn failed(
        &mut self,
        context: &mut EventContext<'_>,
        id: RequestId,
        proof: Option<NotRunProof>,
    ) {
        self.note_failure(context, id);
        let Some(entry) = self.requests.get_mut(id) else { return };
        let Some(stage) = entry.stage.take() else { return };
        let step = match stage.fail(proof) {
            Ok(step) => step,
            Err(stage) => {
                entry.stage = Some(stage);
                return;
            }
        };
        let FailureStep::Again(life) = step else {
            return self.give_up(context, id, false);
        };
        let unrun = !life.may_have_run();
        let may_retry = life.attempts() < MAX_ATTEMPTS && self.placement.retry.take();
        entry.stage = Some(LifeStage::Queued(life));
        if !may_retry {
            return self.give_up(context, id, unrun);
        }
        // A broken stream has met its deadline with the first token.
        if entry.log.tokens() > 0 {
            entry.facts.deadline = context.now + entry.facts.route.deadline_ms;
        }
        self.finish_queued(id, 0);
        self.enqueue(context, id);
    }

    fn note_failure(&mut self, context: &mut EventContext<'_>, id: RequestId) {
        let Some(entry) = self.requests.get_mut(id) else { return };
        let Some(placed) = entry.placed.take() else { return };
        entry.tried.push(placed.target.clone());
        if self.placement.end(context.now, id, &placed, AttemptEnd::Failed) {
            let target = placed.target;
            context.notice(StateChange::TargetHealth { target, state: "probation" });
        }
    }

    fn give_up(&mut self, context: &mut EventContext<'_>, id: RequestId, unrun: bool) {
        let kind = ErrorKind::TargetFailed;
        self.fail(context, id, CallerError::of_attempts(kind, unrun));
    }
}

impl EventContext<'_> {
    pub(crate) fn pause(&mut self, id: RequestId, attempt: u32, paused: Option<bool>) {
        if let Some(paused) = paused {
            self.actions.push(RouterAction::Pause { id, attempt, paused });
        }
    }
}
