//! The connections of callers, which are closed when they have been idle for the time limit in force, or their callers have stopped
//! reading.
//!
//! The HTTP service drops what it reads after the signal to close a connection, so the signal waits while received bytes
//! are unread. A busy process may find a request and the reason to close its connection at the same time. For the same
//! reason the time limit for the head of the first request is applied here, where nothing else can be read: the service
//! would look at its timer before it reads.
//!
//! The HTTP service gets one request at a time, and at most [`TURN_BYTES`] of it. It would parse and keep all the requests that it
//! gets, and encode their answers for a caller that doesn't read. Further requests wait in the kernel's buffer until the open one is
//! answered and its answer is written; a body is read as the handler takes it.
//!
//! An answer with neither a length nor chunks is complete for its caller when the connection ends in order. The kernel ends
//! the connections of a killed process in order, too, so a connection with such an answer is set to be reset at its end, until
//! all of the answer was written.

use std::{
    cell::{Cell, RefCell},
    future::{Future, pending},
    io,
    mem::MaybeUninit,
    pin::Pin,
    rc::Rc,
    task::{Context, Poll, Waker, ready},
    time::{Duration, SystemTime},
};

use actix_web::{
    body::{BodySize, MessageBody},
    http::header::HttpDate,
};
use bytes::Bytes;
use godwitroad_base::ClockSpan;
use godwitroad_forward::CallerLimits;
use socket2::SockRef;
use tokio::{
    io::{AsyncRead, AsyncWrite, ReadBuf},
    net::TcpStream,
    sync::Notify,
    task_local,
    time::{Instant, Sleep, sleep, sleep_until},
};

use crate::{
    caller_budget::{CallerProgress, ConnectionUse, HeldConnection},
    client::watched_stream::is_established,
    request_scan::{BodyScanner, RequestPosition},
};

/// The longest time until a lowered time limit applies to a connection that is already idle.
const LIMIT_CHECK_INTERVAL: Duration = Duration::from_secs(5);

/// The minimum interval at which a connection with an open request is checked.
const OPEN_CHECK_INTERVAL: Duration = Duration::from_millis(100);

/// The interval at which a connection that is to be closed is checked for bytes that are unread.
const UNREAD_CHECK_INTERVAL: Duration = Duration::from_millis(10);

/// The bytes that the HTTP service gets before it must have parsed them. It keeps what it has parsed of small chunks, each with a
/// multiple of its size.
const TURN_BYTES: usize = 16 << 10;

/// What a head may take beyond the limit, for what the limit doesn't count: the method, the version, and empty lines before it.
const HEAD_SLACK_BYTES: usize = 1 << 10;

/// The bytes and the time for which what follows a refused head is dropped. A connection that is closed with unread bytes is
/// reset, which would take the answer away from a caller that is still sending.
const DISCARD_BYTES: usize = 128 << 10;
const DISCARD_TIMEOUT: Duration = Duration::from_millis(500);

/// The interval at which a caller with unread bytes is checked for the end of its connection.
const END_CHECK_INTERVAL: Duration = Duration::from_millis(100);

task_local! {
    /// The activity of the connection that the current task serves.
    static CURRENT_ACTIVITY: Rc<ConnectionActivity>;
}

/// The socket of a caller's connection.
pub(crate) type SharedStream = Rc<RefCell<TcpStream>>;

/// What a connection last did.
struct ConnectionActivity {
    stream: SharedStream,
    // Whether the head of a request was read.
    has_request: Cell<bool>,
    // The requests whose answers aren't complete.
    open_requests: Cell<usize>,
    // Whether bytes were received since the last answer, or there was none yet.
    is_receiving: Cell<bool>,
    // The time of the last transfer or complete answer.
    last: Cell<Instant>,
    // Whether an orderly end of the connection marks the end of an answer.
    marks_end: Cell<bool>,
    // Where the next byte belongs.
    position: RefCell<RequestPosition>,
    // The bytes that may be read of the body of an open request.
    credit: Cell<usize>,
    // Whether the HTTP service has bytes that the kernel's send buffer had no room for.
    has_unwritten: Cell<bool>,
    // Whether the open request's answer includes in its part of the budget what waiting for the caller takes.
    is_covered: Cell<bool>,
    // Wakes the HTTP service when it may read again.
    reader: RefCell<Option<Waker>>,
    // What the connection takes of its budget.
    held: HeldConnection,
    // The bytes that the caller's machine had taken when the time limit for reading was last reached.
    taken: Cell<u64>,
    // Requires that the connection is closed although it has bytes to write.
    abort: Notify,
}

impl ConnectionActivity {
    // Sets whether the connection is reset when its socket is closed, by this process or with it.
    fn set_reset_at_close(&self, resets: bool) -> io::Result<()> {
        let stream = self.stream.borrow();
        SockRef::from(&*stream).set_linger(resets.then_some(Duration::ZERO))
    }

