//! One attempt to have a target run a request.

use std::{cell::Cell, future::Future, rc::Rc};

use bytes::Bytes;
use godwitroad_base::ClockTime;
use godwitroad_forward::{
    AnswerPhase, AttemptOutcome, CostEstimate, ForwardRequest, NextStep, RequestDigest, SendPlan,
};
use http::{
    HeaderMap, Method, Request, StatusCode, Uri,
    header::{CONTENT_ENCODING, CONTENT_TYPE},
};
use tokio::time::Instant;

use super::events::check_first_event;
use crate::{
    caller_budget::HeldPart,
    client::{Result, SendError, TargetExchange},
    core::SharedCore,
    platform::{AnswerMetadata, PlatformAdapter},
    relay::{self, TargetDialer},
};

/// A caller's request as it is forwarded, without hop-by-hop headers.
#[derive(Debug)]
pub(super) struct CallerPayload {
    pub(super) method: Method,
    pub(super) uri: Uri,
    pub(super) headers: HeaderMap,
    pub(super) body: Bytes,
    /// Whether the caller can read an answer in chunks.
    pub(super) reads_chunks: bool,
    /// What the body takes of the budget for callers.
    pub(super) held: Option<HeldPart>,
}

/// The head of a valid answer, with its body unread.
#[derive(Debug)]
pub(super) struct OpenedAnswer {
    pub(super) exchange: TargetExchange,
    metadata: AnswerMetadata,
}

impl CallerPayload {
    /// Returns the digest of the request, which was sent to `host`.
    pub(super) fn digest(&self, host: &str) -> RequestDigest {
        RequestDigest::new(self.method.as_str(), host, &self.uri.to_string(), &self.body)
    }
}

/// An attempt in progress. Dropping it before [`finish`](Self::finish) reports to the decision state that the caller
/// disconnected.
#[derive(Debug)]
pub(super) struct ActiveAttempt<P: PlatformAdapter> {
    core: SharedCore<P>,
    request: Option<ForwardRequest>,
    plan: SendPlan,
}

impl<P: PlatformAdapter> ActiveAttempt<P> {
    pub(super) fn new(
        core: SharedCore<P>,
        request: ForwardRequest,
        plan: SendPlan,
    ) -> ActiveAttempt<P> {
        ActiveAttempt { core, request: Some(request), plan }
    }

    /// Returns the request that this attempt belongs to.
    pub(super) fn request(&self) -> &ForwardRequest {
        self.request.as_ref().expect("the request is present until the attempt ends")
    }

    /// Returns the deadline of the request, over all its attempts.
    pub(super) fn deadline(&self) -> Instant {
        self.core.deadline(self.request().time_left(self.core.now()))
    }

    /// Waits for a step of the exchange with the target, until open requests must be answered at the latest.
    ///
    /// # Errors
    ///
    /// Returns the error of the step, or [`SendError::TimeOver`] if the answer is due.
    pub(super) async fn before_answer_due<T>(
        &self,
        step: impl Future<Output = Result<T>>,
    ) -> Result<T> {
        let mut answer_due = self.core.answer_due.subscribe();
        tokio::select! {
            biased;
            result = step => result,
            // The sender lives as long as the process.
            _ = answer_due.wait_for(|due| *due) => Err(SendError::TimeOver),
        }
    }

    /// Ends the attempt and returns the request with its next step.
    pub(super) fn finish(mut self, outcome: AttemptOutcome) -> (ForwardRequest, NextStep) {
        let mut request = self.request.take().expect("an attempt ends once");
        let step = self.core.finish_attempt(&mut request, &self.plan, outcome);
        (request, step)
    }

    /// Takes over the record of the targets to which a copy of the request was offered.
    pub(super) fn record_offers(&mut self, offered: Option<Box<ForwardRequest>>) {
        if let (Some(request), Some(offered)) = (&mut self.request, offered) {
            request.record_offers(*offered);
        }
    }

