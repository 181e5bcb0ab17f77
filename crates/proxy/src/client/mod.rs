//! An HTTP client with a connection pool, for calls to targets and to the store.
//!
//! Whether a request may be sent again depends on details that `awc` hides: it doesn't report whether any byte of a
//! request was written, it reuses connections on which a late answer to another request may still arrive, and it
//! doesn't report that a body ended early. The proxy therefore pools connections itself, on top of `hyper`'s connection
//! type.
//!
//! A target may write an earlier answer once more where the answer to the next request is due. An answer therefore counts
//! only if it can't be an earlier one: by the id in it, if no request with that id was sent to the address before, or
//! because its request is the first on its connection. Bytes that arrive on an idle connection close it.

mod buffered;
mod connection;
mod pool;
mod queue_watch;
mod sent;
mod upload;
pub(crate) mod watched_stream;

use std::{
    cell::{Cell, RefCell},
    net::SocketAddr,
    ops::RangeInclusive,
    rc::Rc,
    sync::{
        Arc,
        atomic::{AtomicUsize, Ordering},
    },
    time::Duration,
};

use bytes::{Bytes, BytesMut};
use http::{HeaderMap, Request, Response, StatusCode, header::TRANSFER_ENCODING};
use http_body_util::{BodyExt, Full};
use hyper::{
    body::{Body, Incoming},
    ext::on_informational,
};
use tokio::{
    sync::Notify,
    time::{Instant, timeout_at},
};

use buffered::BufferedBytes;
pub use buffered::{BufferedBody, MAX_BUFFERED_BODY_BYTES};
pub(crate) use connection::TargetConnection;
use pool::{ConnectionPool, UnansweredRequest};
use sent::SentRequests;

/// Opens the new connections for the requests to one target.
pub(crate) trait ConnectionDialer {
    /// Opens a connection. `was_closed` says that a direct one has just been closed with the request unread.
    ///
    /// # Errors
    ///
    /// Returns [`SendError::NotSent`] if no connection could be opened within the deadline.
    async fn open(&self, was_closed: bool, deadline: Instant) -> Result<TargetConnection>;

    /// Records that a new direct connection ended before it brought an answer.
    fn record_closed(&self) {}
}

// Opens connections from this router only.
struct DirectDialer {
    address: SocketAddr,
}

impl ConnectionDialer for DirectDialer {
    async fn open(&self, was_closed: bool, deadline: Instant) -> Result<TargetConnection> {
        if was_closed {
            return Err(SendError::NotSent);
        }
        TargetConnection::open(self.address, deadline).await
    }
}

/// Why a call failed, and whether the request may have reached the other side.
#[derive(Clone, Copy, Debug, Eq, PartialEq, thiserror::Error)]
pub enum SendError {
    /// No byte of the request was written.
    #[error("not sent")]
    NotSent,
    /// The request may have been read, and no valid answer was received.
    #[error("failed after sending")]
    Failed,
    /// The deadline passed after the request may have been sent.
    #[error("no answer in time")]
    TimeOver,
}

/// A `Result` with a [`SendError`].
pub type Result<T> = std::result::Result<T, SendError>;

/// The client with its pool of idle connections.
#[derive(Debug, Default)]
pub struct TargetClient {
    pool: RefCell<ConnectionPool>,
    sent: RefCell<SentRequests>,
    buffered: Rc<Cell<usize>>,
}

/// How the end of an answer's body is marked.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum BodyFraming {
    /// By a declared length.
    Length,
    /// By the last chunk.
    Chunks,
    /// By the end of the connection, which is no proof that the body is complete.
    Connection,
}

/// An answer whose body has not been read to its end. Dropping it closes the connection, which cancels the run.
#[derive(Debug)]
pub struct TargetExchange {
    /// The status of the answer.
    pub status: StatusCode,
    /// The headers of the answer, including hop-by-hop headers.
    pub headers: HeaderMap,
    /// How the end of the body is marked.
    pub framing: BodyFraming,
    /// Whether the request was the first on its connection, so that this can't be the answer to an earlier one.
    pub is_first: bool,
    /// Whether the connection leads through a peer.
    pub is_relayed: bool,
    body: Incoming,
    // What was read of the body ahead of its use.
    read_ahead: BytesMut,
    connection: TargetConnection,
    address: SocketAddr,
    // The bytes of all answers that are being buffered.
    buffered: Rc<Cell<usize>>,
}

/// The time limit for establishing a connection. The longest round trip between zones takes a few milliseconds; a target
/// that takes much longer is down or unreachable.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(350);

