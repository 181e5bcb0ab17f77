//! Reads a caller's request, runs its attempts and produces the answer.

use std::{cell::Cell, rc::Rc};

use actix_web::{
    HttpRequest, HttpResponse,
    body::MessageBody,
    http::{StatusCode, Version},
    web,
};
use bytes::Bytes;
use godwitroad_base::ClockSpan;
use godwitroad_forward::{
    AnswerPhase, AttemptOutcome, CallerLimits, ForwardArrival, ForwardRefusal, ForwardRequest,
    NextStep,
};
use godwitroad_frontend::framing::{HOP_HEADERS, check_framing};
use http::{
    HeaderMap, HeaderName, HeaderValue, Method, Uri,
    header::{CONNECTION, CONTENT_LENGTH, EXPECT, HOST, TRANSFER_ENCODING},
};

use super::{
    attempt::{ActiveAttempt, CallerPayload, is_stream},
    body::read_body,
    errors::{error_response, refusal_response},
    handover::open_attempt,
    held::HeldAnswer,
    stream::{CallerStream, StreamBody},
};
use crate::{
    caller_activity::mark_end_by_close,
    caller_budget::HeldPart,
    client::{BodyFraming, BufferedBody, TargetExchange},
    core::SharedCore,
    platform::PlatformAdapter,
};

/// How long a request that takes up a stream waits for a peer to tell where it began. Peers tell it at once.
const ORIGIN_TIMEOUT: ClockSpan = ClockSpan::from_ms(100);
const ORIGIN_CHECK_INTERVAL: ClockSpan = ClockSpan::from_ms(20);

/// A request that is refused before it reaches the decision state: the status, the type in the error body, and the
/// reason for the log.
pub(super) struct UnreadableRequest {
    pub(super) status: u16,
    pub(super) kind: &'static str,
    pub(super) reason: String,
    pub(super) retry_after: Option<ClockSpan>,
}

impl UnreadableRequest {
    pub(super) fn new(status: u16, kind: &'static str, reason: String) -> UnreadableRequest {
        UnreadableRequest { status, kind, reason, retry_after: None }
    }
}

/// Handles a caller's request and returns the answer, whose body may still be streaming.
pub(crate) async fn answer<P: PlatformAdapter>(
    core: SharedCore<P>,
    request: HttpRequest,
    body: web::Payload,
) -> HttpResponse {
    core.metrics.count("requests.arrived", 1);
    let limits = core.read(|state| state.rules().map(|rules| rules.limits)).unwrap_or_default();
    let request_parts = match read_head(&core, &request, &limits) {
        Ok((mut arrival, mut payload)) => {
            let declared = declared_length(&request);
            read_body(body, declared, &limits, &core.caller_budget).await.map(|(body, held)| {
                (payload.body, payload.held) = (body, held);
                arrival.digest = payload.digest(&arrival.host);
                (arrival, payload)
            })
        }
        Err(unreadable) => Err(unreadable),
    };
    let (arrival, payload) = match request_parts {
        Ok(parts) => parts,
        Err(unreadable) => return refuse_unreadable(&core, &request, &unreadable),
    };
    let id = arrival.id.clone();
    let context = format!(
        " host={} path={} account={} tokens={:?}",
        arrival.host,
        arrival.path,
        core.read(|state| state.account_name(&arrival)).unwrap_or_else(|| "-".into()),
        arrival.tokens,
    );
    match core.admit(arrival) {
        Ok(admitted) => forward(&core, admitted, payload).await,
        Err(refusal) => refuse_request(&core, &id, &context, refusal),
    }
}

fn refuse_unreadable<P: PlatformAdapter>(
    core: &SharedCore<P>,
    request: &HttpRequest,
    unreadable: &UnreadableRequest,
) -> HttpResponse {
    let UnreadableRequest { status, kind, reason, retry_after } = unreadable;
    core.metrics.count("requests.unreadable", 1);
    let id = request.headers().get("x-request-id").and_then(|id| id.to_str().ok()).unwrap_or("");
    let detail = format!("status={status} type={kind} reason={reason}");
    core.log.request("request_unreadable", id, &detail);
    // The connection is closed because unread bytes of this request would be parsed as the next one.
    error_response(*status, kind, "not_run", id, retry_after.map(ClockSpan::as_ms), true)
}

// Returns the length of a request's body, or `None` if it comes in chunks. The framing is checked when the head is read.
fn declared_length(request: &HttpRequest) -> Option<usize> {
    if request.headers().contains_key(TRANSFER_ENCODING.as_str()) {
        return None;
    }
    let length = request.headers().get(CONTENT_LENGTH.as_str());
    length.map_or(Some(0), |length| length.to_str().ok()?.trim().parse().ok())
}

