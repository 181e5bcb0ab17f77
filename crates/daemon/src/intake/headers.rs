//! The headers of a caller's request.

use std::fmt;

use actix_web::http::header::{
    ACCEPT_ENCODING, AUTHORIZATION, CONNECTION, CONTENT_LENGTH, CONTENT_TYPE, COOKIE, EXPECT, HOST,
    HeaderMap, HeaderName, HeaderValue, PROXY_AUTHENTICATE, PROXY_AUTHORIZATION, TE, TRAILER,
    TRANSFER_ENCODING, UPGRADE,
};
use godwitroad_base::ClockSpan;
use godwitroad_config::PriorityClass;
use godwitroad_frontend::framing::check_framing;

use super::{CallerKey, Result, invalid};

/// The maximum number of header lines of a request.
const MAX_HEADERS: usize = 64;

/// The maximum total length of all header names and values.
const MAX_TOTAL_HEADER_BYTES: usize = 32 << 10;

/// The maximum length of a key; longer ones are refused without being hashed.
const MAX_KEY_BYTES: usize = 512;

/// The maximum length of an idempotency key.
const MAX_IDEMPOTENCY_KEY_BYTES: usize = 256;

/// The maximum length of an event id; ids of this router have 32 hexadecimal digits, a dash and a number.
const MAX_EVENT_ID_BYTES: usize = 64;

/// The maximum deadline that a caller may request: one day.
const MAX_DEADLINE_MS: u64 = 86_400_000;

/// Headers that are not forwarded to targets, besides those named by `Connection`.
const NOT_FORWARDED: [HeaderName; 14] = [
    // `Accept-Encoding` is dropped because the router does not forward `Content-Encoding`.
    ACCEPT_ENCODING,
    AUTHORIZATION,
    CONNECTION,
    CONTENT_LENGTH,
    COOKIE,
    EXPECT,
    HOST,
    PROXY_AUTHENTICATE,
    PROXY_AUTHORIZATION,
    TE,
    TRAILER,
    TRANSFER_ENCODING,
    UPGRADE,
    HeaderName::from_static("keep-alive"),
];

/// More headers that are not forwarded: those that could carry a key and those that the router sets itself.
const NOT_FORWARDED_NAMES: [&str; 12] = [
    "api-key",
    "idempotency-key",
    "last-event-id",
    "proxy-connection",
    "traceparent",
    "tracestate",
    "x-api-key",
    "x-attempt",
    "x-deadline-ms",
    "x-priority",
    "x-request-id",
    "x-not-run",
];

/// A caller's trace context (W3C Trace Context, version 00).
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct TraceParent {
    /// The trace id; never zero.
    pub trace: u128,
    /// The id of the caller's span; never zero.
    pub span: u64,
    /// Whether the caller records the trace.
    pub sampled: bool,
}

/// The request options that callers set by headers.
#[derive(Debug, Default)]
pub(super) struct CallerOptions {
    pub(super) priority: Option<PriorityClass>,
    pub(super) deadline: Option<ClockSpan>,
    pub(super) idempotency_key: Option<String>,
    pub(super) last_event_id: Option<String>,
}

impl TraceParent {
    /// Parses a `traceparent` header; a malformed one returns `None` and is ignored.
    pub fn parse(text: &str) -> Option<TraceParent> {
        let mut parts = text.split('-');
        let (version, trace) = (parts.next()?, parts.next()?);
        let (span, flags) = (parts.next()?, parts.next()?);
        let is_hex = |part: &str, length: usize| {
            part.len() == length
                && part.bytes().all(|byte| matches!(byte, b'0'..=b'9' | b'a'..=b'f'))
        };
        let well_formed = is_hex(version, 2)
            && version != "ff"
            && (version != "00" || parts.next().is_none())
            && is_hex(trace, 32)
            && is_hex(span, 16)
            && is_hex(flags, 2);
        if !well_formed {
            return None;
        }
        let trace = u128::from_str_radix(trace, 16).ok().filter(|&trace| trace != 0)?;
        let span = u64::from_str_radix(span, 16).ok().filter(|&span| span != 0)?;
        let flags = u8::from_str_radix(flags, 16).ok()?;
        Some(TraceParent { trace, span, sampled: flags & 1 == 1 })
    }
}

impl fmt::Display for TraceParent {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            formatter,
            "00-{:032x}-{:016x}-{:02x}",
            self.trace,
            self.span,
            u8::from(self.sampled)
        )
    }
}

/// Refuses headers that are too large, or that this router and another server could interpret differently.
pub(super) fn validate_headers(headers: &HeaderMap) -> Result<()> {
    let bytes: usize = headers.iter().map(|(name, value)| name.as_str().len() + value.len()).sum();
    if headers.iter().count() > MAX_HEADERS || bytes > MAX_TOTAL_HEADER_BYTES {
        return Err(invalid("the headers are too large"));
    }
    check_framing(headers).map_err(invalid)?;
    // Some servers treat an underscore as a dash, so such a name could pass for a framing or identity header.
    if headers.keys().any(|name| name.as_str().contains('_')) {
        return Err(invalid("a header name holds an underscore"));
    }
    Ok(())
}

