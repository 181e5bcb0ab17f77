//! An answer sent to the caller part by part.

use std::{
    fmt::Write as _,
    io,
    pin::Pin,
    task::{Context, Poll},
};

use bytes::{Bytes, BytesMut};
use futures_util::Stream;
use godwitroad_base::RequestId;
use godwitroad_router::{CallerError, CallerReply};

use super::{CallerLink, error_body, lost};

/// The size above which waiting parts go out instead of being joined with more.
const JOIN_LIMIT_BYTES: usize = 16 << 10;

/// The body of a streamed answer: numbered events, or the bytes of a plain service.
pub(super) struct ReplyStream {
    link: CallerLink,
    next: Option<CallerReply>,
    last_number: u64,
    events: bool,
    /// The payload bytes of the part handed out last; the server asks for more once it has room.
    handed_out: usize,
    state: StreamState,
}

#[derive(Clone, Copy, Eq, PartialEq)]
enum StreamState {
    Open,
    Complete,
    /// The answer is cut; what was written so far goes out first.
    Breaking,
    Broken,
    Over,
}

impl ReplyStream {
    pub(super) fn new(link: CallerLink, first: CallerReply) -> ReplyStream {
        let events = matches!(first, CallerReply::Event { .. });
        ReplyStream {
            link,
            next: Some(first),
            last_number: 0,
            events,
            handed_out: 0,
            state: StreamState::Open,
        }
    }

    /// Writes one part; returns the number of payload bytes.
    fn write(&mut self, reply: CallerReply, buffer: &mut BytesMut) -> usize {
        match reply {
            CallerReply::Header { .. } => 0,
            CallerReply::Data(bytes) => {
                buffer.extend_from_slice(&bytes);
                bytes.len()
            }
            CallerReply::Event { number, data } => {
                self.events = true;
                self.last_number = number;
                write_event(buffer, self.link.id(), number, &data);
                data.len()
            }
            CallerReply::End => {
                self.state = StreamState::Complete;
                if self.events {
                    // The id stays at the last event: a caller who returns with it has missed nothing.
                    write_event(buffer, self.link.id(), self.last_number, "[DONE]");
                }
                0
            }
            CallerReply::Failed(error) => {
                self.fail(&error, buffer);
                0
            }
        }
    }

    fn fail(&mut self, error: &CallerError, buffer: &mut BytesMut) {
        if !self.events {
            // A broken-off connection is the only way to tell a cut body from a whole one.
            self.state = StreamState::Breaking;
            return;
        }
        self.state = StreamState::Complete;
        buffer.extend_from_slice(b"event: error\n");
        let body = error_body(error, self.link.id()).to_string();
        write_event(buffer, self.link.id(), self.last_number, &body);
    }

    fn fill(&mut self, context: &mut Context<'_>) -> BytesMut {
        let mut buffer = BytesMut::new();
        if let Some(first) = self.next.take() {
            self.handed_out += self.write(first, &mut buffer);
        }
        while self.state == StreamState::Open && buffer.len() < JOIN_LIMIT_BYTES {
            match self.link.poll_next(context) {
                Poll::Ready(Some(reply)) => self.handed_out += self.write(reply, &mut buffer),
                Poll::Ready(None) => self.fail(&lost(), &mut buffer),
                Poll::Pending => break,
            }
        }
        buffer
    }
}

impl Stream for ReplyStream {
    type Item = io::Result<Bytes>;

    fn poll_next(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<io::Result<Bytes>>> {
        if self.state == StreamState::Over {
            return Poll::Ready(None);
        }
        let drained = std::mem::take(&mut self.handed_out);
        self.link.drained(drained);
        if self.state == StreamState::Open {
            let buffer = self.fill(context);
            if !buffer.is_empty() {
                return Poll::Ready(Some(Ok(buffer.freeze())));
            }
        }
        match self.state {
            StreamState::Open => Poll::Pending,
            StreamState::Breaking => {
                // The server writes out its buffer only when the body has nothing to give.
                self.state = StreamState::Broken;
                context.waker().wake_by_ref();
                Poll::Pending
            }
            StreamState::Broken => {
                self.state = StreamState::Over;
                let error = io::Error::other("the answer ended before it was complete");
                Poll::Ready(Some(Err(error)))
            }
            StreamState::Complete | StreamState::Over => {
                self.state = StreamState::Over;
                Poll::Ready(None)
            }
        }
    }
}

/// Writes one server-sent event.
fn write_event(buffer: &mut BytesMut, id: Option<RequestId>, number: u64, data: &str) {
    buffer.reserve(data.len() + 72);
    if let Some(id) = id {
        // Writing to a buffer that grows can't fail.
        let _ = writeln!(buffer, "id: {id}-{number}");
    }
    for line in data.split('\n') {
        buffer.extend_from_slice(b"data: ");
        buffer.extend_from_slice(line.as_bytes());
        buffer.extend_from_slice(b"\n");
    }
    buffer.extend_from_slice(b"\n");
}