fn read_head<P: PlatformAdapter>(
    core: &SharedCore<P>,
    request: &HttpRequest,
    limits: &CallerLimits,
) -> std::result::Result<(ForwardArrival, CallerPayload), UnreadableRequest> {
    let invalid = |reason: String| UnreadableRequest::new(400, "invalid", reason);
    check_framing(request.headers()).map_err(|reason| invalid(reason.to_string()))?;
    let target = request.uri().path_and_query().map_or("/", |path| path.as_str());
    let bytes: usize =
        request.headers().iter().map(|(name, value)| name.as_str().len() + value.len() + 4).sum();
    if bytes + target.len() > limits.head_bytes {
        let reason = format!("the head is larger than {} bytes", limits.head_bytes);
        return Err(UnreadableRequest::new(431, "head_too_large", reason));
    }
    let mut headers = HeaderMap::with_capacity(request.headers().len());
    for (name, value) in request.headers() {
        let name = HeaderName::from_bytes(name.as_str().as_bytes());
        let value = HeaderValue::from_bytes(value.as_bytes());
        let (Ok(name), Ok(value)) = (name, value) else {
            return Err(invalid("a header has an invalid name or value".into()));
        };
        headers.append(name, value);
    }
    let mut arrival =
        core.platform.read_arrival(&headers).map_err(|error| invalid(error.to_string()))?;
    let host = headers.get(HOST).and_then(|host| host.to_str().ok());
    arrival.host =
        host.ok_or_else(|| invalid("`host` is missing or isn't text".into()))?.to_string();
    arrival.path = request.uri().path().to_string();
    remove_hop_headers(&mut headers);
    let method = Method::from_bytes(request.method().as_str().as_bytes());
    let method = method.map_err(|error| invalid(error.to_string()))?;
    let uri: Uri = target.parse().map_err(|error| invalid(format!("path: {error}")))?;
    let reads_chunks = request.version() > Version::HTTP_10;
    let (body, held) = (Bytes::new(), None);
    Ok((arrival, CallerPayload { method, uri, headers, body, reads_chunks, held }))
}

// Removes the hop-by-hop headers and the framing headers, which are set again for each connection.
fn remove_hop_headers(headers: &mut HeaderMap) {
    let connection_options: Vec<String> = headers
        .get_all(CONNECTION)
        .iter()
        .filter_map(|value| value.to_str().ok())
        .flat_map(|value| value.split(','))
        .map(|name| name.trim().to_ascii_lowercase())
        .collect();
    let is_listed = |name: &str| connection_options.iter().any(|option| option == name);
    for name in HOP_HEADERS.iter().copied().chain([CONTENT_LENGTH.as_str(), EXPECT.as_str()]) {
        headers.remove(name);
    }
    // A caller can't use `Connection` to remove end-to-end headers that routing depends on.
    let to_remove: Vec<HeaderName> = headers
        .keys()
        .filter(|name| {
            is_listed(name.as_str()) && **name != HOST && !name.as_str().starts_with("x-")
        })
        .cloned()
        .collect();
    for name in to_remove {
        headers.remove(name);
    }
}

async fn forward<P: PlatformAdapter>(
    core: &SharedCore<P>,
    mut request: ForwardRequest,
    payload: CallerPayload,
) -> HttpResponse {
    let payload = Rc::new(payload);
    // The last complete answer of an earlier attempt. It is preferred to an error answer of the router.
    let mut earlier_answer = None;
    await_origin(core, &request).await;
    loop {
        let plan = match core.choose_target(&mut request) {
            Ok(plan) => plan,
            Err(refusal) => {
                return final_response(core, &request, earlier_answer, refusal).await;
            }
        };
        let attempt = ActiveAttempt::new(core.clone(), request, plan);
        let resume = attempt.request().arrival.last_event;
        let (attempt, opened) = open_attempt(&payload, resume, false, attempt).await;
        let exchange = match opened {
            Ok(exchange) if is_stream(&exchange) => {
                match start_stream(attempt, exchange, payload.clone()).await {
                    Ok((first, stream)) => {
                        let head = stream.head().clone();
                        let body = StreamBody::new(first, stream);
                        return deliver(core, &head, body);
                    }
                    Err((returned, NextStep::Again)) => {
                        request = returned;
                        continue;
                    }
                    Err((returned, step)) => {
                        return response_after(core, &returned, earlier_answer, step).await;
                    }
                }
            }
            Ok(exchange) => Ok(exchange),
            Err(outcome) => Err(outcome),
        };
        let (returned, step, answer) = match exchange {
            Ok(exchange) => read_answer(core, attempt, exchange).await,
            Err(outcome) => {
                let (returned, step) = attempt.finish(outcome);
                (returned, step, None)
            }
        };
        request = returned;
        match (step, answer) {
            (NextStep::Deliver, Some(answer)) => return deliver_buffered(core, &request, answer),
            (_, answer) => earlier_answer = answer.or(earlier_answer),
        }
        if step != NextStep::Again {
            return response_after(core, &request, earlier_answer, step).await;
        }
    }
}

