//! Forwards a stream of events to the caller, and resumes it on another target where the route allows it.

use std::{
    pin::{Pin, pin},
    rc::Rc,
    task::{Context, Poll, ready},
};

use actix_web::body::{BodySize, MessageBody};
use bytes::Bytes;
use futures_util::{FutureExt, future::LocalBoxFuture};
use godwitroad_base::{ClockSpan, ClockTime};
use godwitroad_forward::{AttemptOutcome, ForwardRequest, NextStep};

use super::{
    attempt::{ActiveAttempt, CallerPayload, is_stream},
    caller::AnswerHead,
    events::EventSplitter,
    handover::{
        AcceptedOffer, AnswerProgress, WaitEnd, offer_relocation, open_attempt, wait_or_hand_over,
    },
};
use crate::{
    client::{BodyFraming, TargetExchange},
    core::SharedCore,
    platform::PlatformAdapter,
};

/// The stream ended before its last event. The caller's connection is aborted so that the answer doesn't appear
/// complete.
#[derive(Debug, thiserror::Error)]
#[error("the stream ended before it was complete")]
pub(super) struct BrokenStream;

/// A stream that is being forwarded.
pub(super) struct CallerStream<P: PlatformAdapter> {
    core: SharedCore<P>,
    payload: Rc<CallerPayload>,
    attempt: Option<(ActiveAttempt<P>, TargetExchange)>,
    splitter: EventSplitter,
    // The start of an event that the last target broke off.
    partial_event: Option<Bytes>,
    // The head of the answer that the first forwarded event came from.
    head: AnswerHead,
    failure: Option<(ForwardRequest, NextStep)>,
    // Whether the caller gets events of this answer.
    has_begun: bool,
    // Whether no other target accepted the stream when the current one was about to load weights.
    is_relocation_declined: bool,
    // When the last complete event arrived, or the current attempt began. Bytes that complete no event don't count, as a
    // stalled target may send some now and then.
    last_event_at: ClockTime,
    // When the last events were passed to the caller, over all targets, and the longest time between two of these times.
    // Events are read only when the caller takes them, so that a caller that reads slowly lengthens the pauses.
    forwarded_at: Option<ClockTime>,
    longest_pause: ClockSpan,
}

impl<P: PlatformAdapter> CallerStream<P> {
    pub(super) fn new(
        attempt: ActiveAttempt<P>,
        exchange: TargetExchange,
        payload: Rc<CallerPayload>,
    ) -> CallerStream<P> {
        let head = AnswerHead::for_stream(&exchange, &payload);
        let mut splitter = EventSplitter::default();
        splitter.begin(attempt.required_resume(attempt.request().arrival.last_event));
        CallerStream {
            last_event_at: attempt.core().now(),
            core: attempt.core().clone(),
            payload,
            attempt: Some((attempt, exchange)),
            splitter,
            partial_event: None,
            head,
            has_begun: false,
            is_relocation_declined: false,
            failure: None,
            forwarded_at: None,
            longest_pause: ClockSpan::ZERO,
        }
    }

    /// Returns the next complete events, or `None` at the end of the stream.
    ///
    /// # Errors
    ///
    /// Returns an error if the stream broke and could not be resumed.
    pub(super) async fn next(&mut self) -> std::result::Result<Option<Bytes>, BrokenStream> {
        loop {
            self.relocate().await;
            let Some((_, exchange)) = &self.attempt else { return Ok(None) };
            let is_end_unknown = is_end_unknown(&self.head, exchange.framing);
            match self.read_or_hand_over().await {
                Some(Ok(StreamRead::Events(events))) => {
                    self.record_events(&events);
                    return Ok(Some(events));
                }
                Some(Ok(StreamRead::End)) if is_end_unknown => return Err(self.abandon()),
                Some(Ok(StreamRead::End)) => return Ok(self.complete()),
                Some(Err(outcome)) => self.resume_on_another_target(outcome).await?,
                None => {}
            }
        }
    }

