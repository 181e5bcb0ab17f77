//! What becomes of a caller's request before anything decides on it.
//!
//! The caller's key is hashed at once and removed from every place in which it came; what is kept here and may
//! reach a target no longer holds it. Everything is parsed under bounds, because callers may send anything.

mod body;
mod headers;
mod secret;

use actix_web::http::{
    Method,
    header::{HeaderMap, HeaderName, HeaderValue},
};
use bytes::Bytes;
use godwitroad_config::KeyHash;
use godwitroad_router::{CallerError, ErrorKind, RequestArrival, RunOutcome};

pub use body::{EngineBody, EngineOverrides, EnginePath};
pub use headers::TraceParent;
pub use secret::CallerKey;

/// The result of reading a request.
pub type Result<T> = std::result::Result<T, CallerError>;

/// The head of a request as it came.
#[derive(Clone, Copy, Debug)]
pub struct IntakeHead<'a> {
    /// The method.
    pub method: &'a Method,
    /// The path, not decoded.
    pub path: &'a str,
    /// The query, not decoded; empty if there is none.
    pub query: &'a str,
    /// The headers.
    pub headers: &'a HeaderMap,
}

/// A request without its caller's key, ready to be sent to any target.
#[derive(Debug)]
pub struct IntakeRequest {
    /// The method.
    pub method: Method,
    /// The path and the query that is left.
    pub target: String,
    /// The headers that a plain service may see.
    pub headers: Vec<(HeaderName, HeaderValue)>,
    /// The body.
    pub body: IntakeBody,
    /// The trace of the hop before this one.
    pub trace: Option<TraceParent>,
}

/// The body of a request.
#[derive(Debug)]
pub enum IntakeBody {
    /// The body of a request to a model engine.
    Engine(EngineBody),
    /// The body of a request to a plain service.
    Plain(Bytes),
}

impl IntakeRequest {
    /// Returns the engine body, if the path is one of an engine.
    pub fn engine(&self) -> Option<&EngineBody> {
        match &self.body {
            IntakeBody::Engine(body) => Some(body),
            IntakeBody::Plain(_) => None,
        }
    }
}

/// Checks the head of a request before its body is read; returns the caller's key.
///
/// # Errors
///
/// Returns `request_invalid` for headers that are too large or that two servers could read differently.
pub fn check_head(head: IntakeHead<'_>) -> Result<Option<CallerKey>> {
    headers::check_headers(head.headers)?;
    let key = headers::caller_key(head.headers)?;
    if let Some(key) = &key {
        key.check_path(head.path)?;
    }
    Ok(key)
}

/// Reads a whole request whose head is checked; the key isn't kept beyond this call.
///
/// # Errors
///
/// Returns `request_invalid` for a body or a header that can't be read, or that can't be freed of the key.
pub fn read_request(
    head: IntakeHead<'_>,
    key: Option<CallerKey>,
    body: Bytes,
) -> Result<(RequestArrival, IntakeRequest)> {
    let key = key.as_ref();
    let options = headers::read_options(head.headers, key)?;
    let mut arrival = RequestArrival {
        path: head.path.to_string(),
        key: key.map(CallerKey::hash),
        priority: options.priority,
        deadline: options.deadline,
        idempotency_key: options.idempotency_key,
        last_event_id: options.last_event_id,
        ..Default::default()
    };
    let body = match EnginePath::of(head.path) {
        Some(path) if body.is_empty() && arrival.last_event_id.is_some() => {
            // A returning caller needs no body: the stream that it asks for exists or is lost.
            arrival.stream = true;
            IntakeBody::Engine(EngineBody::empty(path))
        }
        Some(_) if head.method != Method::POST => return Err(invalid("use POST")),
        Some(path) => IntakeBody::Engine(EngineBody::read(path, &body, key, &mut arrival)?),
        None => IntakeBody::Plain(secret::clean_plain(key, head.headers, body)?),
    };
    let query = key.map_or_else(|| head.query.to_string(), |key| key.clean_query(head.query));
    let target =
        if query.is_empty() { head.path.to_string() } else { format!("{}?{query}", head.path) };
    let request = IntakeRequest {
        method: head.method.clone(),
        target,
        headers: headers::end_to_end(head.headers, key),
        body,
        trace: headers::trace_parent(head.headers),
    };
    Ok((arrival, request))
}

/// Returns the error of a request that is refused for what it holds.
pub(crate) fn invalid(message: impl Into<String>) -> CallerError {
    CallerError {
        kind: ErrorKind::RequestInvalid,
        outcome: RunOutcome::NotRun,
        retry_after: None,
        message: message.into(),
    }
}

/// The hash of a key, for requests whose key is all that matters.
pub(crate) fn key_hash(headers: &HeaderMap) -> Result<Option<KeyHash>> {
    Ok(headers::caller_key(headers)?.map(|key| key.hash()))
}