// Waits for a peer or the store to tell where the stream began that a request takes up, if another router has just begun it, or
// if this router may not know all versions of the targets' software.
async fn await_origin<P: PlatformAdapter>(core: &SharedCore<P>, request: &ForwardRequest) {
    let deadline = core.now() + ORIGIN_TIMEOUT;
    if core.update(|state| state.request_view(core.now(), request)) {
        core.check_store.notify_one();
    }
    while core.now() < deadline && core.read(|state| state.may_learn_origin(core.now(), request)) {
        core.sleep(ORIGIN_CHECK_INTERVAL).await;
    }
}

/// The status and the headers of a target's answer.
#[derive(Clone, Debug)]
pub(super) struct AnswerHead {
    status: http::StatusCode,
    headers: HeaderMap,
    pub(super) framing: BodyFraming,
}

impl AnswerHead {
    pub(super) fn from_exchange(exchange: &TargetExchange) -> AnswerHead {
        AnswerHead {
            status: exchange.status,
            headers: exchange.headers.clone(),
            framing: exchange.framing,
        }
    }

    /// Returns the head of a streamed answer for a caller; its framing is that of the caller's answer.
    pub(super) fn for_stream(exchange: &TargetExchange, payload: &CallerPayload) -> AnswerHead {
        let head = AnswerHead::from_exchange(exchange);
        if payload.reads_chunks {
            return head;
        }
        AnswerHead { framing: BodyFraming::Connection, ..head }
    }
}

/// An answer that was read to its end, with what it takes of the budget for callers.
struct BufferedAnswer {
    head: AnswerHead,
    body: BufferedBody,
    held: HeldPart,
}

async fn read_answer<P: PlatformAdapter>(
    core: &SharedCore<P>,
    attempt: ActiveAttempt<P>,
    mut exchange: TargetExchange,
) -> (ForwardRequest, NextStep, Option<BufferedAnswer>) {
    let Some(held) = core.caller_budget.take_answer(exchange.declared_length()).await else {
        return drop_answer(core, attempt, exchange);
    };
    let fits = Cell::new(true);
    let read = exchange.read_admitted(attempt.deadline(), |length| {
        fits.set(held.cover_answer(length));
        fits.get()
    });
    let read = attempt.before_answer_due(read).await;
    if !fits.get() {
        return drop_answer(core, attempt, exchange);
    }
    match read {
        Ok(body) => {
            let head = AnswerHead::from_exchange(&exchange);
            core.client.release(exchange);
            let status = head.status.as_u16();
            let (request, step) = attempt.finish(AttemptOutcome::Complete { status });
            (request, step, Some(BufferedAnswer { head, body, held }))
        }
        Err(error) => {
            drop(exchange);
            let outcome = attempt.outcome(error, AnswerPhase::Beginning);
            let (request, step) = attempt.finish(outcome);
            (request, step, None)
        }
    }
}

// Drops an answer that the budget for callers has no room for. Its target isn't at fault, and no other one would help.
fn drop_answer<P: PlatformAdapter>(
    core: &SharedCore<P>,
    attempt: ActiveAttempt<P>,
    exchange: TargetExchange,
) -> (ForwardRequest, NextStep, Option<BufferedAnswer>) {
    core.caller_budget.report_refusal("answers_over_budget");
    let status = exchange.status.as_u16();
    drop(exchange);
    let (request, _) = attempt.finish(AttemptOutcome::Complete { status });
    let refusal = ForwardRefusal::new(godwitroad_forward::RefusalReason::TargetFailed);
    (request, NextStep::End(refusal), None)
}

type StartedStream<P> = (Bytes, CallerStream<P>);

// Waits for the first event, so that a stream that fails before it can still be answered with an error status.
async fn start_stream<P: PlatformAdapter>(
    attempt: ActiveAttempt<P>,
    exchange: TargetExchange,
    payload: Rc<CallerPayload>,
) -> std::result::Result<StartedStream<P>, (ForwardRequest, NextStep)> {
    let core = attempt.core().clone();
    let (id, arrived) = (attempt.request().arrival.id.clone(), attempt.request().arrived);
    let mut stream = CallerStream::new(attempt, exchange, payload);
    match stream.next().await {
        Ok(first) => {
            let elapsed = core.now().since(arrived).as_ms();
            core.metrics.record("streams.first_event_ms", elapsed);
            core.log.request("stream_began", &id, &format!("elapsed_ms={elapsed}"));
            Ok((first.unwrap_or_default(), stream))
        }
        Err(_) => Err(stream.take_failure().expect("a broken stream has a failure")),
    }
}