    /// Sends the request and returns the answer once the head of a valid one has arrived; the attempt that goes on with it
    /// must [`accept`](Self::accept) it. `resume` is the id of the last stream event that the caller has received.
    ///
    /// # Errors
    ///
    /// Returns the outcome with which to end the attempt.
    pub(super) async fn open(
        &self,
        payload: &CallerPayload,
        resume: Option<u64>,
    ) -> std::result::Result<OpenedAnswer, AttemptOutcome> {
        let core = self.core.clone();
        let now = core.now();
        let answer_timeout =
            core.read(|state| state.answer_timeout(now, self.request(), &self.plan));
        let deadline = self.deadline().min(core.deadline(answer_timeout));
        let request = self.build_request(payload, resume);
        let (address, fresh_connection) = (self.plan.address, self.plan.fresh_connection);
        let id = self.request().arrival.id.clone();
        let target = &self.plan.target;
        let started_ms = self.plan.started_ms;
        let dialer = TargetDialer { core: &core, name: target, started_ms, address, request: &id };
        let send =
            core.client.send_over(&dialer, address, request, Some(&id), fresh_connection, deadline);
        let sent = self.before_answer_due(send).await;
        let exchange = sent.map_err(|error| self.outcome(error, AnswerPhase::Waiting))?;
        if !exchange.is_relayed {
            if exchange.is_first {
                relay::record_direct(&core, target, address);
            } else if core.update(|state| state.record_direct_answer(core.now())) {
                core.send_gossip.notify_one();
            }
        }
        core.metrics.record("attempts.head_ms", core.now().since(now).as_ms());
        let metadata = core.platform.read_answer(exchange.status, &exchange.headers);
        self.record_demands(now, &metadata);
        self.record_leaving(&metadata, exchange.status);
        self.verify(&exchange, &metadata)?;
        Ok(OpenedAnswer { exchange, metadata })
    }

    /// Records what the head of an answer to this attempt says, and returns the exchange.
    pub(super) fn accept(&mut self, answer: OpenedAnswer) -> TargetExchange {
        let OpenedAnswer { exchange, metadata } = answer;
        let now = self.core.now();
        let core = self.core.clone();
        core.update(|state| state.record_answer_start(now, &mut self.plan, metadata.load));
        if let Some(sent) = &self.plan.sent {
            let actual = sent.elapsed(now).as_ms() as f64;
            let percent = actual / sent.estimate.first_ms.max(1.0) * 100.0;
            core.metrics.record("cost.first_ratio", percent as u64);
        }
        let model = self.request().arrival.model.clone();
        if let (Some(model), Some(version)) = (model, metadata.version) {
            core.update(|state| state.update_version(&self.plan.target, &model, version));
        }
        exchange
    }

    /// Like [`open`](Self::open), but returns only once the answer has come as far as its caller needs it: to the first event
    /// of a stream, or to the end of another answer.
    ///
    /// # Errors
    ///
    /// Returns the outcome with which to end the attempt.
    pub(super) async fn open_surely(
        &self,
        payload: &CallerPayload,
        resume: Option<u64>,
    ) -> std::result::Result<OpenedAnswer, AttemptOutcome> {
        let mut answer = self.open(payload, resume).await?;
        let is_streaming = self.request().route.streaming;
        let is_usable = if is_streaming {
            is_stream(&answer.exchange)
        } else {
            !answer.exchange.status.is_server_error()
        };
        if !is_usable {
            return Err(AttemptOutcome::Failed);
        }
        let resume = self.required_resume(resume);
        let goes_on = Cell::new(None);
        let suffices = |bytes: &[u8]| {
            goes_on.set(check_first_event(bytes, resume));
            is_streaming && goes_on.get().is_some()
        };
        let phase = AnswerPhase::Beginning;
        let read = answer.exchange.read_ahead(suffices, self.deadline());
        match self.before_answer_due(read).await {
            Ok(true) if goes_on.get() == Some(false) => Err(AttemptOutcome::Failed),
            Ok(sufficed) if sufficed == is_streaming => Ok(answer),
            Ok(_) => Err(AttemptOutcome::Lost { phase }),
            Err(error) => Err(self.outcome(error, phase)),
        }
    }

    /// Returns the id after which the target's first event has to come. Only streams of routes that may be resumed are known to go
    /// on.
    pub(super) fn required_resume(&self, resume: Option<u64>) -> Option<u64> {
        resume.filter(|_| self.request().route.resumable)
    }

    fn build_request(&self, payload: &CallerPayload, resume: Option<u64>) -> Request<Bytes> {
        let mut headers = payload.headers.clone();
        let arrival = &self.request().arrival;
        self.core.platform.write_headers(&mut headers, arrival, &self.plan, resume);
        let mut request = Request::new(payload.body.clone());
        *request.method_mut() = payload.method.clone();
        *request.uri_mut() = payload.uri.clone();
        *request.headers_mut() = headers;
        request
    }

    /// Returns the outcome of the attempt for an error of sending or reading, when the answer had come as far as `phase`.
    pub(super) fn outcome(&self, error: SendError, phase: AnswerPhase) -> AttemptOutcome {
        match error {
            SendError::NotSent => AttemptOutcome::NotSent,
            SendError::Failed => AttemptOutcome::Lost { phase },
            SendError::TimeOver => {
                let is_waiting = phase == AnswerPhase::Waiting;
                if is_waiting && self.plan.begin_by.is_some_and(|by| self.core.now() >= by) {
                    AttemptOutcome::Outdated
                } else {
                    AttemptOutcome::TimeOver
                }
            }
        }
    }