    // Reads from the current target. Returns `None` if another target took the stream over, as this one was silent.
    async fn read_or_hand_over(
        &mut self,
    ) -> Option<std::result::Result<StreamRead, AttemptOutcome>> {
        let resume = self.resume();
        let (attempt, exchange) = self.attempt.as_mut()?;
        let progress = AnswerProgress {
            resume,
            has_begun: self.has_begun,
            is_answered: true,
            silent_since: self.last_event_at,
        };
        let end = {
            let is_resumable = self.splitter.is_resumable();
            let mut first = pin!(read_events(attempt, exchange, &mut self.splitter));
            if !is_resumable {
                return Some(first.as_mut().await);
            }
            wait_or_hand_over(attempt, &self.payload, progress, first).await
        };
        match end {
            WaitEnd::Current(offered, read) => {
                attempt.record_offers(offered);
                Some(read)
            }
            WaitEnd::TakenOver(accepted) => {
                self.move_to(*accepted, AttemptOutcome::Silent);
                None
            }
        }
    }

    // Moves the stream to another target if its own is about to load weights and the other one accepts it.
    async fn relocate(&mut self) {
        let resume = self.resume();
        let Some((attempt, _)) = &mut self.attempt else { return };
        let may_move =
            self.has_begun && self.splitter.is_resumable() && !self.is_relocation_declined;
        if !may_move || !attempt.relocate() {
            return;
        }
        match offer_relocation(attempt, &self.payload, resume).await {
            Ok(accepted) => self.move_to(*accepted, AttemptOutcome::Relocated),
            Err(offered) => {
                attempt.record_offers(Some(offered));
                self.is_relocation_declined = true;
            }
        }
    }

    // Continues the stream on a target that has accepted it, and ends the attempt at the one before.
    fn move_to(&mut self, accepted: AcceptedOffer<P>, outcome: AttemptOutcome) {
        if let Some((first, replaced)) = self.attempt.take() {
            self.log_interruption(&first, &replaced);
            drop(replaced);
            first.finish(accepted.first_outcome(outcome));
        }
        self.splitter.take_partial();
        self.continue_on(accepted.attempt, accepted.exchange);
    }

    fn continue_on(&mut self, attempt: ActiveAttempt<P>, exchange: TargetExchange) {
        // If no event was forwarded yet, the entire answer comes from the new target.
        if self.splitter.last_id().is_none() {
            self.head = AnswerHead::for_stream(&exchange, &self.payload);
        }
        let resume = self.splitter.last_id().or(attempt.request().arrival.last_event);
        self.splitter.begin(attempt.required_resume(resume));
        self.attempt = Some((attempt, exchange));
        self.partial_event = None;
        self.is_relocation_declined = false;
        self.last_event_at = self.core.now();
    }

    fn record_events(&mut self, events: &[u8]) {
        let now = self.core.now();
        self.last_event_at = now;
        if let Some(before) = self.forwarded_at.replace(now) {
            self.longest_pause = self.longest_pause.max(now.since(before));
        }
        if let Some((attempt, _)) = &mut self.attempt {
            attempt.record_events(events);
        }
        if !std::mem::replace(&mut self.has_begun, true)
            && let Some((attempt, _)) = &mut self.attempt
        {
            attempt.record_stream_begin();
        }
        if self.splitter.has_just_gone_on()
            && let Some((attempt, _)) = &self.attempt
        {
            self.core.update(|state| state.record_answer_progress(now, attempt.request()));
        }
    }

    // Returns the id of the last event that the caller has received.
    fn resume(&self) -> Option<u64> {
        let (attempt, _) = self.attempt.as_ref()?;
        self.splitter.last_id().or(attempt.request().arrival.last_event)
    }

    fn log_interruption(&self, attempt: &ActiveAttempt<P>, exchange: &TargetExchange) {
        let ending = self.describe_end(exchange);
        self.core.log.request("stream_interrupted", &attempt.request().arrival.id, &ending);
    }

    // Ends a stream that may be complete.
    fn abandon(&mut self) -> BrokenStream {
        if let Some((attempt, exchange)) = self.attempt.take() {
            self.log_interruption(&attempt, &exchange);
            let status = exchange.status.as_u16();
            self.failure = Some(attempt.finish(AttemptOutcome::Complete { status }));
        }
        BrokenStream
    }

