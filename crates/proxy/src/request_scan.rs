//! Finds where requests end in the bytes of a connection, so that the HTTP service gets one request at a time.
//!
//! The service parses all that it gets, and a parsed request takes a multiple of its size. Only the ends are found here, by the
//! rules of the service; it checks the syntax, and its result tells how a body is framed. If the two disagree on an end, the service
//! gets the next bytes as the rest of what it waits for.

use actix_http::RequestHead;
use actix_web::http::{
    Method,
    header::{CONTENT_LENGTH, TRANSFER_ENCODING, UPGRADE},
};
use memchr::memchr;

/// A line whose bytes arrive in parts.
#[derive(Clone, Debug, Default)]
struct LineScanner {
    length: usize,
    is_empty: bool,
}

impl LineScanner {
    // Takes the bytes of the line; returns how many they are, and whether the line is empty if it ends with them.
    fn take(&mut self, bytes: &[u8]) -> (usize, Option<bool>) {
        let end = memchr(b'\n', bytes);
        let content = &bytes[..end.unwrap_or(bytes.len())];
        let is_empty = match self.length {
            0 => matches!(content, [] | b"\r"),
            _ => self.is_empty && content.is_empty(),
        };
        match end {
            Some(end) => {
                *self = LineScanner::default();
                (end + 1, Some(is_empty))
            }
            None => {
                *self = LineScanner { length: self.length + content.len(), is_empty };
                (bytes.len(), None)
            }
        }
    }
}

/// The head of a request, with the empty lines before it, which the service ignores.
#[derive(Clone, Debug, Default)]
pub(crate) struct HeadScanner {
    line: LineScanner,
    has_request_line: bool,
    length: usize,
}

impl HeadScanner {
    // Takes the bytes of the head; returns how many they are, and whether the head ends with them.
    fn take(&mut self, bytes: &[u8]) -> (usize, bool) {
        let mut taken = 0;
        let mut is_complete = false;
        while taken < bytes.len() && !is_complete {
            let (length, line_end) = self.line.take(&bytes[taken..]);
            taken += length;
            if let Some(is_empty) = line_end {
                is_complete = is_empty && self.has_request_line;
                self.has_request_line |= !is_empty;
            }
        }
        self.length += taken;
        (taken, is_complete)
    }
}

/// What remains of the body of a request.
#[derive(Clone, Debug)]
pub(crate) enum BodyScanner {
    /// This many bytes.
    Length(u64),
    /// Chunks up to the last one and the lines after it.
    Chunked(ChunkScanner),
    /// Everything up to the end of the connection.
    Unlimited,
}

impl BodyScanner {
    /// Returns the body that follows a head.
    pub(crate) fn after(head: &RequestHead) -> BodyScanner {
        let is_websocket = head
            .headers
            .get(UPGRADE)
            .is_some_and(|name| name.as_bytes().eq_ignore_ascii_case(b"websocket"));
        if head.headers.contains_key(TRANSFER_ENCODING) {
            return BodyScanner::Chunked(ChunkScanner::default());
        }
        let length = head.headers.get(CONTENT_LENGTH);
        let length = length.and_then(|text| text.to_str().ok()?.trim().parse().ok()).unwrap_or(0);
        if is_websocket || (length == 0 && head.method == Method::CONNECT) {
            return BodyScanner::Unlimited;
        }
        BodyScanner::Length(length)
    }

    // Takes the bytes of the body; returns how many they are, and whether the body ends with them.
    fn take(&mut self, bytes: &[u8]) -> (usize, bool) {
        match self {
            BodyScanner::Length(rest) => {
                let taken =
                    usize::try_from(*rest).map_or(bytes.len(), |rest| rest.min(bytes.len()));
                *rest -= taken as u64;
                (taken, *rest == 0)
            }
            BodyScanner::Chunked(chunk) => chunk.take(bytes),
            BodyScanner::Unlimited => (bytes.len(), false),
        }
    }
}

