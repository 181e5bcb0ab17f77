//! The byte stream of a caller's connection, as the HTTP service reads and writes it.
//!
//! The HTTP service gets one request at a time, and at most [`TURN_BYTES`](crate::caller_activity::TURN_BYTES) of it. It would parse and keep all the requests that it
//! gets, and encode their answers for a caller that doesn't read. Further requests wait in the kernel's buffer until the open one is
//! answered and its answer is written; a body is read as the handler takes it.
//!
//! The limit of a head and the time limit for the head of the first request are applied here, before the service has read it. The
//! service would look at its timer before it reads, although a busy process may find a request at the same time.

use std::{
    future::Future,
    io,
    pin::Pin,
    rc::Rc,
    task::{Context, Poll, ready},
    time::{Duration, SystemTime},
};

use actix_web::http::header::HttpDate;
use godwitroad_forward::CallerLimits;
use socket2::SockRef;
use tokio::{
    io::{AsyncRead, AsyncWrite, ReadBuf},
    time::{Instant, Sleep, sleep},
};

use crate::{
    caller_activity::{ConnectionActivity, SharedStream},
    caller_budget::HeldConnection,
};

/// What a head may take beyond the limit, for what the limit doesn't count: the method, the version, and empty lines before it.
const HEAD_SLACK_BYTES: usize = 1 << 10;

/// The bytes and the time for which what follows a refused head is dropped. A connection that is closed with unread bytes is
/// reset, which would take the answer away from a caller that is still sending.
const DISCARD_BYTES: usize = 128 << 10;
const DISCARD_TIMEOUT: Duration = Duration::from_millis(500);

/// The interval at which a caller with unread bytes is checked for the end of its connection.
const END_CHECK_INTERVAL: Duration = Duration::from_millis(100);

/// A caller's connection that records what it last did, and ends if the head of its first request is late.
pub(crate) struct CallerStream {
    stream: SharedStream,
    activity: Rc<ConnectionActivity>,
    head_end: Pin<Box<Sleep>>,
    // Whether bytes were read since nothing more could be read; the HTTP service may not have parsed them.
    has_new_bytes: bool,
    // Whether the HTTP service must parse what it got before it gets more.
    is_turn_over: bool,
    end_check: Pin<Box<Sleep>>,
    limits: Rc<dyn Fn() -> CallerLimits>,
    // What follows a refused head.
    discard: Option<DiscardedInput>,
}

/// What can be read of a connection.
#[derive(Debug)]
enum ReadPart {
    /// This many bytes were read; none at the end of the connection.
    Bytes(usize),
    /// Nothing was read, as the bytes belong to a head that exceeds the limit.
    LargeHead,
}

/// What is dropped of a connection's input, until its time or its bytes are used up.
#[derive(Debug)]
struct DiscardedInput {
    left: usize,
    end: Pin<Box<Sleep>>,
}

impl CallerStream {
    /// Wraps a connection that was just accepted. `limits` returns the limits in force; the time limit for the head of the first
    /// request is the one at the time of the call. `held` is what the connection takes of its budget.
    pub(crate) fn new(
        stream: SharedStream,
        limits: Rc<dyn Fn() -> CallerLimits>,
        held: HeldConnection,
    ) -> CallerStream {
        let head_timeout = limits().head_timeout;
        let activity = Rc::new(ConnectionActivity::new(stream.clone(), held));
        let head_end = Box::pin(sleep(Duration::from_millis(head_timeout.as_ms())));
        CallerStream {
            stream,
            activity,
            head_end,
            has_new_bytes: false,
            is_turn_over: false,
            end_check: Box::pin(sleep(Duration::ZERO)),
            limits,
            discard: None,
        }
    }

    /// Serves the connection with the future that `serve` returns, until it completes, the budget requires that the connection
    /// is closed, or the caller has stopped reading. In that call, [`idle_end`](crate::caller_activity::idle_end) and
    /// [`read_end`](crate::caller_activity::read_end) refer to this connection.
    pub(crate) async fn serve<F: Future>(self, serve: impl FnOnce(CallerStream) -> F) {
        let activity = self.activity.clone();
        activity.run(async move { serve(self).await }).await;
    }

    // Reads nothing, but completes at the end of the connection.
    fn poll_end(&mut self, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        self.activity.reader.replace(Some(context.waker().clone()));
        let mut byte = [0];
        let peeked = self.stream.borrow().poll_peek(context, &mut ReadBuf::new(&mut byte));
        if ready!(peeked)? == 0 || self.activity.is_ended() {
            return Poll::Ready(Ok(()));
        }
        // Unread bytes hide the end, so that nothing wakes this task then.
        self.end_check.as_mut().reset(Instant::now() + END_CHECK_INTERVAL);
        ready!(self.end_check.as_mut().poll(context));
        context.waker().wake_by_ref();
        Poll::Pending
    }

