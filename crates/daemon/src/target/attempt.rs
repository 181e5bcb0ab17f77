//! One attempt of a request at a target.
//!
//! An attempt only reports what happened on the socket. `sent` is false only if no connection was made: once a
//! connection carries the request, any byte of it may have been sent.

use std::{
    sync::Arc,
    time::{Duration, SystemTime},
};

use actix_web::http::{Method, header::CONTENT_TYPE};
use awc::{Client, ClientRequest, ClientResponse, error::PayloadError};
use bytes::Bytes;
use futures_util::{Stream, StreamExt};
use godwitroad_base::ClockSpan;
use godwitroad_frontend::retry_after;
use godwitroad_router::{AttemptReport, DispatchOrder, RouterEvent};
use tokio::{sync::watch, time::timeout};

use super::{
    chunk::ChunkReader,
    sse::{SseEvent, SseParser},
    worker::AttemptFlow,
};
use crate::{
    event_loop::EventLoopHandle,
    http_client,
    intake::{CallerRequest, EngineBody, EngineOverrides, RequestBody},
    telemetry::{HopSpan, NodeTelemetry},
};

/// How long a target may take to end the body after a stream's last event, so that the connection can be reused.
const BODY_END_TIMEOUT_MS: u64 = 1_000;

/// The lowest status that counts as the engine's failure rather than as an invalid request.
const FIRST_SERVER_ERROR: u16 = 500;

/// The status of an engine without capacity; the decision state chooses another target.
const TOO_MANY_REQUESTS: u16 = 429;

/// The status of a target that takes no requests at the moment.
const SERVICE_UNAVAILABLE: u16 = 503;

/// The headers by which a target identifies the request and attempt that it answers.
const ECHOED_HEADERS: [&str; 2] = ["x-request-id", "x-attempt"];

/// A task that runs one attempt.
pub(super) struct AttemptTask {
    pub(super) scheme: &'static str,
    pub(super) client: Client,
    pub(super) event_loop: EventLoopHandle,
    pub(super) telemetry: Arc<NodeTelemetry>,
    pub(super) order: DispatchOrder,
    pub(super) request: Arc<CallerRequest>,
    pub(super) flow: watch::Receiver<AttemptFlow>,
}

/// How an attempt ended.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum AttemptEnd {
    Complete,
    /// The connection was lost after the request may have been sent.
    Lost,
    /// The target wants no other request for a time.
    Deferred {
        rejected: bool,
        wait: ClockSpan,
    },
    Failed {
        sent: bool,
        rejected: bool,
    },
    /// The decision state cancelled the attempt and expects no report.
    Cancelled,
}

/// The end of an attempt whose request may have run.
const FAILED_AFTER_SEND: AttemptEnd = AttemptEnd::Failed { sent: true, rejected: false };

impl AttemptTask {
    /// Runs the attempt to its end and reports the result.
    pub(super) async fn run(mut self) {
        self.telemetry.count("target.attempts");
        let (id, attempt) = (self.order.id, self.order.attempt);
        let mut span = self.telemetry.begin_attempt(self.request.trace, id, attempt);
        let mut flow = self.flow.clone();
        let end = tokio::select! {
            biased;
            () = cancelled(&mut flow) => AttemptEnd::Cancelled,
            end = self.exchange(&span) => end,
        };
        match end {
            AttemptEnd::Complete => {}
            AttemptEnd::Lost => {
                span.mark_failed();
                self.telemetry.count("target.failures");
                self.report(AttemptReport::Lost);
            }
            AttemptEnd::Deferred { rejected, wait } => {
                span.mark_failed();
                self.telemetry.count("target.deferrals");
                self.report(AttemptReport::Deferred { rejected, wait });
            }
            AttemptEnd::Failed { sent, rejected } => {
                span.mark_failed();
                self.telemetry.count("target.failures");
                self.report(AttemptReport::Failed { sent, rejected });
            }
            AttemptEnd::Cancelled => self.telemetry.count("target.cancelled"),
        }
    }

