//! Protection against HTTP request smuggling.
//!
//! If two servers disagree on where a request ends, its body can carry a second request past the first server.
//! Requests with ambiguous framing are therefore refused, and a router sets the framing of every request that it
//! forwards itself.

use actix_web::http::header::{
    AUTHORIZATION, CONTENT_LENGTH, HOST, HeaderMap, HeaderName, TRANSFER_ENCODING, UPGRADE,
};

/// A `Result` whose error describes the ambiguity.
pub type Result<T> = std::result::Result<T, &'static str>;

/// The hop-by-hop headers: they apply to a single connection and are not forwarded. A `Connection` header can list
/// more.
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

/// Checks that every server reads the framing, the host and the credentials of a request in the same way.
///
/// # Errors
///
/// Returns a description of the ambiguity.
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
