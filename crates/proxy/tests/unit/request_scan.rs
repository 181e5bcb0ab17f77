//! Tests of the ends of requests, in bytes that arrive in parts of any size.

use actix_http::{Request, RequestHead};
use actix_web::http::{
    Method,
    header::{CONTENT_LENGTH, HeaderName, HeaderValue, TRANSFER_ENCODING, UPGRADE},
};
use yare::parameterized;

use super::{BodyScanner, RequestPosition};

// Splits `text` where `position` sees an end, and gives it at most `part` bytes at a time.
fn ends(mut position: RequestPosition, text: &[u8], part: usize) -> Vec<usize> {
    let (mut ends, mut start) = (Vec::new(), 0);
    while start < text.len() {
        let end = text.len().min(start + part);
        let was_body = matches!(position, RequestPosition::Body(_));
        let taken = position.take(&text[start..end]);
        start += taken;
        let is_new = matches!(&position, RequestPosition::Head(head) if head.length == 0);
        if is_new {
            ends.push(start);
        }
        if was_body && is_new {
            break;
        }
    }
    ends
}

#[parameterized(
    carriage_returns = { b"GET / HTTP/1.1\r\nHost: a\r\n\r\n" },
    line_feeds = { b"GET / HTTP/1.1\nHost: a\n\n" },
    mixed = { b"GET / HTTP/1.1\r\nHost: a\n\r\n" },
    empty_lines_before = { b"\r\n\n\r\nGET / HTTP/1.1\r\n\r\n" },
    no_headers = { b"GET / HTTP/1.1\r\n\r\n" },
    carriage_return_inside = { b"GET / HTTP/1.1\r\nA: \r \r\nB:\r\n\r\n" },
)]
fn a_head_ends_after_its_empty_line(head: &[u8]) {
    let text = [head, head, b"GET /"].concat();
    for part in 1..text.len() {
        let found = ends(RequestPosition::default(), &text, part);
        assert_eq!(found, [head.len(), head.len() * 2], "in parts of {part}");
    }
}

#[parameterized(
    one_chunk = { b"3\r\nabc\r\n0\r\n\r\n" },
    line_feeds_in_data = { b"4\r\n\n\n\r\n\r\n0\r\n\r\n" },
    hexadecimal = { b"0A\r\n0123456789\r\n00\r\n\r\n" },
    extensions = { b"3;a=0\r\nabc\r\n0 ;b=\"c\"\r\n\r\n" },
    trailers = { b"1\r\n\n\r\n0\r\nX-A: 1\r\nX-B: 2\r\n\r\n" },
    no_chunks = { b"0\r\n\r\n" },
)]
fn a_body_in_chunks_ends_after_its_trailers(body: &[u8]) {
    let text = [body, b"\r\nGET / HTTP/1.1\r\n"].concat();
    for part in 1..text.len() {
        let position = RequestPosition::before(BodyScanner::Chunked(Default::default()));
        assert_eq!(ends(position, &text, part), [body.len()], "in parts of {part}");
    }
}

#[test]
fn a_body_with_a_length_ends_after_it() {
    for part in 1..8 {
        let position = RequestPosition::before(BodyScanner::Length(5));
        assert_eq!(position.known_length(3), Some(3));
        assert_eq!(ends(position, b"12345GET /", part), [5], "in parts of {part}");
    }
}

fn body_after(method: Method, headers: &[(HeaderName, &'static str)]) -> BodyScanner {
    let mut request = Request::new();
    let head: &mut RequestHead = request.head_mut();
    head.method = method;
    for (name, value) in headers {
        head.headers.append(name.clone(), HeaderValue::from_static(value));
    }
    BodyScanner::after(head)
}

#[test]
fn a_body_is_framed_as_the_service_frames_it() {
    use BodyScanner::{Chunked, Length, Unlimited};
    assert!(matches!(body_after(Method::GET, &[]), Length(0)));
    assert!(matches!(body_after(Method::POST, &[(CONTENT_LENGTH, " 7 ")]), Length(7)));
    assert!(matches!(body_after(Method::POST, &[(TRANSFER_ENCODING, "chunked")]), Chunked(_)));
    assert!(matches!(body_after(Method::CONNECT, &[]), Unlimited));
    let upgrade = [(UPGRADE, "WebSocket"), (CONTENT_LENGTH, "7")];
    assert!(matches!(body_after(Method::GET, &upgrade), Unlimited));
}
