//! What the connections of callers do, and the requests that are open on them.
//!
//! A connection is closed when it has been idle for the time limit in force, or its caller has stopped reading. The HTTP service
//! drops what it reads after the signal to close a connection, so the signal waits while received bytes are unread. A busy process
//! may find a request and the reason to close its connection at the same time.
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
    task::{Context, Poll, Waker},
    time::Duration,
};

use actix_web::body::{BodySize, MessageBody};
use bytes::Bytes;
use godwitroad_base::ClockSpan;
use godwitroad_forward::CallerLimits;
use socket2::SockRef;
use tokio::{
    net::TcpStream,
    sync::Notify,
    task_local,
    time::{Instant, sleep, sleep_until},
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
pub(crate) const TURN_BYTES: usize = 16 << 10;

task_local! {
    /// The activity of the connection that the current task serves.
    static CURRENT_ACTIVITY: Rc<ConnectionActivity>;
}

/// The socket of a caller's connection.
pub(crate) type SharedStream = Rc<RefCell<TcpStream>>;

/// What a connection last did.
pub(crate) struct ConnectionActivity {
    pub(crate) stream: SharedStream,
    // Whether the head of a request was read.
    pub(crate) has_request: Cell<bool>,
    // The requests whose answers aren't complete.
    pub(crate) open_requests: Cell<usize>,
    // Whether bytes were received since the last answer, or there was none yet.
    pub(crate) is_receiving: Cell<bool>,
    // The time of the last transfer or complete answer.
    last: Cell<Instant>,
    // Whether an orderly end of the connection marks the end of an answer.
    pub(crate) marks_end: Cell<bool>,
    // Where the next byte belongs.
    pub(crate) position: RefCell<RequestPosition>,
    // The bytes that may be read of the body of an open request.
    pub(crate) credit: Cell<usize>,
    // Whether the HTTP service has bytes that the kernel's send buffer had no room for.
    has_unwritten: Cell<bool>,
    // Whether the open request's answer includes in its part of the budget what waiting for the caller takes.
    is_covered: Cell<bool>,
    // Wakes the HTTP service when it may read again.
    pub(crate) reader: RefCell<Option<Waker>>,
    // What the connection takes of its budget.
    pub(crate) held: HeldConnection,
    // The bytes that the caller's machine had taken when the time limit for reading was last reached.
    taken: Cell<u64>,
    // Requires that the connection is closed although it has bytes to write.
    abort: Notify,
}

impl ConnectionActivity {
    /// Returns the activity of a connection that was just accepted.
    pub(crate) fn new(stream: SharedStream, held: HeldConnection) -> ConnectionActivity {
        ConnectionActivity {
            stream,
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
        }
    }

    /// Runs the HTTP service of the connection, until it completes, the budget requires that the connection is closed, or the caller
    /// has stopped reading.
    pub(crate) async fn run(self: Rc<Self>, service: impl Future) {
        let served = CURRENT_ACTIVITY.scope(self.clone(), service);
        tokio::select! {
            _ = served => {}
            // What is unsent is dropped with the connection, and an answer that isn't complete must not look so. A failure means
            // that the connection has ended.
            () = self.progress().closed() => drop(self.set_reset_at_close(true)),
            () = self.abort.notified() => drop(self.set_reset_at_close(true)),
        }
    }

    /// Sets whether the connection is reset when its socket is closed, by this process or with it.
    pub(crate) fn set_reset_at_close(&self, resets: bool) -> io::Result<()> {
        let stream = self.stream.borrow();
        SockRef::from(&*stream).set_linger(resets.then_some(Duration::ZERO))
    }

    /// Returns the progress of the caller.
    pub(crate) fn progress(&self) -> &CallerProgress {
        &self.held.progress
    }

    /// Returns how many bytes may be read now.
    pub(crate) fn read_limit(&self) -> usize {
        let is_open = self.open_requests.get() > 0;
        match &*self.position.borrow() {
            RequestPosition::Head(_) if is_open || self.has_unwritten.get() => 0,
            RequestPosition::Body(_) if is_open => self.credit.get(),
            // The body of a request that was answered before it is dropped by the service.
            RequestPosition::Head(_) | RequestPosition::Body(_) => TURN_BYTES,
        }
    }

    /// Records whether bytes wait for the kernel to take them.
    pub(crate) fn set_unwritten(&self, has_unwritten: bool) {
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

    /// Returns whether the caller has ended the connection, also behind bytes that are unread.
    pub(crate) fn is_ended(&self) -> bool {
        !is_established(&self.stream.borrow())
    }

    // Returns whether the caller's machine has taken bytes since the last call.
    fn has_taken_more(&self) -> bool {
        let taken = self.held.taken();
        self.taken.replace(taken) < taken
    }

    /// Records a transfer or a complete answer, and whether a request is arriving.
    pub(crate) fn record(&self, is_receiving: bool) {
        self.last.set(Instant::now());
        if self.is_receiving.replace(is_receiving) != is_receiving {
            self.update_use();
        }
    }

    /// Returns whether bytes were received that the HTTP service hasn't read.
    pub(crate) fn has_unread_bytes(&self) -> bool {
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
    /// Panics if the current task doesn't serve a connection with a [`ConnectionActivity`].
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
    /// Panics if the current task doesn't serve a connection with a [`ConnectionActivity`].
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

/// Declares that only the end of the current task's connection marks the end of its answer. Unless the answer's body has
/// ended and all of it was written, the connection is reset, also if the process is killed.
///
/// # Errors
///
/// Returns an error if the socket doesn't take the option.
///
/// # Panics
///
/// Panics if the current task doesn't serve a connection with a [`ConnectionActivity`].
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
/// Panics if the current task doesn't serve a connection with a [`ConnectionActivity`].
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
/// Panics if the current task doesn't serve a connection with a [`ConnectionActivity`].
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