    // Checks that the answer was produced by the target itself for this request. Any other answer fails the attempt and
    // closes its connection.
    fn verify(
        &self,
        exchange: &TargetExchange,
        metadata: &AnswerMetadata,
    ) -> std::result::Result<(), AttemptOutcome> {
        let id = &self.request().arrival.id;
        let matches_id = |answer_id: &String| answer_id.as_str() == id.as_ref();
        let is_own = metadata.request_id.as_ref().is_some_and(matches_id);
        // Without an id, only a rejection on a new connection can't be an earlier one that is written once more.
        let is_own_rejection = is_own || metadata.request_id.is_none() && exchange.is_first;
        if metadata.is_not_run && is_own_rejection {
            return Err(AttemptOutcome::Rejected { mismatch: metadata.is_mismatch });
        }
        let is_unencoded = !exchange.headers.contains_key(CONTENT_ENCODING);
        let is_authentic = metadata.is_signed || !exchange.status.is_success();
        if is_own && is_unencoded && is_authentic { Ok(()) } else { Err(AttemptOutcome::Failed) }
    }

    // A rejection or a failure also tells that the target leaves, unless another target sent it. `verify` passes on failures
    // without a signature.
    fn record_leaving(&self, metadata: &AnswerMetadata, status: StatusCode) {
        let is_authentic = metadata.is_signed || !status.is_success();
        if metadata.is_leaving && self.is_own(metadata) && is_authentic {
            let now = self.core.now();
            self.core.update(|state| state.record_leaving(now, &self.plan));
            self.core.send_urgent_gossip();
        }
    }

    // A rejection also tells how much the target takes and when, unless another target sent it.
    fn record_demands(&self, sent_at: ClockTime, metadata: &AnswerMetadata) {
        if self.is_own(metadata) {
            let now = self.core.now();
            self.core.update(|state| {
                state.record_limit(now, &self.plan, sent_at, metadata.limit);
                let is_rejection = metadata.is_not_run;
                state.record_brittle(now, &self.plan, sent_at, metadata.brittle, is_rejection);
                state.record_deferral(now, &self.plan, metadata.deferral);
            });
        }
    }

    // Returns whether the target of this attempt, rather than another one at its address, answered this request.
    fn is_own(&self, metadata: &AnswerMetadata) -> bool {
        let id = &self.request().arrival.id;
        metadata.request_id.as_deref() == Some(id.as_ref()) && !metadata.is_mismatch
    }

    /// Returns the estimate with which the target was chosen, if the cost model is active for the service.
    pub(super) fn cost_estimate(&self) -> Option<CostEstimate> {
        self.plan.sent.map(|sent| sent.estimate)
    }

    /// Records that events of a stream arrived.
    pub(super) fn record_events(&mut self, events: &[u8]) {
        let count = events.windows(2).filter(|pair| *pair == b"\n\n").count();
        self.plan.progress.record(self.core.now(), count as u64);
    }

    /// Records that the caller gets the first events of this answer.
    pub(super) fn record_stream_begin(&mut self) {
        let core = self.core.clone();
        let now = core.now();
        if let Some(request) = &mut self.request {
            core.update(|state| state.record_stream_begin(now, request, &self.plan));
            core.send_urgent_gossip();
        }
    }

    /// Returns whether the stream should be offered to another target because this one is about to load weights.
    pub(super) fn relocate(&mut self) -> bool {
        let core = self.core.clone();
        let now = core.now();
        let Some(request) = &mut self.request else { return false };
        core.update(|state| state.relocate(now, request, &self.plan))
    }

    /// Returns the copy of `request`, this attempt's request, that may be offered to another target while this one is
    /// silent. `has_begun` says whether the caller has received an event.
    pub(super) fn begin_handover(
        &self,
        request: &ForwardRequest,
        has_begun: bool,
    ) -> Option<ForwardRequest> {
        let begun_version = self.plan.version.filter(|_| has_begun);
        let now = self.core.now();
        self.core.update(|state| state.begin_handover(now, request, begun_version))
    }

    /// Returns the core that the attempt was started with.
    pub(super) fn core(&self) -> &Rc<crate::core::ProxyCore<P>> {
        &self.core
    }
}

impl<P: PlatformAdapter> Drop for ActiveAttempt<P> {
    fn drop(&mut self) {
        if let Some(mut request) = self.request.take() {
            self.core.finish_attempt(&mut request, &self.plan, AttemptOutcome::CallerLeft);
        }
    }
}

/// Returns whether an answer is a successful stream of server-sent events.
pub(super) fn is_stream(exchange: &TargetExchange) -> bool {
    let kind = exchange.headers.get(CONTENT_TYPE).and_then(|value| value.to_str().ok());
    exchange.status == StatusCode::OK
        && kind.is_some_and(|kind| kind.starts_with("text/event-stream"))
}