    fn complete(&mut self) -> Option<Bytes> {
        let (attempt, exchange) = self.attempt.take()?;
        let status = exchange.status.as_u16();
        let ending = self.describe_end(&exchange);
        self.core.client.release(exchange);
        self.record_pause(&attempt);
        // The events of a stream are numbered, also those that another target sent.
        if let Some(events) = self.splitter.last_id() {
            self.core.update(|state| state.record_stream_length(attempt.request(), events));
        }
        let (request, _) = attempt.finish(AttemptOutcome::Complete { status });
        log_stream_end(&self.core, &request, self.longest_pause, &format!("complete {ending}"));
        self.splitter.take_remaining()
    }

    fn record_pause(&self, attempt: &ActiveAttempt<P>) {
        let (metrics, pause_ms) = (&self.core.metrics, self.longest_pause.as_ms());
        metrics.record("streams.longest_pause_ms", pause_ms);
        let limit = attempt.request().route.gap_target;
        if limit.is_some_and(|limit| self.longest_pause > limit) {
            metrics.count("streams.late_by_pause", 1);
        }
        if let Some(estimate) = attempt.cost_estimate().filter(|estimate| estimate.pause_ms > 0.0) {
            let percent = pause_ms as f64 / estimate.pause_ms * 100.0;
            metrics.record("cost.pause_ratio", percent as u64);
        }
    }

    // Ends the broken attempt and resumes on another target after the last complete event.
    async fn resume_on_another_target(
        &mut self,
        outcome: AttemptOutcome,
    ) -> std::result::Result<(), BrokenStream> {
        let Some((attempt, exchange)) = self.attempt.take() else { return Err(BrokenStream) };
        self.log_interruption(&attempt, &exchange);
        // Closing the connection cancels the run on this target before another one starts.
        drop(exchange);
        self.partial_event = self.splitter.take_partial();
        let (mut request, mut step) = attempt.finish(outcome);
        while step == NextStep::Again && self.splitter.is_resumable() {
            let plan = match self.core.choose_target(&mut request) {
                Ok(plan) => plan,
                Err(refusal) => {
                    step = NextStep::End(refusal);
                    break;
                }
            };
            let attempt = ActiveAttempt::new(self.core.clone(), request, plan);
            let resume = self.splitter.last_id().or(attempt.request().arrival.last_event);
            let (attempt, opened) =
                open_attempt(&self.payload, resume, self.has_begun, attempt).await;
            let outcome = match opened {
                Ok(exchange) if is_stream(&exchange) => {
                    self.continue_on(attempt, exchange);
                    return Ok(());
                }
                Ok(_) => AttemptOutcome::Failed,
                Err(outcome) => outcome,
            };
            (request, step) = attempt.finish(outcome);
        }
        self.failure = Some((request, step));
        Err(BrokenStream)
    }

    // Describes for the log how a target's part of the stream ended.
    fn describe_end(&self, exchange: &TargetExchange) -> String {
        format!(
            "framing={} partial_bytes={} last_event={:?}",
            exchange.framing.name(),
            self.splitter.remaining_bytes(),
            self.splitter.last_id(),
        )
    }

    /// Returns the head of the answer that the first forwarded event came from.
    pub(super) fn head(&self) -> &AnswerHead {
        &self.head
    }

    // Returns the last bytes of a broken stream for a caller that has only the end of the connection to go by: the start of an
    // event, so that the stream ends inside one. `None` if the answer is in chunks, which end without the last one.
    fn take_broken_end(&mut self) -> Option<Bytes> {
        let is_unframed = self.head.framing == BodyFraming::Connection;
        is_unframed.then(|| self.partial_event.take().unwrap_or(Bytes::from_static(b":")))
    }

    /// Takes the request of a broken stream that could not be resumed, with the step that ended it.
    pub(super) fn take_failure(&mut self) -> Option<(ForwardRequest, NextStep)> {
        self.failure.take()
    }
}

/// What a target's part of a stream brought.
enum StreamRead {
    Events(Bytes),
    End,
}

