//! One attempt at a target.
//!
//! The attempt reports what happened on the socket and nothing else. `sent` is false only when no connection was
//! made; from the moment at which a connection carries the request, a byte may have left.

use std::{sync::Arc, time::Duration};

use actix_web::http::{Method, header::CONTENT_TYPE};
use awc::{Client, ClientRequest, ClientResponse, error::PayloadError};
use bytes::Bytes;
use futures_util::{Stream, StreamExt};
use godwitroad_router::{AttemptReport, DispatchOrder, RouterEvent};
use tokio::{sync::watch, time::timeout};

use super::{
    chunk::ChunkReader,
    sse::{SseEvent, SseParser},
    worker::AttemptFlow,
};
use crate::{
    core::CoreHandle,
    intake::{EngineBody, EngineOverrides, IntakeBody, IntakeRequest},
    outbound,
    telemetry::{HopSpan, NodeTelemetry},
};

/// The time for which a finished answer's connection may take to end the body, so that it can be used again.
const TAIL_LIMIT_MS: u64 = 1_000;

/// The status from which an engine's answer counts as a failure rather than as the caller's mistake.
const FIRST_SERVER_ERROR: u16 = 500;

/// The status of an engine that has no room; the facade places the request anew.
const TOO_MANY_REQUESTS: u16 = 429;

/// The headers by which a target says which request and attempt it answers.
const ECHOED: [&str; 2] = ["x-request-id", "x-attempt"];

/// Everything that one attempt holds.
pub(super) struct AttemptRun {
    pub(super) scheme: &'static str,
    pub(super) client: Client,
    pub(super) core: CoreHandle,
    pub(super) telemetry: Arc<NodeTelemetry>,
    pub(super) order: DispatchOrder,
    pub(super) request: Arc<IntakeRequest>,
    pub(super) flow: watch::Receiver<AttemptFlow>,
}

/// How an attempt ended.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum AttemptEnd {
    Complete,
    Failed {
        sent: bool,
        refused: bool,
    },
    /// The state has given the attempt up and wants no report.
    Cancelled,
}

const BROKEN: AttemptEnd = AttemptEnd::Failed { sent: true, refused: false };

impl AttemptRun {
    /// Runs the attempt to its end and reports it.
    pub(super) async fn run(mut self) {
        self.telemetry.count("target.attempts");
        let (id, attempt) = (self.order.id, self.order.attempt);
        let mut span = self.telemetry.begin_attempt(self.request.trace, id, attempt);
        let mut flow = self.flow.clone();
        let end = tokio::select! {
            biased;
            () = cancelled(&mut flow) => AttemptEnd::Cancelled,
            end = self.carry(&span) => end,
        };
        match end {
            AttemptEnd::Complete => {}
            AttemptEnd::Failed { sent, refused } => {
                span.fail();
                self.telemetry.count("target.failures");
                self.report(AttemptReport::Failed { sent, rejected: refused });
            }
            AttemptEnd::Cancelled => self.telemetry.count("target.cancelled"),
        }
    }

    async fn carry(&mut self, span: &HopSpan) -> AttemptEnd {
        let Some((request, body)) = self.build(span) else {
            return AttemptEnd::Failed { sent: false, refused: false };
        };
        let mut response = match request.send_body(body).await {
            Ok(response) => response,
            Err(error) => {
                return AttemptEnd::Failed { sent: outbound::was_sent(&error), refused: false };
            }
        };
        let status = response.status().as_u16();
        let not_run = response.headers().get("x-not-run").is_some_and(|value| value == "true");
        if status == 503 && not_run {
            return AttemptEnd::Failed { sent: true, refused: true };
        }
        if self.is_crossed(&response) {
            return BROKEN;
        }
        let echoes = ECHOED.iter().all(|name| response.headers().contains_key(*name));
        let is_engine = !self.order.cache_salt.is_empty();
        if is_engine && (status >= FIRST_SERVER_ERROR || status == TOO_MANY_REQUESTS) {
            return BROKEN;
        }
        let content_type = response.headers().get(CONTENT_TYPE);
        let content_type =
            content_type.and_then(|value| value.to_str().ok()).unwrap_or("").to_string();
        self.report(AttemptReport::Started { status, content_type });
        if is_engine && status == 200 {
            self.read_events(&mut response, echoes).await
        } else {
            self.read_data(&mut response).await
        }
    }

