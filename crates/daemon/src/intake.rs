//! Parsing and sanitizing of a caller's request before any decision is made about it.
//!
//! The caller's key is hashed immediately and removed from every part of the request, so nothing that is stored or sent
//! to a target contains it. All parsing is bounded, because callers may send arbitrary input.

mod body;
mod headers;
mod secret;

use actix_web::http::{
    Method,
    header::{HOST, HeaderMap, HeaderName, HeaderValue},
};
use bytes::Bytes;
use godwitroad_config::KeyHash;
use godwitroad_router::{CallerError, ErrorKind, RequestArrival, RequestDigest, RunOutcome};

pub use body::{EngineBody, EngineOverrides, EnginePath};
pub use headers::TraceParent;
pub use secret::CallerKey;

/// The result of parsing a request.
pub type Result<T> = std::result::Result<T, CallerError>;

/// The head of a request as received.
#[derive(Clone, Copy, Debug)]
pub struct RequestHead<'a> {
    /// The HTTP method.
    pub method: &'a Method,
    /// The path, still percent-encoded.
    pub path: &'a str,
    /// The query, still percent-encoded; empty if there is none.
    pub query: &'a str,
    /// All headers.
    pub headers: &'a HeaderMap,
}

/// A request without its caller's key, ready to be sent to any target.
#[derive(Debug)]
pub struct CallerRequest {
    /// The HTTP method.
    pub method: Method,
    /// The path and the remaining query.
    pub target: String,
    /// The headers that are forwarded to a plain service.
    pub headers: Vec<(HeaderName, HeaderValue)>,
    /// The body.
    pub body: RequestBody,
    /// The caller's trace context.
    pub trace: Option<TraceParent>,
}

/// The body of a request.
#[derive(Debug)]
pub enum RequestBody {
    /// The body of a request to a model engine.
    Engine(EngineBody),
    /// The body of a request to a plain service.
    Plain(Bytes),
}

impl CallerRequest {
    /// Returns the body if the request goes to a model engine.
    pub fn engine(&self) -> Option<&EngineBody> {
        match &self.body {
            RequestBody::Engine(body) => Some(body),
            RequestBody::Plain(_) => None,
        }
    }
}

/// Validates the head of a request before its body is read; returns the caller's key.
///
/// # Errors
///
/// Returns `request_invalid` for headers that are too large or that two servers could interpret differently.
pub fn validate_head(head: RequestHead<'_>) -> Result<Option<CallerKey>> {
    headers::validate_headers(head.headers)?;
    let key = headers::caller_key(head.headers)?;
    if let Some(key) = &key {
        key.reject_key_in_path(head.path)?;
    }
    Ok(key)
}

/// Parses a request whose head was validated; the key is dropped when this function returns.
///
/// # Errors
///
/// Returns `request_invalid` for a body or a header that cannot be parsed or from which the key cannot be removed.
pub fn parse_request(
    head: RequestHead<'_>,
    key: Option<CallerKey>,
    body: Bytes,
) -> Result<(RequestArrival, CallerRequest)> {
    let (key, received) = (key.as_ref(), body.clone());
    let options = headers::parse_options(head.headers, key)?;
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
            // A reconnecting caller needs no body: its stream either exists or is lost.
            arrival.stream = true;
            RequestBody::Engine(EngineBody::empty(path))
        }
        Some(_) if head.method != Method::POST => return Err(invalid("use POST")),
        Some(path) => RequestBody::Engine(EngineBody::read(path, &body, key, &mut arrival)?),
        None => RequestBody::Plain(secret::remove_key_from_body(key, head.headers, body)?),
    };
    let query = key.map_or_else(|| head.query.to_string(), |key| key.remove_from_query(head.query));
    let target =
        if query.is_empty() { head.path.to_string() } else { format!("{}?{query}", head.path) };
    let host = head.headers.get(HOST).and_then(|host| host.to_str().ok()).unwrap_or("");
    arrival.digest = Some(RequestDigest::new(head.method.as_str(), host, &target, &received));
    let request = CallerRequest {
        method: head.method.clone(),
        target,
        headers: headers::forwarded_headers(head.headers, key),
        body,
        trace: headers::parse_trace_parent(head.headers),
    };
    Ok((arrival, request))
}

/// Returns the error of a request that is refused because of its contents.
pub(crate) fn invalid(message: impl Into<String>) -> CallerError {
    CallerError {
        kind: ErrorKind::RequestInvalid,
        outcome: RunOutcome::NotRun,
        retry_after: None,
        message: message.into(),
    }
}

/// Returns the hash of the caller's key, for endpoints that need nothing else of the request.
pub(crate) fn key_hash(headers: &HeaderMap) -> Result<Option<KeyHash>> {
    Ok(headers::caller_key(headers)?.map(|key| key.hash()))
}