/// The statuses that end a request. Others have no meaning that a caller could act on, so that the request has failed and may
/// have run.
const FINAL_STATUSES: RangeInclusive<u16> = 200..=599;

/// The limit of informational answers before an answer.
const MAX_INFORMATIONAL_ANSWERS: usize = 16;

impl TargetClient {
    /// Sends a request and returns the head of the answer.
    ///
    /// `id` is the id that the target repeats in its answer, if any. `fresh_connection` requires a new connection, on which
    /// no answer to an earlier request can arrive. One is also used if a request with this id was sent to the address
    /// before.
    ///
    /// # Errors
    ///
    /// Returns an error that states whether the request may have been sent.
    pub async fn send(
        &self,
        address: SocketAddr,
        request: Request<Bytes>,
        id: Option<&str>,
        fresh_connection: bool,
        deadline: Instant,
    ) -> Result<TargetExchange> {
        let dialer = DirectDialer { address };
        self.send_over(&dialer, address, request, id, fresh_connection, deadline).await
    }

    /// Like [`send`](Self::send), with new connections opened by `dialer`.
    ///
    /// # Errors
    ///
    /// Returns an error that states whether the request may have been sent.
    pub(crate) async fn send_over(
        &self,
        dialer: &impl ConnectionDialer,
        address: SocketAddr,
        request: Request<Bytes>,
        id: Option<&str>,
        fresh_connection: bool,
        deadline: Instant,
    ) -> Result<TargetExchange> {
        let mut request = request.map(Full::new);
        let was_sent = id.is_some_and(|id| self.sent.borrow_mut().record(address, id));
        if !fresh_connection && !was_sent {
            loop {
                let idle = self.pool.borrow_mut().take(address);
                let Some(connection) = idle else { break };
                // The peer may have closed an idle connection in the meantime; the unsent request is then returned.
                match self.send_on(connection, request, address, deadline).await {
                    Ok(exchange) => return Ok(exchange),
                    Err(FailedSend { error: SendError::NotSent, request: Some(returned) }) => {
                        request = returned;
                    }
                    Err(failure) => return Err(failure.error),
                }
            }
        }
        let connect_deadline = || deadline.min(Instant::now() + CONNECT_TIMEOUT);
        let connection = dialer.open(false, connect_deadline()).await?;
        let is_relayed = connection.is_relayed();
        let failure = match self.send_on(connection, request, address, deadline).await {
            Ok(exchange) => return Ok(exchange),
            Err(failure) => failure,
        };
        if is_relayed || failure.error == SendError::TimeOver {
            return Err(failure.error);
        }
        dialer.record_closed();
        let Some(request) = failure.request else { return Err(failure.error) };
        let connection = dialer.open(true, connect_deadline()).await?;
        let sent = self.send_on(connection, request, address, deadline).await;
        sent.map_err(|failure| failure.error)
    }

    async fn send_on(
        &self,
        mut connection: TargetConnection,
        mut request: Request<Full<Bytes>>,
        address: SocketAddr,
        deadline: Instant,
    ) -> std::result::Result<TargetExchange, FailedSend> {
        let failed = |error| FailedSend { error, request: None };
        let too_many = limit_informational(&mut request);
        let is_first = connection.begin_request();
        let is_relayed = connection.is_relayed();
        let mut unanswered = UnansweredRequest::new(&self.pool, address, !is_first);
        let sent = async {
            tokio::select! {
                sent = connection.send(request) => Some(sent),
                () = too_many.notified() => None,
            }
        };
        match timeout_at(deadline, sent).await {
            Ok(Some(Ok(response))) => {
                unanswered.end();
                let (parts, body) = Response::into_parts(response);
                let (status, headers) = (parts.status, parts.headers);
                if !FINAL_STATUSES.contains(&status.as_u16()) {
                    return Err(failed(SendError::Failed));
                }
                let framing = BodyFraming::of(&headers, &body);
                let buffered = self.buffered.clone();
                let read_ahead = BytesMut::new();
                Ok(TargetExchange {
                    status,
                    headers,
                    framing,
                    is_first,
                    is_relayed,
                    body,
                    read_ahead,
                    connection,
                    address,
                    buffered,
                })
            }
            Ok(Some(Err(mut error))) => match error.take_message() {
                Some(request) => {
                    Err(FailedSend { error: SendError::NotSent, request: Some(request) })
                }
                None => Err(failed(SendError::Failed)),
            },
            Ok(None) => Err(failed(SendError::Failed)),
            Err(_) => Err(failed(SendError::TimeOver)),
        }
    }

