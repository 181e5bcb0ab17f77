//! What an attempt's reports lead to.

use godwitroad_base::RequestId;
use godwitroad_life::{FailureStep, LifeStage, NotRunProof};
use godwitroad_once::RunEnd;
use godwitroad_stream::{TokenBatch, TokenOutcome};

use crate::{
    AttemptReport, CallerError, CallerReply, ErrorKind, RouterAction, RouterState,
    request::CallerState, state::EventContext,
};

/// The attempts after which an idempotent request is given up.
const MAX_ATTEMPTS: u32 = 4;

impl RouterState {
    pub(crate) fn attempt_report(
        &mut self,
        context: &mut EventContext<'_>,
        id: RequestId,
        attempt: u32,
        report: AttemptReport,
    ) {
        let current = self
            .requests
            .get(id)
            .is_some_and(|entry| entry.attempts() == attempt && entry.is_running());
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
            AttemptReport::Failed { sent, refused } => {
                self.failed(context, id, NotRunProof::of_failure(sent, refused));
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
        match entry.log.accept(batch) {
            TokenOutcome::Accepted(event) => {
                if entry.caller == CallerState::Connected {
                    entry.log.wait(event.data.len() as u64);
                    let paused = entry.log.pause_change();
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

    fn data(&mut self, context: &mut EventContext<'_>, id: RequestId, bytes: std::sync::Arc<[u8]>) {
        let Some(entry) = self.requests.get_mut(id) else { return };
        entry.keep_answer(&bytes);
        if entry.caller == CallerState::Connected {
            entry.log.wait(bytes.len() as u64);
            let paused = entry.log.pause_change();
            let attempt = entry.attempts();
            context.reply(id, CallerReply::Data(bytes));
            context.pause(id, attempt, paused);
        }
    }

    fn ended(&mut self, context: &mut EventContext<'_>, id: RequestId, attempt: u32) {
        let Some(entry) = self.requests.get_mut(id) else { return };
        if !entry.log.end(attempt) {
            return;
        }
        if let Some(target) = &entry.target {
            self.targets.ended(target, false);
        }
        if entry.caller == CallerState::Connected {
            context.reply(id, CallerReply::End);
        }
        if let Some(entry) = self.requests.remove(id) {
            self.record_answer(context, id, entry);
        }
    }

    fn failed(
        &mut self,
        context: &mut EventContext<'_>,
        id: RequestId,
        proof: Option<NotRunProof>,
    ) {
        let Some(entry) = self.requests.get_mut(id) else { return };
        if let Some(target) = &entry.target {
            self.targets.ended(target, true);
        }
        let Some(stage) = entry.stage.take() else { return };
        let step = match stage.fail(proof) {
            Ok(step) => step,
            Err(stage) => {
                entry.stage = Some(stage);
                return;
            }
        };
        match step {
            FailureStep::Again(life) if life.attempts() < MAX_ATTEMPTS => {
                entry.stage = Some(LifeStage::Queued(life));
            }
            FailureStep::Again(life) => {
                let unrun = !life.may_have_run();
                life.refuse();
                self.give_up(context, id, unrun);
            }
            FailureStep::Unknown => self.give_up(context, id, false),
        }
    }

    fn give_up(&mut self, context: &mut EventContext<'_>, id: RequestId, unrun: bool) {
        let Some(entry) = self.requests.remove(id) else { return };
        self.record_end(context, id, &entry, if unrun { RunEnd::NotRun } else { RunEnd::Unknown });
        let kind = ErrorKind::TargetFailed;
        let error = if unrun { CallerError::not_run(kind) } else { CallerError::unknown(kind) };
        if entry.caller == CallerState::Connected {
            context.fail(id, error);
        }
    }
}

impl EventContext<'_> {
    pub(crate) fn pause(&mut self, id: RequestId, attempt: u32, paused: Option<bool>) {
        if let Some(paused) = paused {
            self.actions.push(RouterAction::Pause { id, attempt, paused });
        }
    }
}