    // Reads at most `limit` bytes, up to the end of the head or the body that they belong to.
    fn poll_read_part(
        &mut self,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
        limit: usize,
    ) -> Poll<io::Result<ReadPart>> {
        let mut stream = self.stream.borrow_mut();
        let mut position = self.activity.position.borrow_mut();
        let bytes = buffer.initialize_unfilled_to(limit);
        let length = match position.known_length(limit) {
            Some(length) => length,
            None => {
                let mut next = ReadBuf::new(bytes);
                ready!(stream.poll_peek(context, &mut next))?;
                let mut after = position.clone();
                let length = after.take(next.filled());
                if after.head_length() > self.head_limit() {
                    return Poll::Ready(Ok(ReadPart::LargeHead));
                }
                // At the end of the connection there is nothing to look at.
                length.max(1)
            }
        };
        let mut part = ReadBuf::new(&mut bytes[..length]);
        ready!(Pin::new(&mut *stream).poll_read(context, &mut part))?;
        let length = part.filled().len();
        position.take(part.filled());
        buffer.advance(length);
        Poll::Ready(Ok(ReadPart::Bytes(length)))
    }

    fn head_limit(&self) -> usize {
        (self.limits)().head_bytes + HEAD_SLACK_BYTES
    }

    // Answers a head that is too large, of which the HTTP service doesn't get the end. All earlier answers were written, so that
    // this one isn't mixed up with them.
    fn refuse_head(&mut self) {
        self.send_answer("431 Request Header Fields Too Large");
        self.activity.held.report("head_too_large");
        self.discard =
            Some(DiscardedInput { left: DISCARD_BYTES, end: Box::pin(sleep(DISCARD_TIMEOUT)) });
    }

    fn send_answer(&self, status: &str) {
        let answer = format!(
            "HTTP/1.1 {status}\r\ncontent-length: 0\r\nconnection: close\r\ndate: {}\r\n\r\n",
            HttpDate::from(SystemTime::now())
        );
        // The send queue is empty, or as good as empty, so that the answer fits into it. A caller that has gone needs none.
        let _ = SockRef::from(&*self.stream.borrow()).send(answer.as_bytes());
    }

    // Drops what arrives, and completes with the end of the stream.
    fn poll_discard(
        &mut self,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let Some(discard) = &mut self.discard else { return Poll::Ready(Ok(())) };
        while discard.left > 0 && discard.end.as_mut().poll(context).is_pending() {
            let mut scratch = ReadBuf::new(buffer.initialize_unfilled());
            let mut stream = self.stream.borrow_mut();
            ready!(Pin::new(&mut *stream).poll_read(context, &mut scratch))?;
            match scratch.filled().len() {
                0 => break,
                length => discard.left = discard.left.saturating_sub(length),
            }
        }
        Poll::Ready(Ok(()))
    }

    // Completes with an answer and the end of the stream when the head of the first request is late. Nothing can be read at
    // the time of the call.
    fn poll_head_end(&mut self, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        let has_new_bytes = std::mem::take(&mut self.has_new_bytes);
        if self.activity.has_request.get() {
            return Poll::Pending;
        }
        ready!(self.head_end.as_mut().poll(context));
        if has_new_bytes || self.activity.has_unread_bytes() {
            context.waker().wake_by_ref();
            return Poll::Pending;
        }
        self.send_answer("408 Request Timeout");
        Poll::Ready(Ok(()))
    }
}

impl AsyncRead for CallerStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        if std::mem::take(&mut self.is_turn_over) {
            context.waker().wake_by_ref();
            return Poll::Pending;
        }
        if self.discard.is_some() {
            return self.poll_discard(context, buffer);
        }
        let limit = self.activity.read_limit().min(buffer.remaining());
        if limit == 0 {
            return self.poll_end(context);
        }
        let Poll::Ready(part) = self.poll_read_part(context, buffer, limit) else {
            self.activity.reader.replace(Some(context.waker().clone()));
            return self.poll_head_end(context);
        };
        let ReadPart::Bytes(length) = part? else {
            self.refuse_head();
            return self.poll_discard(context, buffer);
        };
        self.has_new_bytes = true;
        self.activity.record(true);
        self.activity.progress().transfer(length);
        if self.activity.open_requests.get() > 0 {
            self.activity.credit.update(|credit| credit - length);
        } else {
            self.is_turn_over = length > 0;
        }
        Poll::Ready(Ok(()))
    }
}

impl AsyncWrite for CallerStream {
    fn poll_write(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        let result = Pin::new(&mut *self.stream.borrow_mut()).poll_write(context, bytes);
        if result.is_pending() {
            self.activity.progress().block_write();
            self.activity.set_unwritten(true);
        }
        let result = ready!(result);
        if self.activity.open_requests.get() > 0 {
            // A socket is writable again only when a third of its send buffer is free, so that each write is progress.
            self.activity.progress().wait_for_router();
        }
        self.activity.record(self.activity.is_receiving.get());
        Poll::Ready(result)
    }

    // The HTTP service calls this after it has written all that it has.
    fn poll_flush(self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        self.activity.set_unwritten(false);
        Pin::new(&mut *self.stream.borrow_mut()).poll_flush(context)
    }

    // The HTTP service calls this after it has written all that it has of an answer.
    fn poll_shutdown(self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        if self.activity.marks_end.get() {
            if self.activity.open_requests.get() > 0 {
                // The body hasn't ended, as when the caller has closed its side. The service drops the socket next.
                return Poll::Ready(Ok(()));
            }
            self.activity.set_reset_at_close(false)?;
        }
        Pin::new(&mut *self.stream.borrow_mut()).poll_shutdown(context)
    }
}
