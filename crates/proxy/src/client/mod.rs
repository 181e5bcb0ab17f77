//! An HTTP client with a connection pool, for calls to targets and to the store.
//!
//! Whether a request may be sent again depends on details that `awc` hides: it doesn't report whether any byte of a
//! request was written, it reuses connections on which a late answer to another request may still arrive, and it
//! doesn't report that a body ended early. The proxy therefore pools connections itself, on top of `hyper`'s connection
//! type.

mod connection;
mod pool;

use std::{cell::RefCell, net::SocketAddr, time::Duration};

use bytes::Bytes;
use http::{HeaderMap, Request, Response, StatusCode};
use http_body_util::{BodyExt, Full, Limited};
use hyper::body::Incoming;
use tokio::time::{Instant, timeout_at};

use connection::TargetConnection;
use pool::ConnectionPool;

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
}

/// An answer whose body has not been read to its end. Dropping it closes the connection, which cancels the run.
#[derive(Debug)]
pub struct TargetExchange {
    /// The status of the answer.
    pub status: StatusCode,
    /// The headers of the answer, including hop-by-hop headers.
    pub headers: HeaderMap,
    body: Incoming,
    connection: TargetConnection,
    address: SocketAddr,
}

/// The time limit for establishing a connection. The longest round trip between zones takes a few milliseconds; a target
/// that takes much longer is down or unreachable.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(350);

/// The size limit of an answer body that is buffered completely.
pub const MAX_BUFFERED_BODY_BYTES: usize = 4 << 20;

impl TargetClient {
    /// Sends a request and returns the head of the answer.
    ///
    /// `fresh_connection` requires a new connection, on which no answer to an earlier request can arrive.
    ///
    /// # Errors
    ///
    /// Returns an error that states whether the request may have been sent.
    pub async fn send(
        &self,
        address: SocketAddr,
        request: Request<Bytes>,
        fresh_connection: bool,
        deadline: Instant,
    ) -> Result<TargetExchange> {
        let mut request = request.map(Full::new);
        if !fresh_connection {
            loop {
                let idle = self.pool.borrow_mut().take(address);
                let Some(connection) = idle else { break };
                // The peer may have closed an idle connection in the meantime; the unsent request is then returned.
                match send_on_connection(connection, request, address, deadline).await {
                    Ok(exchange) => return Ok(exchange),
                    Err(FailedSend { error: SendError::NotSent, request: Some(returned) }) => {
                        request = returned;
                    }
                    Err(failure) => return Err(failure.error),
                }
            }
        }
        let connect_deadline = deadline.min(Instant::now() + CONNECT_TIMEOUT);
        let connection = TargetConnection::open(address, connect_deadline).await?;
        send_on_connection(connection, request, address, deadline)
            .await
            .map_err(|failure| failure.error)
    }

    /// Sends a request and reads the complete answer.
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
        let answer = self.call_with_headers(address, request, deadline).await?;
        Ok((answer.status(), answer.into_body()))
    }

    /// Sends a request and reads the complete answer with its headers.
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
        let mut exchange = self.send(address, request, false, deadline).await?;
        let mut answer = Response::new(exchange.read_to_end(deadline).await?);
        *answer.status_mut() = exchange.status;
        *answer.headers_mut() = exchange.headers.clone();
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
}

// A failed send; the request is present if no byte of it was written.
struct FailedSend {
    error: SendError,
    request: Option<Request<Full<Bytes>>>,
}

async fn send_on_connection(
    mut connection: TargetConnection,
    request: Request<Full<Bytes>>,
    address: SocketAddr,
    deadline: Instant,
) -> std::result::Result<TargetExchange, FailedSend> {
    let failed = |error| FailedSend { error, request: None };
    match timeout_at(deadline, connection.send(request)).await {
        Ok(Ok(response)) => {
            let (parts, body) = Response::into_parts(response);
            let (status, headers) = (parts.status, parts.headers);
            Ok(TargetExchange { status, headers, body, connection, address })
        }
        Ok(Err(mut error)) => match error.take_message() {
            Some(request) => Err(FailedSend { error: SendError::NotSent, request: Some(request) }),
            None => Err(failed(SendError::Failed)),
        },
        Err(_) => Err(failed(SendError::TimeOver)),
    }
}

impl TargetExchange {
    /// Returns the next bytes of the body, or `None` at its end.
    ///
    /// # Errors
    ///
    /// Returns an error if the body ends early or the deadline passes.
    pub async fn next(&mut self, deadline: Instant) -> Result<Option<Bytes>> {
        loop {
            match timeout_at(deadline, self.body.frame()).await {
                Err(_) => return Err(SendError::TimeOver),
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

    /// Reads the remaining body.
    ///
    /// # Errors
    ///
    /// Returns an error if the body ends early, is larger than [`MAX_BUFFERED_BODY_BYTES`] or the deadline passes.
    pub async fn read_to_end(&mut self, deadline: Instant) -> Result<Bytes> {
        let body = Limited::new(&mut self.body, MAX_BUFFERED_BODY_BYTES);
        match timeout_at(deadline, body.collect()).await {
            Err(_) => Err(SendError::TimeOver),
            Ok(Err(_)) => Err(SendError::Failed),
            Ok(Ok(body)) => Ok(body.to_bytes()),
        }
    }
}