/// Returns the key in the `Authorization` header.
pub(super) fn caller_key(headers: &HeaderMap) -> Result<Option<CallerKey>> {
    let Some(value) = headers.get(AUTHORIZATION) else { return Ok(None) };
    let malformed = || invalid("`authorization` must be `Bearer` and a key");
    let text = value.to_str().map_err(|_| malformed())?;
    let (scheme, secret) = text.split_once(' ').ok_or_else(malformed)?;
    let secret = secret.trim();
    if !scheme.eq_ignore_ascii_case("bearer") || secret.len() > MAX_KEY_BYTES {
        return Err(malformed());
    }
    CallerKey::new(secret).map(Some).ok_or_else(malformed)
}

/// Parses the request options in the headers.
pub(super) fn parse_options(headers: &HeaderMap, key: Option<&CallerKey>) -> Result<CallerOptions> {
    let priority = single_value(headers, "x-priority")?
        .map(|text| match text {
            "interactive" => Ok(PriorityClass::Interactive),
            "batch" => Ok(PriorityClass::Batch),
            "overnight" => Ok(PriorityClass::Overnight),
            _ => Err(invalid("`x-priority` must be interactive, batch or overnight")),
        })
        .transpose()?;
    let deadline = single_value(headers, "x-deadline-ms")?
        .map(|text| {
            let ms = text.parse::<u64>().ok().filter(|ms| (1..=MAX_DEADLINE_MS).contains(ms));
            ms.map(ClockSpan::from_ms).ok_or_else(|| {
                invalid(format!("`x-deadline-ms` must be a number from 1 to {MAX_DEADLINE_MS}"))
            })
        })
        .transpose()?;
    Ok(CallerOptions {
        priority,
        deadline,
        idempotency_key: bounded_text(headers, "idempotency-key", MAX_IDEMPOTENCY_KEY_BYTES, key)?,
        last_event_id: bounded_text(headers, "last-event-id", MAX_EVENT_ID_BYTES, key)?,
    })
}

/// Returns the headers that are forwarded to a plain service.
pub(super) fn forwarded_headers(
    headers: &HeaderMap,
    key: Option<&CallerKey>,
) -> Vec<(HeaderName, HeaderValue)> {
    let connection_options: Vec<String> = headers
        .get_all(CONNECTION)
        .filter_map(|value| value.to_str().ok())
        .flat_map(|value| value.split(','))
        .map(|name| name.trim().to_ascii_lowercase())
        .collect();
    let is_forwarded = |name: &HeaderName, value: &HeaderValue| {
        let is_hop_header = NOT_FORWARDED.contains(name)
            || NOT_FORWARDED_NAMES.contains(&name.as_str())
            || (name != CONTENT_TYPE
                && connection_options.iter().any(|option| option == name.as_str()));
        let contains_key = key.is_some_and(|key| {
            key.occurs_in_bytes(value.as_bytes())
                || key.occurs_in(name.as_str())
                || key.occurs_in(&percent_decoded_text(value))
        });
        !is_hop_header && !contains_key
    };
    headers
        .iter()
        .filter(|(name, value)| is_forwarded(name, value))
        .map(|(name, value)| (name.clone(), value.clone()))
        .collect()
}

/// Returns the caller's trace context.
pub(super) fn parse_trace_parent(headers: &HeaderMap) -> Option<TraceParent> {
    TraceParent::parse(headers.get("traceparent")?.to_str().ok()?)
}

/// Returns a header value with percent-escapes decoded, so that an escaped key is found.
fn percent_decoded_text(value: &HeaderValue) -> String {
    String::from_utf8_lossy(&super::secret::percent_decoded_bytes(value.as_bytes())).into_owned()
}

/// Returns a header that may occur at most once.
fn single_value<'a>(headers: &'a HeaderMap, name: &str) -> Result<Option<&'a str>> {
    let mut values = headers.get_all(name);
    let Some(value) = values.next() else { return Ok(None) };
    if values.next().is_some() {
        return Err(invalid(format!("`{name}` comes twice")));
    }
    value.to_str().map(Some).map_err(|_| invalid(format!("`{name}` isn't text")))
}

/// Returns a header value of at most `limit` bytes that does not contain the caller's key.
fn bounded_text(
    headers: &HeaderMap,
    name: &str,
    limit: usize,
    key: Option<&CallerKey>,
) -> Result<Option<String>> {
    let Some(text) = single_value(headers, name)? else { return Ok(None) };
    if text.is_empty() || text.len() > limit {
        return Err(invalid(format!("`{name}` must have 1 to {limit} bytes")));
    }
    if key.is_some_and(|key| key.occurs_in(text)) {
        return Err(invalid(format!("`{name}` holds the caller's key")));
    }
    Ok(Some(text.to_string()))
}