    fn progress(&self) -> &CallerProgress {
        &self.held.progress
    }

    // Returns how many bytes may be read now.
    fn read_limit(&self) -> usize {
        let is_open = self.open_requests.get() > 0;
        match &*self.position.borrow() {
            RequestPosition::Head(_) if is_open || self.has_unwritten.get() => 0,
            RequestPosition::Body(_) if is_open => self.credit.get(),
            // The body of a request that was answered before it is dropped by the service.
            RequestPosition::Head(_) | RequestPosition::Body(_) => TURN_BYTES,
        }
    }

    fn set_unwritten(&self, has_unwritten: bool) {
        if self.has_unwritten.replace(has_unwritten) == has_unwritten {
            return;
        }
        self.update_use();
        if !has_unwritten {
            self.progress().unblock_write();
            // The next request may be read.
            self.wake_reader();
        }
    }

    // Records in the budget what the connection does now.
    fn update_use(&self) {
        let is_active = self.is_receiving.get() || self.open_requests.get() > 0;
        self.held.set_use(ConnectionUse {
            is_active,
            has_unwritten: self.has_unwritten.get(),
            is_covered: self.is_covered.get(),
        });
    }

    fn allow_reading(&self, credit: usize) {
        self.credit.set(credit);
        self.wake_reader();
    }

    fn wake_reader(&self) {
        if let Some(reader) = self.reader.take() {
            reader.wake();
        }
    }

    // Returns whether the caller has ended the connection, also behind bytes that are unread.
    fn is_ended(&self) -> bool {
        !is_established(&self.stream.borrow())
    }

    // Returns whether the caller's machine has taken bytes since the last call.
    fn has_taken_more(&self) -> bool {
        let taken = self.held.taken();
        self.taken.replace(taken) < taken
    }

    fn record(&self, is_receiving: bool) {
        self.last.set(Instant::now());
        if self.is_receiving.replace(is_receiving) != is_receiving {
            self.update_use();
        }
    }

    // Returns whether bytes were received that the HTTP service hasn't read.
    fn has_unread_bytes(&self) -> bool {
        let stream = self.stream.borrow();
        let mut byte = [MaybeUninit::uninit()];
        SockRef::from(&*stream).peek(&mut byte).is_ok_and(|length| length > 0)
    }

    // Returns the time at which the connection has to be closed if nothing happens until then.
    fn deadline(&self, limits: CallerLimits) -> Instant {
        let duration = |span: ClockSpan| Duration::from_millis(span.as_ms());
        let idle_timeout = duration(limits.idle_timeout);
        if self.has_unwritten.get() {
            self.last.get() + idle_timeout.max(self.held.unread_timeout())
        } else if self.open_requests.get() > 0 {
            Instant::now() + idle_timeout.max(OPEN_CHECK_INTERVAL)
        } else if self.is_receiving.get() {
            // The head of a request that began to arrive has its own time limit.
            self.last.get() + idle_timeout + duration(limits.head_timeout)
        } else {
            self.last.get() + idle_timeout
        }
    }
}

/// The number of requests whose answers aren't complete, over all connections of a listener.
pub(crate) type OpenCount = Rc<Cell<usize>>;

/// Marks a request as open on the connection of the current task, and counts it, until it is dropped.
pub(crate) struct ConnectionRequest {
    activity: Rc<ConnectionActivity>,
    open: OpenCount,
}

impl ConnectionRequest {
    /// Marks a request as open, whose head was read, and counts it in `open`. `body` is what follows the head.
    ///
    /// # Panics
    ///
    /// Panics if the current task doesn't serve a [`CallerStream`].
    pub(crate) fn open(open: OpenCount, body: BodyScanner) -> ConnectionRequest {
        let activity = CURRENT_ACTIVITY.with(Rc::clone);
        activity.position.replace(RequestPosition::before(body));
        activity.has_request.set(true);
        activity.open_requests.update(|requests| requests + 1);
        activity.credit.set(0);
        open.update(|requests| requests + 1);
        ConnectionRequest { activity, open }
    }

    /// Keeps the request open until its answer's body is complete or dropped.
    pub(crate) fn hold<B>(self, body: B) -> HeldBody<B> {
        HeldBody { body: Box::pin(body), _request: self }
    }
}

impl Drop for ConnectionRequest {
    fn drop(&mut self) {
        self.activity.open_requests.update(|requests| requests - 1);
        self.open.update(|requests| requests - 1);
        self.activity.record(false);
        self.activity.update_use();
        self.activity.progress().wait_for_caller();
        if self.activity.open_requests.get() == 0 {
            self.activity.allow_reading(0);
        }
    }
}

/// Declares, until it is dropped, that the answer to the current task's request includes in its part of the budget what waiting for
/// the caller takes.
pub(crate) struct AnswerCover {
    activity: Rc<ConnectionActivity>,
}