    async fn exchange(&mut self, span: &HopSpan) -> AttemptEnd {
        let Some((request, body)) = self.build_request(span) else {
            return AttemptEnd::Failed { sent: false, rejected: false };
        };
        let mut response = match request.send_body(body).await {
            Ok(response) => response,
            Err(error) => {
                return if http_client::is_connection_lost(&error) {
                    AttemptEnd::Lost
                } else {
                    AttemptEnd::Failed { sent: http_client::was_sent(&error), rejected: false }
                };
            }
        };
        if self.answers_other_attempt(&response) {
            return FAILED_AFTER_SEND;
        }
        let status = response.status().as_u16();
        let not_run = response.headers().get("x-not-run").is_some_and(|value| value == "true");
        let rejected = status == SERVICE_UNAVAILABLE && not_run;
        let is_engine = !self.order.cache_salt.is_empty();
        let wait = retry_after(response.headers(), SystemTime::now());
        if let Some(wait) = wait.filter(|_| is_refusal(status) && (is_engine || rejected))
            && !self.answers_other_attempt(&response)
        {
            return AttemptEnd::Deferred { rejected, wait };
        }
        if rejected {
            return AttemptEnd::Failed { sent: true, rejected: true };
        }
        // The client takes an informational head for the answer, and loses the one that follows.
        if response.status().is_informational()
            || http_client::is_end_unmarked(self.request_method(), &response)
        {
            return FAILED_AFTER_SEND;
        }
        let echoes_ids = ECHOED_HEADERS.iter().all(|name| response.headers().contains_key(*name));
        if is_engine && (status >= FIRST_SERVER_ERROR || status == TOO_MANY_REQUESTS) {
            return FAILED_AFTER_SEND;
        }
        let content_type = response.headers().get(CONTENT_TYPE);
        let content_type =
            content_type.and_then(|value| value.to_str().ok()).unwrap_or("").to_string();
        self.report(AttemptReport::Started { status, content_type });
        if is_engine && status == 200 {
            self.read_events(&mut response, echoes_ids).await
        } else {
            self.read_data(&mut response).await
        }
    }

    fn request_method(&self) -> &Method {
        match &self.request.body {
            RequestBody::Engine(_) => &Method::POST,
            RequestBody::Plain(_) => &self.request.method,
        }
    }

    fn build_request(&self, span: &HopSpan) -> Option<(ClientRequest, Bytes)> {
        let order = &self.order;
        let is_engine = !order.cache_salt.is_empty();
        let (path, method, body) = match &self.request.body {
            RequestBody::Engine(body) if is_engine => {
                (body.path.as_str(), Method::POST, self.encode_body(body)?)
            }
            RequestBody::Engine(_) => return None,
            RequestBody::Plain(body) => {
                (self.request.target.as_str(), self.request.method.clone(), body.clone())
            }
        };
        let url = format!("{}://{}{path}", self.scheme, order.address);
        let mut request = self.client.request(method, url).no_decompress();
        if is_engine {
            request = request.content_type("application/json");
        } else {
            for (name, value) in &self.request.headers {
                request = request.append_header((name.clone(), value.clone()));
            }
        }
        request = request
            .insert_header(("x-request-id", order.id.to_string()))
            .insert_header(("x-attempt", order.attempt.to_string()))
            .insert_header(("x-deadline-ms", order.deadline.as_ms().to_string()));
        if let Some(trace) = span.context() {
            request = request.insert_header(("traceparent", trace.to_string()));
        }
        Some((request, body))
    }

    fn encode_body(&self, body: &EngineBody) -> Option<Bytes> {
        let overrides = EngineOverrides {
            cache_salt: &self.order.cache_salt,
            priority: self.order.priority,
            resume: self.order.resume.as_ref(),
        };
        body.encode(overrides).ok()
    }

    /// Returns whether the headers say that the answer belongs to another request or attempt.
    fn answers_other_attempt<S>(&self, response: &ClientResponse<S>) -> bool {
        let differs = |name: &str, own: String| {
            response.headers().get(name).is_some_and(|value| value.as_bytes() != own.as_bytes())
        };
        let [id, attempt] = ECHOED_HEADERS;
        differs(id, self.order.id.to_string()) || differs(attempt, self.order.attempt.to_string())
    }

