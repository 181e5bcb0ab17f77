//! Handles the reports of attempts: forwards the answer to the caller and retries failed attempts.

use std::sync::Arc;

use godwitroad_base::{ClockSpan, RequestId};
use godwitroad_lifecycle::{FailureStep, LifeStage, NotRunProof};
use godwitroad_prefix::TargetTag;
use godwitroad_stream::{TokenBatch, TokenOutcome};

use crate::{
    AttemptReport, CallerError, CallerReply, ErrorKind, RouterAction, RouterState, StateChange,
    ending::RequestEnd, placement::AttemptEnd, request::CallerState, state::EventContext,
};

/// The number of tokens with which an answer has gone on past its beginning.
pub(crate) const TOKENS_OF_BEGINNING: u64 = 2;

/// The status of an answer that is a stream of events.
const STREAM_STATUS: u16 = 200;

/// The maximum number of attempts for one request.
const MAX_ATTEMPTS: u32 = 4;

impl RouterState {
    pub(crate) fn handle_attempt_report(
        &mut self,
        context: &mut EventContext<'_>,
        id: RequestId,
        attempt: u32,
        report: AttemptReport,
    ) {
        let entry = self.requests.get(id);
        let is_current =
            entry.is_some_and(|entry| entry.attempts() == attempt && entry.is_running());
        // Reports of earlier attempts can arrive late and must not reach the caller.
        if !is_current {
            return;
        }
        self.mark_heard(context.now, id);
        match report {
            AttemptReport::Started { status, content_type } => {
                self.start_answer(context, id, status, content_type);
            }
            AttemptReport::Tokens { origin, first, count, data, text } => {
                let batch = TokenBatch { attempt, origin, first, count, data, text };
                self.accept_tokens(context, id, batch);
            }
            AttemptReport::Data(bytes) => self.accept_body_bytes(context, id, bytes),
            AttemptReport::Ended => self.end_answer(context, id, attempt),
            AttemptReport::Lost => {
                self.record_lost_request(context, id);
                self.fail_attempt(context, id, NotRunProof::from_failed_attempt(true, false));
            }
            AttemptReport::Deferred { rejected, wait } => {
                self.defer_target(context, id, wait);
                let proof = NotRunProof::from_failed_attempt(true, rejected);
                self.retry_attempt(context, id, proof);
            }
            AttemptReport::Failed { sent, rejected } => {
                self.fail_attempt(context, id, NotRunProof::from_failed_attempt(sent, rejected));
            }
        }
    }

    fn start_answer(
        &mut self,
        context: &mut EventContext<'_>,
        id: RequestId,
        status: u16,
        content_type: String,
    ) {
        let Some(entry) = self.requests.get_mut(id) else { return };
        // The body of another status is no continuation of the stream that the caller has begun to receive.
        if status != STREAM_STATUS && entry.log.origin().is_some() {
            context.actions.push(RouterAction::Cancel { id, attempt: entry.attempts() });
            self.record_failure(context, id);
            return self.retry_attempt(context, id, None);
        }
        if let Some(LifeStage::Offered(_)) = &entry.stage
            && let Some(LifeStage::Offered(offered)) = entry.stage.take()
        {
            entry.stage = Some(offered.start());
        }
        entry.record_answer_header(status, &content_type);
        // The caller of a resumed stream already has the response head.
        if entry.log.tokens() == 0 && entry.caller == CallerState::Connected {
            context.reply(id, CallerReply::Header { status, content_type });
        }
    }

    fn accept_tokens(&mut self, context: &mut EventContext<'_>, id: RequestId, batch: TokenBatch) {
        let Some(entry) = self.requests.get_mut(id) else { return };
        let attempt = batch.attempt;
        let tokens_before = entry.log.tokens();
        if let Some(placed) = &entry.placed {
            self.placement.record_answer_bytes(context.now, placed, batch.data.len());
            if placed.first_token_at.is_none() {
                let tag = TargetTag::of(placed.target.as_str());
                self.placement.record_build(context.now, tag, batch.origin.build.clone());
            }
        }
        match entry.log.accept(batch) {
            TokenOutcome::Accepted(event) => {
                if let Some(placed) = &mut entry.placed {
                    self.placement.record_first_token(context.now, placed);
                }
                let has_gone_on = tokens_before < TOKENS_OF_BEGINNING
                    && entry.log.tokens() >= TOKENS_OF_BEGINNING;
                let chain = has_gone_on.then(|| entry.facts.chain.clone());
                let repeat_key = entry.facts.repeat_key;
                if entry.caller == CallerState::Connected {
                    entry.log.add_pending(event.data.len() as u64);
                    let paused = entry.log.take_pause_change();
                    let reply = CallerReply::Event { number: event.number, data: event.data };
                    context.reply(id, reply);
                    context.pause(id, attempt, paused);
                }
                if let Some(chain) = chain {
                    self.record_sound_answer(context.now, &chain, repeat_key);
                }
            }
            TokenOutcome::Repeated | TokenOutcome::Stale => {}
            TokenOutcome::Foreign => self.drop_foreign_attempt(context, id),
            TokenOutcome::Gap => {
                context.actions.push(RouterAction::Cancel { id, attempt });
                self.fail_attempt(context, id, None);
            }
        }
    }