/// A position in a body in chunks.
#[derive(Clone, Debug)]
pub(crate) enum ChunkScanner {
    /// In the line with the size of a chunk. Its extension follows the digits.
    Size { size: u64, is_extension: bool },
    /// This many bytes before the end of a chunk, including the end of its last line.
    Data(u64),
    /// In the lines after the last chunk.
    Trailer(TrailerLine),
}

/// A line after the last chunk of a body.
#[derive(Clone, Debug, Default)]
pub(crate) struct TrailerLine(LineScanner);

impl Default for ChunkScanner {
    fn default() -> ChunkScanner {
        ChunkScanner::Size { size: 0, is_extension: false }
    }
}

impl ChunkScanner {
    /// The bytes between the data of a chunk and the next size.
    const DATA_END_BYTES: u64 = 2;

    fn take(&mut self, bytes: &[u8]) -> (usize, bool) {
        let mut taken = 0;
        while taken < bytes.len() {
            let rest = &bytes[taken..];
            match self {
                ChunkScanner::Size { size, is_extension } => {
                    taken += 1;
                    match (rest[0], (rest[0] as char).to_digit(16)) {
                        (b'\n', _) if *size == 0 => {
                            *self = ChunkScanner::Trailer(TrailerLine::default());
                        }
                        (b'\n', _) => {
                            let data = size.saturating_add(ChunkScanner::DATA_END_BYTES);
                            *self = ChunkScanner::Data(data);
                        }
                        (_, Some(digit)) if !*is_extension => {
                            *size = size.saturating_mul(16).saturating_add(digit.into());
                        }
                        _ => *is_extension = true,
                    }
                }
                ChunkScanner::Data(left) => {
                    let length =
                        usize::try_from(*left).map_or(rest.len(), |left| left.min(rest.len()));
                    taken += length;
                    *left -= length as u64;
                    if *left == 0 {
                        *self = ChunkScanner::default();
                    }
                }
                ChunkScanner::Trailer(TrailerLine(line)) => {
                    let (length, line_end) = line.take(rest);
                    taken += length;
                    if line_end == Some(true) {
                        return (taken, true);
                    }
                }
            }
        }
        (taken, false)
    }
}

/// The position of a connection's next byte within its requests.
#[derive(Clone, Debug)]
pub(crate) enum RequestPosition {
    /// Before or in a head.
    Head(HeadScanner),
    /// In a body.
    Body(BodyScanner),
}

impl Default for RequestPosition {
    fn default() -> RequestPosition {
        RequestPosition::Head(HeadScanner::default())
    }
}

impl RequestPosition {
    /// Returns the position after a head that the given body follows.
    pub(crate) fn before(body: BodyScanner) -> RequestPosition {
        match body {
            BodyScanner::Length(0) => RequestPosition::default(),
            body => RequestPosition::Body(body),
        }
    }

    /// Takes bytes up to the end of the head or the body, and returns their number.
    pub(crate) fn take(&mut self, bytes: &[u8]) -> usize {
        let (taken, is_complete) = match self {
            RequestPosition::Head(head) => head.take(bytes),
            RequestPosition::Body(body) => body.take(bytes),
        };
        if is_complete {
            *self = RequestPosition::default();
        }
        taken
    }

    /// Returns the bytes of the current head, and of the empty lines before it, that were taken.
    pub(crate) fn head_length(&self) -> usize {
        match self {
            RequestPosition::Head(head) => head.length,
            RequestPosition::Body(_) => 0,
        }
    }

    /// Returns how many of at most `limit` bytes can be read without a look at them before, as they belong to one body.
    pub(crate) fn known_length(&self, limit: usize) -> Option<usize> {
        match self {
            RequestPosition::Body(BodyScanner::Length(rest)) => {
                Some(usize::try_from(*rest).map_or(limit, |rest| rest.min(limit)))
            }
            RequestPosition::Body(BodyScanner::Unlimited) => Some(limit),
            RequestPosition::Body(BodyScanner::Chunked(_)) | RequestPosition::Head(_) => None,
        }
    }
}

#[cfg(test)]
#[path = "../tests/unit/request_scan.rs"]
mod tests;