    async fn read_events<S>(
        &mut self,
        response: &mut ClientResponse<S>,
        echoes_ids: bool,
    ) -> AttemptEnd
    where
        S: Stream<Item = Result<Bytes, PayloadError>> + Unpin,
    {
        let first = self.order.resume.as_ref().map_or(0, |resume| resume.tokens);
        let mut chunks = ChunkReader::new(self.order.id, first);
        let mut parser = SseParser::new();
        while let Some(part) = self.next_part(response).await {
            let Ok(part) = part else { return AttemptEnd::Lost };
            let mut state = EventState::Open;
            let parsed =
                parser.push(&part, |event| self.handle_event(event, &mut chunks, &mut state));
            if state == EventState::Done {
                self.report(AttemptReport::Ended);
                // Only these headers distinguish a duplicate answer from the next request's answer. Without them the
                // connection is not reused.
                if echoes_ids {
                    drain_body(response).await;
                }
                return AttemptEnd::Complete;
            }
            if parsed.is_err() || state == EventState::Failed {
                return FAILED_AFTER_SEND;
            }
        }
        // The connection ended without `[DONE]`.
        FAILED_AFTER_SEND
    }

    fn handle_event(&self, event: SseEvent<'_>, chunks: &mut ChunkReader, state: &mut EventState) {
        if *state != EventState::Open {
            return;
        }
        if event.data == "[DONE]" {
            *state = EventState::Done;
            return;
        }
        match chunks.read(event.data) {
            Ok(report) if event.kind != "error" => self.report(report),
            _ => *state = EventState::Failed,
        }
    }

    async fn read_data<S>(&mut self, response: &mut ClientResponse<S>) -> AttemptEnd
    where
        S: Stream<Item = Result<Bytes, PayloadError>> + Unpin,
    {
        // The end of a stream is checked even if it is marked, as a target can break a stream off and still end its body.
        // A stream that is no valid text of events is passed on unchecked.
        let mut events = is_event_stream(response).then(SseParser::new);
        while let Some(part) = self.next_part(response).await {
            let Ok(part) = part else { return AttemptEnd::Lost };
            if events.as_mut().is_some_and(|events| events.push(&part, |_| ()).is_err()) {
                events = None;
            }
            self.report(AttemptReport::Data(Arc::from(&part[..])));
        }
        if events.is_some_and(|events| !events.is_between_events()) {
            return FAILED_AFTER_SEND;
        }
        self.report(AttemptReport::Ended);
        AttemptEnd::Complete
    }

    /// Returns the next part; does not read while the attempt is paused, so that a slow caller slows the target down.
    async fn next_part<S>(
        &mut self,
        response: &mut ClientResponse<S>,
    ) -> Option<Result<Bytes, PayloadError>>
    where
        S: Stream<Item = Result<Bytes, PayloadError>> + Unpin,
    {
        loop {
            // The sender outlives the attempt, so waiting cannot fail.
            let _ = self.flow.wait_for(|flow| *flow != AttemptFlow::Paused).await;
            tokio::select! {
                biased;
                _ = self.flow.changed() => {}
                part = response.next() => return part,
            }
        }
    }

    fn report(&self, report: AttemptReport) {
        let (id, attempt) = (self.order.id, self.order.attempt);
        self.event_loop.send_event(RouterEvent::Attempt { id, attempt, report });
    }
}

#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum EventState {
    Open,
    Done,
    Failed,
}

/// Returns whether a target that names a time with this status wants no other request before.
fn is_refusal(status: u16) -> bool {
    matches!(status, TOO_MANY_REQUESTS | SERVICE_UNAVAILABLE)
}

fn is_event_stream<S>(response: &ClientResponse<S>) -> bool {
    let kind = response.headers().get(CONTENT_TYPE).and_then(|value| value.to_str().ok());
    kind.is_some_and(|kind| kind.starts_with("text/event-stream"))
}

async fn cancelled(flow: &mut watch::Receiver<AttemptFlow>) {
    if flow.wait_for(|flow| *flow == AttemptFlow::Cancelled).await.is_err() {
        // The sender was dropped, so the attempt can no longer be cancelled.
        std::future::pending::<()>().await;
    }
}

/// Reads to the end of a completed answer, so that the connection can be reused. If the target sends more data, the
/// connection is closed, because that data could be taken for the answer to the next request.
async fn drain_body<S>(response: &mut ClientResponse<S>)
where
    S: Stream<Item = Result<Bytes, PayloadError>> + Unpin,
{
    let _ = timeout(Duration::from_millis(BODY_END_TIMEOUT_MS), response.next()).await;
}