// Reads until events are complete or the body ends. Bytes are lost by no cancellation, as `splitter` keeps them.
async fn read_events<P: PlatformAdapter>(
    attempt: &ActiveAttempt<P>,
    exchange: &mut TargetExchange,
    splitter: &mut EventSplitter,
) -> std::result::Result<StreamRead, AttemptOutcome> {
    loop {
        let next = exchange.next(attempt.deadline());
        match attempt.before_answer_due(next).await {
            Ok(Some(bytes)) => match splitter.push(&bytes) {
                Ok(Some(events)) => return Ok(StreamRead::Events(events)),
                Ok(None) => {}
                Err(error) => {
                    let id = &attempt.request().arrival.id;
                    attempt.core().log.request("stream_unreadable", id, &error.to_string());
                    return Err(AttemptOutcome::Failed);
                }
            },
            Ok(None) if is_cut(splitter, exchange.framing) => {
                return Err(AttemptOutcome::Lost { phase: splitter.phase() });
            }
            // The target before was cut off, so that the end of its part proves nothing, and neither does this one.
            Ok(None) if splitter.awaits_continuation() => return Err(AttemptOutcome::Failed),
            Ok(None) => return Ok(StreamRead::End),
            Err(error) => return Err(attempt.outcome(error, splitter.phase())),
        }
    }
}

// Returns whether a stream whose body has ended was broken off. The end of a body proves nothing by itself: a target that
// crashes closes its connections like one that has finished.
fn is_cut(splitter: &EventSplitter, framing: BodyFraming) -> bool {
    let is_empty = framing == BodyFraming::Connection && !splitter.has_event();
    splitter.is_inside_event() || is_empty
}

// Returns whether the caller would take the answer for complete although nothing marks the end of the target's stream.
fn is_end_unknown(head: &AnswerHead, framing: BodyFraming) -> bool {
    framing == BodyFraming::Connection && head.framing != BodyFraming::Connection
}

fn log_stream_end<P: PlatformAdapter>(
    core: &SharedCore<P>,
    request: &ForwardRequest,
    longest_pause: ClockSpan,
    outcome: &str,
) {
    let elapsed = core.now().since(request.arrived).as_ms();
    core.metrics.record("requests.total_ms", elapsed);
    let detail = format!(
        "outcome={outcome} attempts={} elapsed_ms={elapsed} longest_pause_ms={}",
        request.attempts,
        longest_pause.as_ms(),
    );
    core.log.request("stream_ended", &request.arrival.id, &detail);
}

type NextEvents<P> =
    LocalBoxFuture<'static, (CallerStream<P>, std::result::Result<Option<Bytes>, BrokenStream>)>;

/// The body of a streamed answer. The next events are read only when the connection polls for them, so that at most one
/// read is buffered for a slow caller.
pub(super) struct StreamBody<P: PlatformAdapter> {
    first: Option<Bytes>,
    next: Option<NextEvents<P>>,
}

impl<P: PlatformAdapter> StreamBody<P> {
    pub(super) fn new(first: Bytes, stream: CallerStream<P>) -> StreamBody<P> {
        StreamBody { first: Some(first), next: Some(read(stream)) }
    }
}

fn read<P: PlatformAdapter>(mut stream: CallerStream<P>) -> NextEvents<P> {
    async move {
        let events = stream.next().await;
        if events.is_ok() {
            return (stream, events);
        }
        if let Some((request, step)) = stream.take_failure() {
            stream.core.metrics.count("streams.broken", 1);
            log_stream_end(
                &stream.core,
                &request,
                stream.longest_pause,
                &format!("broken next={step:?}"),
            );
        }
        let end = stream.take_broken_end().map(Some).ok_or(BrokenStream);
        (stream, end)
    }
    .boxed_local()
}

impl<P: PlatformAdapter> MessageBody for StreamBody<P> {
    type Error = BrokenStream;

    fn size(&self) -> BodySize {
        BodySize::Stream
    }

    fn poll_next(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<std::result::Result<Bytes, BrokenStream>>> {
        if let Some(first) = self.first.take() {
            return Poll::Ready(Some(Ok(first)));
        }
        let Some(next) = &mut self.next else { return Poll::Ready(None) };
        let (stream, events) = ready!(next.poll_unpin(context));
        self.next = matches!(events, Ok(Some(_))).then(|| read(stream));
        Poll::Ready(events.transpose())
    }
}