// Delivers an answer. If only the end of the connection marks the end of the target's answer, the answer may be cut, so it
// is passed on in the same way rather than with a length or chunks that would declare it complete. The caller's connection
// is reset if the answer doesn't reach its end here.
fn deliver<P: PlatformAdapter>(
    core: &SharedCore<P>,
    head: &AnswerHead,
    body: impl MessageBody + 'static,
) -> HttpResponse {
    let status = StatusCode::from_u16(head.status.as_u16()).unwrap_or(StatusCode::BAD_GATEWAY);
    let mut response = HttpResponse::build(status);
    for (name, value) in &head.headers {
        let is_connection_specific =
            HOP_HEADERS.contains(&name.as_str()) || *name == CONTENT_LENGTH;
        if !is_connection_specific {
            response.append_header((name.as_str(), value.as_bytes()));
        }
    }
    let is_unframed = head.framing == BodyFraming::Connection;
    if core.is_stopping() || is_unframed {
        response.force_close();
    }
    if is_unframed && let Err(error) = mark_end_by_close() {
        core.log.warn("reset_at_close_not_set", &format!("error={error}"));
    }
    let mut response = response.body(body);
    response.head_mut().no_chunking(is_unframed);
    response
}

// Delivers an answer that was read to its end. It keeps its part of the budget until the caller has read it.
fn deliver_buffered<P: PlatformAdapter>(
    core: &SharedCore<P>,
    request: &ForwardRequest,
    answer: BufferedAnswer,
) -> HttpResponse {
    let BufferedAnswer { head, body, held } = answer;
    log_answer(core, request, &head);
    let is_unframed = head.framing == BodyFraming::Connection;
    deliver(core, &head, HeldAnswer::new(body.bytes, held, is_unframed))
}

async fn response_after<P: PlatformAdapter>(
    core: &SharedCore<P>,
    request: &ForwardRequest,
    earlier_answer: Option<BufferedAnswer>,
    step: NextStep,
) -> HttpResponse {
    let reason = godwitroad_forward::RefusalReason::TargetFailed;
    let refusal = match step {
        NextStep::End(refusal) => refusal,
        NextStep::Again | NextStep::Deliver => ForwardRefusal::new(reason),
    };
    final_response(core, request, earlier_answer, refusal).await
}

async fn final_response<P: PlatformAdapter>(
    core: &SharedCore<P>,
    request: &ForwardRequest,
    earlier_answer: Option<BufferedAnswer>,
    refusal: ForwardRefusal,
) -> HttpResponse {
    if let Some(answer) = earlier_answer {
        return deliver_buffered(core, request, answer);
    }
    let context = format!(
        " route={} service={} account={} units={} offers={} elapsed_ms={}",
        request.route.name,
        request.service,
        request.account.as_ref().map_or("-", |account| account.name.as_str()),
        request.units,
        request.tried.len(),
        core.now().since(request.arrived).as_ms(),
    );
    refuse_request(core, &request.arrival.id, &context, refusal)
}

fn log_answer<P: PlatformAdapter>(
    core: &SharedCore<P>,
    request: &ForwardRequest,
    head: &AnswerHead,
) {
    let elapsed = core.now().since(request.arrived).as_ms();
    core.metrics.record("requests.total_ms", elapsed);
    let late = elapsed > request.route.objective.as_ms();
    let detail = format!(
        "status={} framing={} late={late} service={} attempts={} elapsed_ms={elapsed}",
        head.status.as_u16(),
        head.framing.name(),
        request.service,
        request.attempts
    );
    core.log.request("request_answered", &request.arrival.id, &detail);
}

fn refuse_request<P: PlatformAdapter>(
    core: &SharedCore<P>,
    id: &str,
    context: &str,
    refusal: ForwardRefusal,
) -> HttpResponse {
    let reason = refusal.reason;
    core.metrics.count(&format!("requests.refused.{}", reason.name()), 1);
    let now = core.now();
    let (version, proof, members) = core.read(|state| {
        let version = state.config_version();
        (version, state.proof_age(now).map(|age| age.as_ms()), state.member_count())
    });
    let detail = format!(
        "status={} reason={} retry_after_ms={:?} config_version={version} proof_age_ms={proof:?} members={members}{context}",
        reason.status(),
        reason.name(),
        refusal.retry_after.map(|wait| wait.as_ms()),
    );
    core.log.request("request_refused", id, &detail);
    refusal_response(id, refusal, core.is_stopping())
}