    fn accept_body_bytes(
        &mut self,
        context: &mut EventContext<'_>,
        id: RequestId,
        bytes: Arc<[u8]>,
    ) {
        let Some(entry) = self.requests.get_mut(id) else { return };
        if let Some(placed) = &entry.placed {
            self.placement.record_answer_bytes(context.now, placed, bytes.len());
        }
        entry.record_answer_body(&bytes);
        if entry.caller == CallerState::Connected {
            entry.log.add_pending(bytes.len() as u64);
            let paused = entry.log.take_pause_change();
            let attempt = entry.attempts();
            context.reply(id, CallerReply::Data(bytes));
            context.pause(id, attempt, paused);
        }
    }

    fn end_answer(&mut self, context: &mut EventContext<'_>, id: RequestId, attempt: u32) {
        let Some(entry) = self.requests.get_mut(id) else { return };
        let has_started = matches!(
            entry.stage,
            Some(LifeStage::StreamingRepeatable(_) | LifeStage::StreamingRunOnce(_))
        );
        // The attempt ended before the target sent a response head.
        if !has_started {
            return self.fail_attempt(context, id, None);
        }
        if entry.log.end(attempt) {
            self.end_request(context, id, RequestEnd::Answered);
        }
    }

    fn fail_attempt(
        &mut self,
        context: &mut EventContext<'_>,
        id: RequestId,
        proof: Option<NotRunProof>,
    ) {
        let placed = self.requests.get(id).and_then(|entry| entry.placed.as_ref());
        if let Some(target) = placed.map(|placed| placed.target.clone()).filter(|_| proof.is_none())
        {
            self.record_lost_answer(context, id, &target);
        }
        self.record_failure(context, id);
        self.retry_attempt(context, id, proof);
    }

    /// Attempts a request again after its attempt ended without a complete answer, or ends the request.
    pub(crate) fn retry_attempt(
        &mut self,
        context: &mut EventContext<'_>,
        id: RequestId,
        proof: Option<NotRunProof>,
    ) {
        let Some(entry) = self.requests.get_mut(id) else { return };
        let Some(stage) = entry.stage.take() else { return };
        let step = match stage.fail(proof) {
            Ok(step) => step,
            Err(stage) => {
                entry.stage = Some(stage);
                return;
            }
        };
        let FailureStep::Retry(life) = step else {
            return self.fail_after_attempts(context, id, false);
        };
        let has_not_run = !life.may_have_run();
        let has_attempts = life.attempts() < MAX_ATTEMPTS;
        entry.stage = Some(LifeStage::Queued(life));
        if self.end_orphaned_stream(context, id) {
            return;
        }
        if !has_attempts || !self.placement.retry.take() {
            return self.fail_after_attempts(context, id, has_not_run);
        }
        let Some(entry) = self.requests.get_mut(id) else { return };
        // The deadline limits the time to the first token. A stream that has sent tokens met it and gets a new one.
        if entry.log.tokens() > 0 {
            entry.facts.deadline = context.now + entry.facts.route.deadline_ms;
        }
        self.finish_dequeued(id, 0);
        self.enqueue(context, id);
    }

    /// Records that the running attempt of a request failed, which counts against its target.
    pub(crate) fn record_failure(&mut self, context: &mut EventContext<'_>, id: RequestId) {
        let Some(entry) = self.requests.get_mut(id) else { return };
        let Some(placed) = entry.placed.take() else { return };
        entry.failed_targets.push(placed.target.clone());
        if self.placement.record_attempt_end(context.now, id, &placed, AttemptEnd::Failed) {
            let target = placed.target;
            context.report_change(StateChange::TargetHealth { target, state: "probation" });
        }
    }

    /// Takes a request from a target that wants no other for a time.
    fn defer_target(&mut self, context: &mut EventContext<'_>, id: RequestId, wait: ClockSpan) {
        let Some(entry) = self.requests.get_mut(id) else { return };
        let Some(placed) = entry.placed.take() else { return };
        let target = placed.target.clone();
        entry.failed_targets.push(target.clone());
        self.placement.record_attempt_end(context.now, id, &placed, AttemptEnd::Cancelled);
        if let Some(wait) = self.placement.defer_target(context.now, &target, wait) {
            context.report_change(StateChange::TargetDeferred { target, request: id, wait });
        }
    }

    fn fail_after_attempts(
        &mut self,
        context: &mut EventContext<'_>,
        id: RequestId,
        has_not_run: bool,
    ) {
        let kind = ErrorKind::TargetFailed;
        self.fail_request(context, id, CallerError::after_attempts(kind, has_not_run));
    }
}

impl EventContext<'_> {
    pub(crate) fn pause(&mut self, id: RequestId, attempt: u32, paused: Option<bool>) {
        if let Some(paused) = paused {
            self.actions.push(RouterAction::Pause { id, attempt, paused });
        }
    }
}