    /// Sends a request without an id to a target and reads the complete answer. A request that changes something uses a
    /// new connection, because nothing else tells its answer from an earlier one.
    ///
    /// # Errors
    ///
    /// Returns an error that states whether the request may have been sent.
    pub async fn call(
        &self,
        address: SocketAddr,
        request: Request<Bytes>,
        deadline: Instant,
    ) -> Result<(StatusCode, Bytes)> {
        let fresh_connection = !request.method().is_safe();
        let answer = self.exchange(address, request, fresh_connection, deadline).await?;
        Ok((answer.status(), answer.into_body()))
    }

    /// Sends a request to the store, which answers each request on a connection once, and reads the complete answer with
    /// its headers.
    ///
    /// # Errors
    ///
    /// Returns an error that states whether the request may have been sent.
    pub async fn call_with_headers(
        &self,
        address: SocketAddr,
        request: Request<Bytes>,
        deadline: Instant,
    ) -> Result<Response<Bytes>> {
        self.exchange(address, request, false, deadline).await
    }

    /// Sends a request over a new connection of `dialer` and reads the complete answer with its headers.
    ///
    /// # Errors
    ///
    /// Returns an error that states whether the request may have been sent.
    pub(crate) async fn call_over(
        &self,
        dialer: &impl ConnectionDialer,
        address: SocketAddr,
        request: Request<Bytes>,
        deadline: Instant,
    ) -> Result<Response<Bytes>> {
        let mut exchange = self.send_over(dialer, address, request, None, true, deadline).await?;
        exchange.read_answer(deadline).await
    }

    async fn exchange(
        &self,
        address: SocketAddr,
        request: Request<Bytes>,
        fresh_connection: bool,
        deadline: Instant,
    ) -> Result<Response<Bytes>> {
        let mut exchange = self.send(address, request, None, fresh_connection, deadline).await?;
        let answer = exchange.read_answer(deadline).await?;
        self.release(exchange);
        Ok(answer)
    }

    /// Returns the connection of an answer to the pool. The body must have been read to its end.
    pub fn release(&self, exchange: TargetExchange) {
        let TargetExchange { headers, connection, address, .. } = exchange;
        self.pool.borrow_mut().put(address, connection, &headers);
    }

    /// Closes the connections whose idle timeout has passed.
    pub fn close_expired(&self) {
        self.pool.borrow_mut().close_expired();
    }

    /// Closes the idle connections to an address, because another target may use the address next.
    pub fn close_idle(&self, address: SocketAddr) {
        self.pool.borrow_mut().close_idle(address);
    }

    /// Closes the idle connections to an address that lead through a peer, or those that don't.
    pub(crate) fn close_paths(&self, address: SocketAddr, relayed: bool) {
        self.pool.borrow_mut().close_paths(address, relayed);
    }

    /// Closes the idle connections that lead through peers.
    pub(crate) fn close_relayed(&self) {
        self.pool.borrow_mut().close_relayed();
    }

    /// Adds a connection on which nothing was sent to the pool.
    pub(crate) fn add_unused(&self, address: SocketAddr, connection: TargetConnection) {
        self.pool.borrow_mut().put(address, connection, &HeaderMap::new());
    }
}

// A failed send; the request is present if no byte of it was written.
struct FailedSend {
    error: SendError,
    request: Option<Request<Full<Bytes>>>,
}

// Limits the informational answers before the answer to a request; the result is notified when there are too many.
fn limit_informational(request: &mut Request<Full<Bytes>>) -> Arc<Notify> {
    let too_many = Arc::new(Notify::new());
    let (notifier, received) = (too_many.clone(), AtomicUsize::new(0));
    on_informational(request, move |_| {
        if received.fetch_add(1, Ordering::Relaxed) >= MAX_INFORMATIONAL_ANSWERS {
            notifier.notify_one();
        }
    });
    too_many
}

impl BodyFraming {
    fn of(headers: &HeaderMap, body: &Incoming) -> BodyFraming {
        // A body whose last transfer coding is another one ends with its connection.
        let codings = headers.get_all(TRANSFER_ENCODING).iter().next_back();
        let last_coding = codings.and_then(|codings| codings.to_str().ok()?.rsplit(',').next());
        if last_coding.is_some_and(|coding| coding.trim().eq_ignore_ascii_case("chunked")) {
            BodyFraming::Chunks
        } else if body.size_hint().exact().is_some() {
            BodyFraming::Length
        } else {
            BodyFraming::Connection
        }
    }