impl AnswerCover {
    /// Declares it.
    ///
    /// # Panics
    ///
    /// Panics if the current task doesn't serve a [`CallerStream`].
    pub(crate) fn begin() -> AnswerCover {
        let activity = CURRENT_ACTIVITY.with(Rc::clone);
        activity.is_covered.set(true);
        activity.update_use();
        AnswerCover { activity }
    }
}

impl Drop for AnswerCover {
    fn drop(&mut self) {
        self.activity.is_covered.set(false);
        self.activity.update_use();
    }
}

/// Lets the HTTP service read more of the body of the current task's request, as all of it so far was used.
pub(crate) fn read_more() {
    CURRENT_ACTIVITY.with(|activity| activity.allow_reading(TURN_BYTES));
}

/// Declares that the body of the current task's request has arrived, so that the router is due.
pub(crate) fn end_request_body() {
    CURRENT_ACTIVITY.with(|activity| activity.progress().wait_for_router());
}

/// The body of an answer to a [`ConnectionRequest`].
pub(crate) struct HeldBody<B> {
    body: Pin<Box<B>>,
    _request: ConnectionRequest,
}

impl<B: MessageBody> MessageBody for HeldBody<B> {
    type Error = B::Error;

    fn size(&self) -> BodySize {
        self.body.size()
    }

    fn poll_next(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Bytes, B::Error>>> {
        self.body.as_mut().poll_next(context)
    }
}

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
        let activity = Rc::new(ConnectionActivity {
            stream: stream.clone(),
            has_request: Cell::new(false),
            open_requests: Cell::new(0),
            is_receiving: Cell::new(true),
            last: Cell::new(Instant::now()),
            marks_end: Cell::new(false),
            position: RefCell::default(),
            credit: Cell::new(0),
            has_unwritten: Cell::new(false),
            is_covered: Cell::new(false),
            reader: RefCell::default(),
            held,
            taken: Cell::new(0),
            abort: Notify::new(),
        });
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
    /// is closed, or the caller has stopped reading. In that call, [`idle_end`] and [`read_end`] refer to this connection.
    pub(crate) async fn serve<F: Future>(self, serve: impl FnOnce(CallerStream) -> F) {
        let activity = self.activity.clone();
        let progress = activity.held.progress.clone();
        let served = CURRENT_ACTIVITY.scope(activity.clone(), async move { serve(self).await });
        tokio::select! {
            _ = served => {}
            // What is unsent is dropped with the connection, and an answer that isn't complete must not look so. A failure means
            // that the connection has ended.
            () = progress.closed() => drop(activity.set_reset_at_close(true)),
            () = activity.abort.notified() => drop(activity.set_reset_at_close(true)),
        }
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

/// Declares that only the end of the current task's connection marks the end of its answer. Unless the answer's body has
/// ended and all of it was written, the connection is reset, also if the process is killed.
///
/// # Errors
///
/// Returns an error if the socket doesn't take the option.
///
/// # Panics
///
/// Panics if the current task doesn't serve a [`CallerStream`].
pub(crate) fn mark_end_by_close() -> io::Result<()> {
    let activity = CURRENT_ACTIVITY.with(Rc::clone);
    activity.marks_end.set(true);
    activity.set_reset_at_close(true)
}

/// Completes when the connection of the current task has been idle for the time limit in force. `limits` returns the limits
/// in force.
///
/// # Panics
///
/// Panics if the current task doesn't serve a [`CallerStream`].
pub(crate) fn idle_end(limits: impl Fn() -> CallerLimits) -> impl Future<Output = ()> {
    let activity = CURRENT_ACTIVITY.with(Rc::clone);
    async move {
        loop {
            let (now, deadline) = (Instant::now(), activity.deadline(limits()));
            if now < deadline {
                sleep_until(deadline.min(now + LIMIT_CHECK_INTERVAL)).await;
            } else if activity.has_unwritten.get() && activity.has_taken_more() {
                activity.last.set(now);
            } else if activity.has_unwritten.get() {
                // The HTTP service would wait until all is written.
                activity.held.report("connection_closed_unread");
                activity.abort.notify_one();
                return pending().await;
            } else if activity.has_unread_bytes() {
                sleep(UNREAD_CHECK_INTERVAL).await;
            } else {
                return;
            }
        }
    }
}

/// Completes when `end` has completed and the HTTP service has answered what was received on the connection of the current
/// task. The service would also drop a request that it has read behind an open one.
///
/// # Panics
///
/// Panics if the current task doesn't serve a [`CallerStream`].
pub(crate) fn read_end(end: impl Future<Output = ()>) -> impl Future<Output = ()> {
    let activity = CURRENT_ACTIVITY.with(Rc::clone);
    async move {
        end.await;
        loop {
            if activity.open_requests.get() > 0 {
                sleep(OPEN_CHECK_INTERVAL).await;
            } else if activity.has_unread_bytes() {
                sleep(UNREAD_CHECK_INTERVAL).await;
            } else {
                return;
            }
        }
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
