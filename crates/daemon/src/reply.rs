//! The HTTP interface for callers: requests are accepted here, and answers are streamed or buffered.

mod buffered;
mod caller;
mod failure;
mod stream;

use std::sync::{
    Arc,
    atomic::{AtomicU64, Ordering},
};

use actix_web::{
    HttpRequest, HttpResponse,
    http::{
        StatusCode,
        header::{CONTENT_LENGTH, CONTENT_TYPE},
    },
    web,
};
use bytes::{Bytes, BytesMut};
use futures_util::StreamExt;
use godwitroad_router::{CallerError, CallerReply, ErrorKind, RouterEvent, RunOutcome};
use tokio::sync::{mpsc::unbounded_channel, oneshot};

use crate::{
    event_loop::{EventLoopHandle, LoopInput},
    intake::{self, EnginePath, RequestHead},
    telemetry::NodeTelemetry,
};

pub(crate) use failure::error_response;

use buffered::BufferedAnswer;
use caller::CallerLink;
use failure::error_body;
use stream::ReplyStream;

/// The state that all threads serving callers share.
pub(crate) struct CallerContext {
    pub(crate) event_loop: EventLoopHandle,
    pub(crate) telemetry: Arc<NodeTelemetry>,
    pub(crate) connections: AtomicU64,
    pub(crate) max_body_bytes: usize,
}

/// The head of an answer, received before any of its bytes are sent.
struct AnswerHead {
    status: u16,
    content_type: String,
}

/// Handles every request of a caller that is not for the daemon itself.
pub(crate) async fn handle_request(
    request: HttpRequest,
    payload: web::Payload,
    context: web::Data<CallerContext>,
) -> HttpResponse {
    context.telemetry.count("caller.requests");
    match accept_request(&request, payload, &context).await {
        Ok((link, wants_stream, engine)) => respond(link, wants_stream, engine).await,
        Err(error) => {
            context.telemetry.count_caller_error(error.kind);
            error_response(&error, None)
        }
    }
}

/// Handles `GET /v1/models`.
pub(crate) async fn models(
    request: HttpRequest,
    context: web::Data<CallerContext>,
) -> HttpResponse {
    let key = match intake::key_hash(request.headers()) {
        Ok(key) => key,
        Err(error) => return error_response(&error, None),
    };
    let kind = if key.is_some() { ErrorKind::KeyInvalid } else { ErrorKind::KeyMissing };
    let (answer, models) = oneshot::channel();
    if !context.event_loop.send(LoopInput::Models(key, answer)) {
        return error_response(&not_ready(), None);
    }
    match models.await {
        Ok(Some(models)) => {
            let list: Vec<_> = models
                .iter()
                .map(|model| serde_json::json!({"id": model, "object": "model"}))
                .collect();
            HttpResponse::Ok().json(serde_json::json!({"object": "list", "data": list}))
        }
        Ok(None) => error_response(&failure::not_run_error(kind, "no valid key"), None),
        Err(_) => error_response(&not_ready(), None),
    }
}

async fn accept_request(
    request: &HttpRequest,
    payload: web::Payload,
    context: &web::Data<CallerContext>,
) -> intake::Result<(CallerLink, bool, Option<EnginePath>)> {
    let head = RequestHead {
        method: request.method(),
        path: request.uri().path(),
        query: request.uri().query().unwrap_or(""),
        headers: request.headers(),
    };
    let key = intake::validate_head(head)?;
    let declared_length = request.headers().get(CONTENT_LENGTH);
    let declared_length =
        declared_length.and_then(|value| value.to_str().ok()?.parse().ok()).unwrap_or(0);
    if declared_length > context.max_body_bytes {
        return Err(too_large(context.max_body_bytes));
    }
    let body = read_body(payload, declared_length, context.max_body_bytes).await?;
    let (mut arrival, mut caller_request) = intake::parse_request(head, key, body)?;
    let connection = context.connections.fetch_add(1, Ordering::Relaxed);
    arrival.connection = connection;
    let wants_stream = arrival.stream;
    let engine = caller_request.engine().map(|body| body.path);
    let span = context.telemetry.begin_request(caller_request.trace);
    caller_request.trace = span.context().or(caller_request.trace);
    let (caller, items) = unbounded_channel();
    let link = CallerLink::new(context.clone().into_inner(), connection, items, span);
    if !context.event_loop.send(LoopInput::RequestArrived {
        arrival,
        request: Arc::new(caller_request),
        caller,
    }) {
        return Err(not_ready());
    }
    Ok((link, wants_stream, engine))
}

