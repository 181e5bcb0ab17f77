//! The callers' side of HTTP: a request goes in, the answer comes out as a stream or in one piece.

mod caller;
mod failure;
mod stream;
mod whole;

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
    core::{CoreHandle, CoreInput},
    intake::{self, EnginePath, IntakeHead},
    telemetry::NodeTelemetry,
};

pub(crate) use failure::error_response;

use caller::CallerLink;
use failure::error_body;
use stream::ReplyStream;
use whole::WholeAnswer;

/// What all threads for callers share.
pub(crate) struct CallerContext {
    pub(crate) core: CoreHandle,
    pub(crate) telemetry: Arc<NodeTelemetry>,
    pub(crate) connections: AtomicU64,
    pub(crate) max_body_bytes: usize,
}

/// The head of an answer before any of its bytes are sent.
struct AnswerHead {
    status: u16,
    content_type: String,
}

/// Takes any request of a caller that isn't for the daemon itself.
pub(crate) async fn relay(
    request: HttpRequest,
    payload: web::Payload,
    context: web::Data<CallerContext>,
) -> HttpResponse {
    context.telemetry.count("caller.requests");
    match take_request(&request, payload, &context).await {
        Ok((link, stream, engine)) => answer(link, stream, engine).await,
        Err(error) => {
            context.telemetry.caller_error(error.kind);
            error_response(&error, None)
        }
    }
}

/// Answers `GET /v1/models`.
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
    if !context.core.send(CoreInput::Models(key, answer)) {
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
        Ok(None) => error_response(&failure::plain_error(kind, "no valid key"), None),
        Err(_) => error_response(&not_ready(), None),
    }
}

async fn take_request(
    request: &HttpRequest,
    payload: web::Payload,
    context: &web::Data<CallerContext>,
) -> intake::Result<(CallerLink, bool, Option<EnginePath>)> {
    let head = IntakeHead {
        method: request.method(),
        path: request.uri().path(),
        query: request.uri().query().unwrap_or(""),
        headers: request.headers(),
    };
    let key = intake::check_head(head)?;
    let announced = request.headers().get(CONTENT_LENGTH);
    let announced = announced.and_then(|value| value.to_str().ok()?.parse().ok()).unwrap_or(0);
    if announced > context.max_body_bytes {
        return Err(too_large(context.max_body_bytes));
    }
    let body = read_body(payload, announced, context.max_body_bytes).await?;
    let (mut arrival, mut intake) = intake::read_request(head, key, body)?;
    let connection = context.connections.fetch_add(1, Ordering::Relaxed);
    arrival.connection = connection;
    let stream = arrival.stream;
    let engine = intake.engine().map(|body| body.path);
    let span = context.telemetry.begin_request(intake.trace);
    intake.trace = span.context().or(intake.trace);
    let (caller, items) = unbounded_channel();
    let link = CallerLink::new(context.clone().into_inner(), connection, items, span);
    if !context.core.send(CoreInput::Arrive { arrival, request: Arc::new(intake), caller }) {
        return Err(not_ready());
    }
    Ok((link, stream, engine))
}

async fn read_body(
    mut payload: web::Payload,
    announced: usize,
    limit: usize,
) -> intake::Result<Bytes> {
    let mut whole: Option<BytesMut> = None;
    let mut first: Option<Bytes> = None;
    let mut size = 0;
    while let Some(part) = payload.next().await {
        let part = part.map_err(|_| intake::invalid("the body broke off or is malformed"))?;
        size += part.len();
        if size > limit {
            return Err(too_large(limit));
        }
        // Most bodies come in one part, which is kept as it is.
        match (&mut whole, first.take()) {
            (Some(whole), _) => whole.extend_from_slice(&part),
            (None, None) => first = Some(part),
            (None, Some(start)) => {
                let mut joined = BytesMut::with_capacity(announced.max(size));
                joined.extend_from_slice(&start);
                joined.extend_from_slice(&part);
                whole = Some(joined);
            }
        }
    }
    Ok(whole.map(BytesMut::freeze).or(first).unwrap_or_default())
}

/// Waits for the first part of the answer, so that a failure before it has an HTTP status of its own.
async fn answer(mut link: CallerLink, stream: bool, engine: Option<EnginePath>) -> HttpResponse {
    let mut head: Option<AnswerHead> = None;
    loop {
        let Some(reply) = link.next().await else {
            return link.error_response(&lost());
        };
        match reply {
            CallerReply::Header { status, content_type } => {
                head = Some(AnswerHead { status, content_type });
            }
            CallerReply::Failed(error) => return link.error_response(&error),
            first => {
                link.first_part();
                let passes_through =
                    engine.is_none() || matches!(first, CallerReply::Data(_)) || bad(&head);
                return match engine {
                    Some(path) if !passes_through && !stream => {
                        WholeAnswer::new(path).collect(link, first).await
                    }
                    _ => stream_response(link, first, head, passes_through),
                };
            }
        }
    }
}

fn bad(head: &Option<AnswerHead>) -> bool {
    head.as_ref().is_some_and(|head| head.status != 200)
}

fn stream_response(
    link: CallerLink,
    first: CallerReply,
    head: Option<AnswerHead>,
    passes_through: bool,
) -> HttpResponse {
    let status = head.as_ref().map_or(200, |head| head.status);
    let content_type = match head {
        Some(head) if passes_through => head.content_type,
        _ => "text/event-stream".to_string(),
    };
    let mut response =
        HttpResponse::build(StatusCode::from_u16(status).unwrap_or(StatusCode::BAD_GATEWAY));
    if !content_type.is_empty() {
        response.insert_header((CONTENT_TYPE, content_type));
    }
    link.insert_id(&mut response);
    if !passes_through {
        response.insert_header(("cache-control", "no-cache"));
    }
    response.streaming(ReplyStream::new(link, first))
}

fn too_large(limit: usize) -> CallerError {
    intake::invalid(format!("the body has more than {limit} bytes"))
}

fn not_ready() -> CallerError {
    failure::plain_error(ErrorKind::NotReady, "the router is stopping")
}

/// The error of a request whose connection the core let go, for instance because the caller returned elsewhere.
fn lost() -> CallerError {
    CallerError {
        kind: ErrorKind::StreamLost,
        outcome: RunOutcome::Unknown,
        retry_after: None,
        message: "the answer went to another connection or the router stopped".to_string(),
    }
}

impl CallerLink {
    /// Tells the core that bytes left the buffer.
    fn drained(&self, bytes: usize) {
        if let (Some(id), true) = (self.id(), bytes > 0) {
            self.context().core.event(RouterEvent::CallerDrained { id, bytes: bytes as u64 });
        }
    }
}
