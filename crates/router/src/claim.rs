//! Idempotency claims on the way of a run-once request.
//!
//! A request with an idempotency key runs only after its claim is certain, and its answer is recorded with the
//! claim, so that the caller's retry gets the same answer from any router.

use std::sync::Arc;

use godwitroad_base::RequestId;
use godwitroad_life::LifeStage;
use godwitroad_once::{ClaimVerdict, OnceEvent, RequestDigest, RunEnd};

use crate::{
    CallerError, CallerReply, ErrorKind, RouterState, RunOutcome,
    fleet::FleetEvent,
    request::{CallerState, RequestEntry},
    state::EventContext,
};

/// The bytes of an answer beyond which it isn't kept for a retry.
const KEPT_ANSWER_BYTES: usize = 1 << 20;

/// The answer of a claimed request, as it is recorded: a line with the status and the content type, then the body.
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
        self.is_too_large |= self.body.len() + bytes.len() > KEPT_ANSWER_BYTES;
        if !self.is_too_large {
            self.body.extend_from_slice(bytes);
        }
    }

    /// Returns the recorded form, or `None` when the answer can't be given again.
    pub(crate) fn encode(&self) -> Option<Arc<[u8]>> {
        let (status, content_type) = self.header.as_ref().filter(|_| !self.is_too_large)?;
        let mut bytes = format!("{status} {content_type}\n").into_bytes();
        bytes.extend_from_slice(&self.body);
        Some(bytes.into())
    }

    /// Returns the status, the content type and the body of a recorded answer.
    pub(crate) fn decode(bytes: &[u8]) -> Option<(u16, String, Arc<[u8]>)> {
        let end = bytes.iter().position(|byte| *byte == b'\n')?;
        let line = std::str::from_utf8(&bytes[..end]).ok()?;
        let (status, content_type) = line.split_once(' ')?;
        Some((status.parse().ok()?, content_type.to_owned(), bytes[end + 1..].into()))
    }
}

impl RouterState {
    /// Asks for the claim of a request that has just been admitted.
    pub(crate) fn claim(
        &mut self,
        context: &mut EventContext<'_>,
        id: RequestId,
        key: Arc<str>,
    ) -> Result<(), CallerError> {
        let Some(entry) = self.requests.get(id) else { return Ok(()) };
        let account = entry.facts.account.clone();
        // Without an account two callers could use the same key; without a store no claim is certain.
        let (Some(account), true) = (account, self.fleet.is_some()) else {
            self.requests.remove(id);
            return Err(CallerError::not_run(ErrorKind::ClaimUnavailable));
        };
        let mut text = entry.facts.path.clone().into_bytes();
        text.push(b'\n');
        text.extend_from_slice(&entry.facts.prompt);
        let digest = RequestDigest::of(&text);
        self.run_fleet(context, FleetEvent::Claims(OnceEvent::Claim { id, account, key, digest }));
        Ok(())
    }

    pub(crate) fn take_verdict(
        &mut self,
        context: &mut EventContext<'_>,
        id: RequestId,
        verdict: ClaimVerdict,
    ) {
        if verdict == ClaimVerdict::Run {
            return self.run_claimed(context, id);
        }
        let Some(entry) = self.requests.remove(id) else { return };
        if entry.caller != CallerState::Connected {
            return;
        }
        match verdict {
            ClaimVerdict::Replay { body: Some(body), .. } => context.replay_answer(id, &body),
            ClaimVerdict::Replay { body: None, .. } => context.fail(id, ran(ErrorKind::AnswerLost)),
            ClaimVerdict::Pending => {
                context.fail(id, CallerError::unknown(ErrorKind::ClaimPending))
            }
            ClaimVerdict::Unknown => {
                context.fail(id, CallerError::unknown(ErrorKind::ClaimUnknown))
            }
            ClaimVerdict::Mismatch => {
                context.fail(id, CallerError::not_run(ErrorKind::ClaimMismatch));
            }
            ClaimVerdict::NotRun { retry_after } => {
                let error = CallerError::not_run(ErrorKind::ClaimUnavailable);
                context.fail(id, error.retry_after(retry_after));
            }
            ClaimVerdict::Run => {}
        }
    }

    fn run_claimed(&mut self, context: &mut EventContext<'_>, id: RequestId) {
        let Some(entry) = self.requests.get_mut(id) else {
            // The request was refused while the claim was made, and it will not run.
            let event = OnceEvent::Finish { id, end: RunEnd::NotRun };
            return self.run_fleet(context, FleetEvent::Claims(event));
        };
        match entry.stage.take() {
            Some(LifeStage::Admitted(life)) => {
                entry.stage = Some(LifeStage::Queued(life.enqueue(context.now)));
            }
            stage => entry.stage = stage,
        }
    }

    /// Records how a claimed request ended.
    pub(crate) fn record_end(
        &mut self,
        context: &mut EventContext<'_>,
        id: RequestId,
        entry: &RequestEntry,
        end: RunEnd,
    ) {
        // A request that still waits for its claim is told of the end when the claim is certain.
        let waits = matches!(entry.stage, Some(LifeStage::Admitted(_)));
        if entry.claim.is_some() && !waits {
            let event = OnceEvent::Finish { id, end };
            self.run_fleet(context, FleetEvent::Claims(event));
        }
    }

    /// Records the whole answer of a claimed request.
    pub(crate) fn record_answer(
        &mut self,
        context: &mut EventContext<'_>,
        id: RequestId,
        entry: RequestEntry,
    ) {
        let answer = entry.claim.as_ref().and_then(ClaimedAnswer::encode);
        let end = answer.map_or(RunEnd::Unknown, RunEnd::Answered);
        self.record_end(context, id, &entry, end);
    }
}

impl EventContext<'_> {
    fn replay_answer(&mut self, id: RequestId, recorded: &[u8]) {
        let Some((status, content_type, body)) = ClaimedAnswer::decode(recorded) else {
            return self.fail(id, ran(ErrorKind::AnswerLost));
        };
        self.reply(id, CallerReply::Header { status, content_type });
        self.reply(id, CallerReply::Data(body));
        self.reply(id, CallerReply::End);
    }
}

fn ran(kind: ErrorKind) -> CallerError {
    CallerError { outcome: RunOutcome::Ran, ..CallerError::not_run(kind) }
}