async fn read_body(
    mut payload: web::Payload,
    declared_length: usize,
    limit: usize,
) -> intake::Result<Bytes> {
    let mut buffer: Option<BytesMut> = None;
    let mut first: Option<Bytes> = None;
    let mut size = 0;
    while let Some(part) = payload.next().await {
        let part = part.map_err(|_| intake::invalid("the body broke off or is malformed"))?;
        size += part.len();
        if size > limit {
            return Err(too_large(limit));
        }
        // Most bodies arrive in one part, which is kept without copying.
        match (&mut buffer, first.take()) {
            (Some(buffer), _) => buffer.extend_from_slice(&part),
            (None, None) => first = Some(part),
            (None, Some(start)) => {
                let mut combined = BytesMut::with_capacity(declared_length.max(size));
                combined.extend_from_slice(&start);
                combined.extend_from_slice(&part);
                buffer = Some(combined);
            }
        }
    }
    Ok(buffer.map(BytesMut::freeze).or(first).unwrap_or_default())
}

/// Waits for the first part of the answer, so that an earlier failure still gets its own HTTP status.
async fn respond(
    mut link: CallerLink,
    wants_stream: bool,
    engine: Option<EnginePath>,
) -> HttpResponse {
    let mut head: Option<AnswerHead> = None;
    loop {
        let Some(reply) = link.next().await else {
            return link.error_response(&stream_lost());
        };
        match reply {
            CallerReply::Header { status, content_type } => {
                head = Some(AnswerHead { status, content_type });
            }
            CallerReply::Failed(error) => return link.error_response(&error),
            first => {
                link.record_first_part();
                let is_passthrough = engine.is_none()
                    || matches!(first, CallerReply::Data(_))
                    || has_error_status(&head);
                return match engine {
                    Some(path) if !is_passthrough && !wants_stream => {
                        BufferedAnswer::new(path).collect(link, first).await
                    }
                    _ => stream_response(link, first, head, is_passthrough),
                };
            }
        }
    }
}

fn has_error_status(head: &Option<AnswerHead>) -> bool {
    head.as_ref().is_some_and(|head| head.status != 200)
}

fn stream_response(
    link: CallerLink,
    first: CallerReply,
    head: Option<AnswerHead>,
    is_passthrough: bool,
) -> HttpResponse {
    let status = head.as_ref().map_or(200, |head| head.status);
    let content_type = match head {
        Some(head) if is_passthrough => head.content_type,
        _ => "text/event-stream".to_string(),
    };
    let mut response =
        HttpResponse::build(StatusCode::from_u16(status).unwrap_or(StatusCode::BAD_GATEWAY));
    if !content_type.is_empty() {
        response.insert_header((CONTENT_TYPE, content_type));
    }
    link.insert_request_id(&mut response);
    if !is_passthrough {
        response.insert_header(("cache-control", "no-cache"));
    }
    response.streaming(ReplyStream::new(link, first))
}

fn too_large(limit: usize) -> CallerError {
    intake::invalid(format!("the body has more than {limit} bytes"))
}

fn not_ready() -> CallerError {
    failure::not_run_error(ErrorKind::NotReady, "the router is stopping")
}

/// Returns the error for a request whose connection was dropped, for example because the caller reconnected.
fn stream_lost() -> CallerError {
    CallerError {
        kind: ErrorKind::StreamLost,
        outcome: RunOutcome::Unknown,
        retry_after: None,
        message: "the answer went to another connection or the router stopped".to_string(),
    }
}

impl CallerLink {
    /// Reports to the decision state that bytes were written to the caller.
    fn report_drained(&self, bytes: usize) {
        if let (Some(id), true) = (self.id(), bytes > 0) {
            self.context()
                .event_loop
                .send_event(RouterEvent::CallerDrained { id, bytes: bytes as u64 });
        }
    }
}