    fn build(&self, span: &HopSpan) -> Option<(ClientRequest, Bytes)> {
        let order = &self.order;
        let is_engine = !order.cache_salt.is_empty();
        let (path, method, body) = match &self.request.body {
            IntakeBody::Engine(body) if is_engine => {
                (body.path.as_str(), Method::POST, self.encode(body)?)
            }
            IntakeBody::Engine(_) => return None,
            IntakeBody::Plain(body) => {
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

    fn encode(&self, body: &EngineBody) -> Option<Bytes> {
        let overrides = EngineOverrides {
            cache_salt: &self.order.cache_salt,
            priority: self.order.priority,
            resume: self.order.resume.as_ref(),
        };
        body.encode(overrides).ok()
    }

    /// Returns whether the target says that its answer belongs to another request or attempt.
    fn is_crossed<S>(&self, response: &ClientResponse<S>) -> bool {
        let differs = |name: &str, own: String| {
            response.headers().get(name).is_some_and(|value| value.as_bytes() != own.as_bytes())
        };
        let [id, attempt] = ECHOED;
        differs(id, self.order.id.to_string()) || differs(attempt, self.order.attempt.to_string())
    }

    async fn read_events<S>(&mut self, response: &mut ClientResponse<S>, echoes: bool) -> AttemptEnd
    where
        S: Stream<Item = Result<Bytes, PayloadError>> + Unpin,
    {
        let first = self.order.resume.as_ref().map_or(0, |resume| resume.tokens);
        let mut chunks = ChunkReader::new(self.order.id, first);
        let mut parser = SseParser::new();
        while let Some(part) = self.next_part(response).await {
            let Ok(part) = part else { return BROKEN };
            let mut state = EventState::Open;
            let parsed = parser.push(&part, |event| self.take(event, &mut chunks, &mut state));
            if state == EventState::Done {
                self.report(AttemptReport::Ended);
                // A stray second answer can be told from the next request's only by its headers. Without them the
                // connection isn't used again.
                if echoes {
                    finish_body(response).await;
                }
                return AttemptEnd::Complete;
            }
            if parsed.is_err() || state == EventState::Broken {
                return BROKEN;
            }
        }
        // The connection ended without the explicit end.
        BROKEN
    }

    fn take(&self, event: SseEvent<'_>, chunks: &mut ChunkReader, state: &mut EventState) {
        if *state != EventState::Open {
            return;
        }
        if event.data == "[DONE]" {
            *state = EventState::Done;
            return;
        }
        match chunks.read(event.data) {
            Ok(report) if event.kind != "error" => self.report(report),
            _ => *state = EventState::Broken,
        }
    }

    async fn read_data<S>(&mut self, response: &mut ClientResponse<S>) -> AttemptEnd
    where
        S: Stream<Item = Result<Bytes, PayloadError>> + Unpin,
    {
        while let Some(part) = self.next_part(response).await {
            match part {
                Ok(part) => self.report(AttemptReport::Data(Arc::from(&part[..]))),
                Err(error) if outbound::is_body_end(response, &error) => break,
                Err(_) => return BROKEN,
            }
        }
        self.report(AttemptReport::Ended);
        AttemptEnd::Complete
    }

    /// Reads on unless the attempt is paused, so that a slow caller slows the target down.
    async fn next_part<S>(
        &mut self,
        response: &mut ClientResponse<S>,
    ) -> Option<Result<Bytes, PayloadError>>
    where
        S: Stream<Item = Result<Bytes, PayloadError>> + Unpin,
    {
        loop {
            // The sender outlives the attempt, so that waiting can't fail.
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
        self.core.event(RouterEvent::Attempt { id, attempt, report });
    }
}

#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum EventState {
    Open,
    Done,
    Broken,
}

async fn cancelled(flow: &mut watch::Receiver<AttemptFlow>) {
    if flow.wait_for(|flow| *flow == AttemptFlow::Cancelled).await.is_err() {
        // Without a sender nobody can cancel any more.
        std::future::pending::<()>().await;
    }
}

/// Reads to the end of a finished answer, so that the connection can be used again. A target that goes on sending
/// loses the connection, since the rest could be taken for the answer to the next request.
async fn finish_body<S>(response: &mut ClientResponse<S>)
where
    S: Stream<Item = Result<Bytes, PayloadError>> + Unpin,
{
    let _ = timeout(Duration::from_millis(TAIL_LIMIT_MS), response.next()).await;
}