    /// Returns the name that is used in logs.
    pub fn name(self) -> &'static str {
        match self {
            BodyFraming::Length => "length",
            BodyFraming::Chunks => "chunks",
            BodyFraming::Connection => "connection",
        }
    }
}

impl TargetExchange {
    /// Returns the next bytes of the body, or `None` at its end.
    ///
    /// # Errors
    ///
    /// Returns an error if the body ends early or the deadline passes.
    pub async fn next(&mut self, deadline: Instant) -> Result<Option<Bytes>> {
        if !self.read_ahead.is_empty() {
            return Ok(Some(self.read_ahead.split().freeze()));
        }
        self.receive(deadline).await
    }

    /// Reads the body until what has come `suffices`, or to its end; returns whether it sufficed. Later reads still return
    /// these bytes.
    ///
    /// # Errors
    ///
    /// Returns an error if the body ends early, more than [`MAX_BUFFERED_BODY_BYTES`] don't suffice, or the deadline passes.
    pub async fn read_ahead(
        &mut self,
        suffices: impl Fn(&[u8]) -> bool,
        deadline: Instant,
    ) -> Result<bool> {
        while !suffices(&self.read_ahead) {
            let Some(bytes) = self.receive(deadline).await? else { return Ok(false) };
            self.read_ahead.extend_from_slice(&bytes);
            if self.read_ahead.len() > MAX_BUFFERED_BODY_BYTES {
                return Err(SendError::Failed);
            }
        }
        Ok(true)
    }

    // Returns whether the end of the connection may have come before that of the answer, as the request wasn't written to its end.
    fn may_be_cut(&self) -> bool {
        self.framing == BodyFraming::Connection && !self.connection.is_request_written()
    }

    async fn receive(&mut self, deadline: Instant) -> Result<Option<Bytes>> {
        loop {
            match timeout_at(deadline, self.body.frame()).await {
                Err(_) => return Err(SendError::TimeOver),
                Ok(None) if self.may_be_cut() => return Err(SendError::Failed),
                Ok(None) => return Ok(None),
                Ok(Some(Err(_))) => return Err(SendError::Failed),
                Ok(Some(Ok(frame))) => {
                    // Trailers are not forwarded.
                    if let Ok(bytes) = frame.into_data() {
                        return Ok(Some(bytes));
                    }
                }
            }
        }
    }

    // Returns the answer with its remaining body.
    async fn read_answer(&mut self, deadline: Instant) -> Result<Response<Bytes>> {
        let mut answer = Response::new(self.read_to_end(deadline).await?.bytes);
        *answer.status_mut() = self.status;
        *answer.headers_mut() = self.headers.clone();
        Ok(answer)
    }

    /// Reads the remaining body.
    ///
    /// # Errors
    ///
    /// Returns an error if the body ends early, is larger than [`MAX_BUFFERED_BODY_BYTES`], too many bytes of other
    /// answers are being buffered, or the deadline passes.
    pub async fn read_to_end(&mut self, deadline: Instant) -> Result<BufferedBody> {
        self.read_admitted(deadline, |_| true).await
    }

    /// Returns the declared length of the body, which may be wrong, up to [`MAX_BUFFERED_BODY_BYTES`]; 0 if there is none.
    pub(crate) fn declared_length(&self) -> usize {
        let declared = self.body.size_hint().exact().unwrap_or(0);
        usize::try_from(declared)
            .map_or(MAX_BUFFERED_BODY_BYTES, |length| length.min(MAX_BUFFERED_BODY_BYTES))
    }

    /// Like [`read_to_end`](Self::read_to_end), while `admit` accepts the number of bytes that were read.
    ///
    /// # Errors
    ///
    /// The same, and if `admit` returned `false`.
    pub(crate) async fn read_admitted(
        &mut self,
        deadline: Instant,
        admit: impl Fn(usize) -> bool,
    ) -> Result<BufferedBody> {
        let mut counted = BufferedBytes::new(self.buffered.clone());
        // The declared length only avoids the copies of a growing buffer.
        let mut body = BytesMut::with_capacity(self.declared_length());
        while let Some(bytes) = self.next(deadline).await? {
            if !counted.add(bytes.len()) || !admit(body.len() + bytes.len()) {
                return Err(SendError::Failed);
            }
            body.extend_from_slice(&bytes);
        }
        Ok(BufferedBody::new(body.freeze(), counted))
    }
}
