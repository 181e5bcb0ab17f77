//! Checks that a caller's request can be read in one way only.
//!
//! A request that two servers frame differently can hide a second one inside its body. What is ambiguous is refused,
//! and a router always frames what it sends on by itself.

use actix_web::http::header::{
    AUTHORIZATION, CONTENT_LENGTH, HOST, HeaderMap, HeaderName, TRANSFER_ENCODING, UPGRADE,
};

/// A `Result` whose error says what is ambiguous.
pub type Result<T> = std::result::Result<T, &'static str>;

/// The names of headers that concern one connection only, besides those that `Connection` names.
pub const HOP_HEADERS: [&str; 9] = [
    "connection",
    "keep-alive",
    "proxy-authenticate",
    "proxy-authorization",
    "proxy-connection",
    "te",
    "trailer",
    "transfer-encoding",
    "upgrade",
];

/// Refuses headers that this router and another server could read differently.
///
/// # Errors
///
/// Returns what is ambiguous.
pub fn check_framing(headers: &HeaderMap) -> Result<()> {
    let count = |name: HeaderName| headers.get_all(name).count();
    let framed_twice = count(CONTENT_LENGTH) > 1
        || count(TRANSFER_ENCODING) > 1
        || (count(CONTENT_LENGTH) > 0 && count(TRANSFER_ENCODING) > 0);
    if framed_twice {
        return Err("the length of the body is given twice");
    }
    let chunked = headers.get(TRANSFER_ENCODING).is_none_or(|value| value == "chunked");
    if !chunked {
        return Err("the transfer encoding isn't `chunked`");
    }
    if count(AUTHORIZATION) > 1 || count(HOST) > 1 || headers.contains_key(UPGRADE) {
        return Err("`authorization` or `host` comes twice, or `upgrade` is asked for");
    }
    Ok(())
}
