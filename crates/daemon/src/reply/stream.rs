//! An answer that is streamed to the caller.

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

use super::{CallerLink, error_body, stream_lost};

/// The size above which buffered parts are written out instead of being joined with further ones.
const BATCH_LIMIT_BYTES: usize = 16 << 10;

/// The body of a streamed answer: numbered events, or the bytes of a plain service.
pub(super) struct ReplyStream {
    link: CallerLink,
    first: Option<CallerReply>,
    last_event_number: u64,
    is_event_stream: bool,
    /// The payload bytes returned by the previous poll. The next poll means that the server has written them.
    unreported_bytes: usize,
    state: StreamState,
}

#[derive(Clone, Copy, Eq, PartialEq)]
enum StreamState {
    Open,
    Complete,
    /// The answer was truncated; the server first writes out what it has buffered.
    Flushing,
    Failing,
    Finished,
}

impl ReplyStream {
    pub(super) fn new(link: CallerLink, first: CallerReply) -> ReplyStream {
        let is_event_stream = matches!(first, CallerReply::Event { .. });
        ReplyStream {
            link,
            first: Some(first),
            last_event_number: 0,
            is_event_stream,
            unreported_bytes: 0,
            state: StreamState::Open,
        }
    }

    /// Writes one part to `buffer`; returns the number of payload bytes.
    fn write(&mut self, reply: CallerReply, buffer: &mut BytesMut) -> usize {
        match reply {
            CallerReply::Header { .. } => 0,
            CallerReply::Data(bytes) => {
                buffer.extend_from_slice(&bytes);
                bytes.len()
            }
            CallerReply::Event { number, data } => {
                self.is_event_stream = true;
                self.last_event_number = number;
                write_event(buffer, self.link.id(), number, &data);
                data.len()
            }
            CallerReply::End => {
                self.state = StreamState::Complete;
                if self.is_event_stream {
                    // Repeat the id of the last event: a caller that reconnects with it has missed nothing.
                    write_event(buffer, self.link.id(), self.last_event_number, "[DONE]");
                }
                0
            }
            CallerReply::Failed(error) => {
                self.write_failure(&error, buffer);
                0
            }
        }
    }

    fn write_failure(&mut self, error: &CallerError, buffer: &mut BytesMut) {
        if !self.is_event_stream {
            // Closing the connection early is the only way to mark a truncated body as incomplete.
            self.state = StreamState::Flushing;
            return;
        }
        self.state = StreamState::Complete;
        buffer.extend_from_slice(b"event: error\n");
        let body = error_body(error, self.link.id()).to_string();
        write_event(buffer, self.link.id(), self.last_event_number, &body);
    }

    fn fill(&mut self, context: &mut Context<'_>) -> BytesMut {
        let mut buffer = BytesMut::new();
        if let Some(first) = self.first.take() {
            self.unreported_bytes += self.write(first, &mut buffer);
        }
        while self.state == StreamState::Open && buffer.len() < BATCH_LIMIT_BYTES {
            match self.link.poll_next(context) {
                Poll::Ready(Some(reply)) => self.unreported_bytes += self.write(reply, &mut buffer),
                Poll::Ready(None) => self.write_failure(&stream_lost(), &mut buffer),
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
        if self.state == StreamState::Finished {
            return Poll::Ready(None);
        }
        let bytes = std::mem::take(&mut self.unreported_bytes);
        self.link.report_drained(bytes);
        if self.state == StreamState::Open {
            let buffer = self.fill(context);
            if !buffer.is_empty() {
                return Poll::Ready(Some(Ok(buffer.freeze())));
            }
        }
        match self.state {
            StreamState::Open => Poll::Pending,
            StreamState::Flushing => {
                // The server flushes its buffer only when the body is pending.
                self.state = StreamState::Failing;
                context.waker().wake_by_ref();
                Poll::Pending
            }
            StreamState::Failing => {
                self.state = StreamState::Finished;
                let error = io::Error::other("the answer ended before it was complete");
                Poll::Ready(Some(Err(error)))
            }
            StreamState::Complete | StreamState::Finished => {
                self.state = StreamState::Finished;
                Poll::Ready(None)
            }
        }
    }
}

/// Writes one server-sent event.
fn write_event(buffer: &mut BytesMut, id: Option<RequestId>, number: u64, data: &str) {
    // Room for the data, the id line and the field names.
    buffer.reserve(data.len() + 72);
    if let Some(id) = id {
        // Writing to a growing buffer cannot fail.
        let _ = writeln!(buffer, "id: {id}-{number}");
    }
    for line in data.split('\n') {
        buffer.extend_from_slice(b"data: ");
        buffer.extend_from_slice(line.as_bytes());
        buffer.extend_from_slice(b"\n");
    }
    buffer.extend_from_slice(b"\n");
}
