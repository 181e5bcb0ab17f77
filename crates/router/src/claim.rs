//! Idempotency claims of run-once requests.
//!
//! A request with an idempotency key runs only after its claim has been granted. Its answer is recorded with the
//! claim, so that a retry of the caller gets the same answer from any router.

use std::sync::Arc;

use godwitroad_base::RequestId;
use godwitroad_idempotency::{ClaimDecision, ClaimEvent, ClaimOutcome, RequestDigest};
use godwitroad_lifecycle::LifeStage;

use crate::{
    CallerError, CallerReply, ErrorKind, RouterState, RunOutcome, ending::RequestEnd,
    fleet::FleetEvent, request::CallerState, state::EventContext,
};

/// The maximum size of an answer's body that is recorded for retries.
const MAX_RECORDED_ANSWER_BYTES: usize = 1 << 20;

/// The answer to a claimed request. The recorded form is a line with status and content type, followed by the body.
#[derive(Debug, Default)]
pub(crate) struct ClaimedAnswer {
    header: Option<(u16, String)>,
    body: Vec<u8>,
    is_too_large: bool,
}

impl ClaimedAnswer {
    pub(crate) fn start(&mut self, status: u16, content_type: &str) {
        self.header = Some((status, content_type.to_owned()));
        self.body.clear();
    }

    pub(crate) fn extend(&mut self, bytes: &[u8]) {
        self.is_too_large |= self.body.len() + bytes.len() > MAX_RECORDED_ANSWER_BYTES;
        if !self.is_too_large {
            self.body.extend_from_slice(bytes);
        }
    }

    /// Returns the recorded form, or `None` if the answer has no head or is too large.
    pub(crate) fn encode(&self) -> Option<Arc<[u8]>> {
        let (status, content_type) = self.header.as_ref().filter(|_| !self.is_too_large)?;
        let mut bytes = format!("{status} {content_type}\n").into_bytes();
        bytes.extend_from_slice(&self.body);
        Some(bytes.into())
    }

    /// Returns the status, the content type and the body of a recorded answer, or `None` if it is malformed.
    pub(crate) fn decode(bytes: &[u8]) -> Option<(u16, String, Arc<[u8]>)> {
        let line_end = bytes.iter().position(|byte| *byte == b'\n')?;
        let line = std::str::from_utf8(&bytes[..line_end]).ok()?;
        let (status, content_type) = line.split_once(' ')?;
        Some((status.parse().ok()?, content_type.to_owned(), bytes[line_end + 1..].into()))
    }
}

impl RouterState {
    /// Requests the claim for a newly admitted request.
    pub(crate) fn request_claim(
        &mut self,
        context: &mut EventContext<'_>,
        id: RequestId,
        key: Arc<str>,
    ) {
        let Some(entry) = self.requests.get(id) else { return };
        let account = entry.facts.account.clone();
        // Without an account, callers could collide on a key; without a store, no claim can be granted.
        let (Some(account), true) = (account, self.fleet.is_some()) else {
            let error = CallerError::not_run(ErrorKind::ClaimUnavailable);
            return self.fail_request(context, id, error);
        };
        let mut digest_input = entry.facts.path.clone().into_bytes();
        digest_input.push(b'\n');
        digest_input.extend_from_slice(&entry.facts.prompt);
        let digest = RequestDigest::of(&digest_input);
        self.handle_fleet_event(
            context,
            FleetEvent::Claims(ClaimEvent::Claim { id, account, key, digest }),
        );
    }

    pub(crate) fn handle_claim_decision(
        &mut self,
        context: &mut EventContext<'_>,
        id: RequestId,
        decision: ClaimDecision,
    ) {
        match decision {
            ClaimDecision::Run => self.run_claimed(context, id),
            ClaimDecision::Replay { body, .. } => self.replay_answer(context, id, body),
            ClaimDecision::Pending => {
                self.fail_request(context, id, CallerError::unknown(ErrorKind::ClaimPending));
            }
            ClaimDecision::Unknown => {
                self.fail_request(context, id, CallerError::unknown(ErrorKind::ClaimUnknown));
            }
            ClaimDecision::Mismatch => {
                self.fail_request(context, id, CallerError::not_run(ErrorKind::ClaimMismatch));
            }
            ClaimDecision::NotRun { retry_after } => {
                let error = CallerError::not_run(ErrorKind::ClaimUnavailable);
                self.fail_request(context, id, error.retry_after(retry_after));
            }
        }
    }

    fn replay_answer(
        &mut self,
        context: &mut EventContext<'_>,
        id: RequestId,
        body: Option<Arc<[u8]>>,
    ) {
        let recorded = body.as_deref().and_then(ClaimedAnswer::decode);
        let Some((status, content_type, body)) = recorded else {
            let error = CallerError::not_run(ErrorKind::AnswerLost);
            let error = CallerError { outcome: RunOutcome::Ran, ..error };
            return self.fail_request(context, id, error);
        };
        if self.requests.get(id).is_some_and(|entry| entry.caller == CallerState::Connected) {
            context.reply(id, CallerReply::Header { status, content_type });
            context.reply(id, CallerReply::Data(body));
        }
        self.end_request(context, id, RequestEnd::Answered);
    }

    fn run_claimed(&mut self, context: &mut EventContext<'_>, id: RequestId) {
        let Some(entry) = self.requests.get(id) else {
            // The request ended while the claim was pending and will not run.
            let event = ClaimEvent::Finish { id, outcome: ClaimOutcome::NotRun };
            return self.handle_fleet_event(context, FleetEvent::Claims(event));
        };
        if matches!(entry.stage, Some(LifeStage::Admitted(_))) {
            self.enqueue(context, id);
        }
    }
}
