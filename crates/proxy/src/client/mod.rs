//! Connections to targets and to the store.
//!
//! `awc` keeps its pool to itself: it doesn't tell whether a byte of a request was written, reuses a connection on
//! which a late answer to another request may be due, and hides that a body ended early. Which of these happened
//! decides whether a request may be sent again, so the proxy uses `hyper`'s connection type, the nearest kin, and
//! keeps the connections itself.

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

/// How a send failed.
#[derive(Clone, Copy, Debug, Eq, PartialEq, thiserror::Error)]
pub enum SendError {
    /// No byte of the request was written.
    #[error("not sent")]
    NotSent,
    /// The request may have been read; no usable answer came.
    #[error("failed after sending")]
    Failed,
    /// The time was over after the request was sent.
    #[error("no answer in time")]
    TimeOver,
}

/// A `Result` with a [`SendError`].
pub type Result<T> = std::result::Result<T, SendError>;

/// Connections to all targets.
#[derive(Debug, Default)]
pub struct TargetClient {
    pool: RefCell<ConnectionPool>,
}

/// An answer whose body is still to be read. Dropping it closes the connection, which cancels the work.
#[derive(Debug)]
pub struct TargetExchange {
    /// The status.
    pub status: StatusCode,
    /// The headers.
    pub headers: HeaderMap,
    body: Incoming,
    connection: TargetConnection,
    address: SocketAddr,
}

/// The time to establish a connection. The longest way between zones is a few milliseconds; a target that takes
/// longer is down or cut off.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(350);

/// The largest body of an answer that is read as a whole.
pub const MAX_BUFFERED_BODY_BYTES: usize = 4 << 20;

impl TargetClient {
    /// Sends a request and returns the head of the answer.
    ///
    /// `fresh` asks for a new connection, on which no answer to an earlier request can be due.
    ///
    /// # Errors
    ///
    /// Returns how far the request came.
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
                // A kept connection may have been closed meanwhile; the request then comes back unsent.
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

    /// Sends a request and reads the whole answer.
    ///
    /// # Errors
    ///
    /// Returns how far the request came.
    pub async fn call(
        &self,
        address: SocketAddr,
        request: Request<Bytes>,
        deadline: Instant,
    ) -> Result<(StatusCode, Bytes)> {
        let mut exchange = self.send(address, request, false, deadline).await?;
        let body = exchange.read_to_end(deadline).await?;
        let status = exchange.status;
        self.release(exchange);
        Ok((status, body))
    }

    /// Keeps the connection of an answer whose body was read to its end.
    pub fn release(&self, exchange: TargetExchange) {
        let TargetExchange { headers, connection, address, .. } = exchange;
        self.pool.borrow_mut().put(address, connection, &headers);
    }

    /// Closes idle connections whose time is over.
    pub fn close_expired(&self) {
        self.pool.borrow_mut().close_expired();
    }

    /// Closes the idle connections to an address, which may pass to another target.
    pub fn close_idle(&self, address: SocketAddr) {
        self.pool.borrow_mut().close_idle(address);
    }
}

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
    /// Returns an error if the body breaks off or the time is over.
    pub async fn next(&mut self, deadline: Instant) -> Result<Option<Bytes>> {
        loop {
            match timeout_at(deadline, self.body.frame()).await {
                Err(_) => return Err(SendError::TimeOver),
                Ok(None) => return Ok(None),
                Ok(Some(Err(_))) => return Err(SendError::Failed),
                Ok(Some(Ok(frame))) => {
                    // Trailers concern the connection and are not passed on.
                    if let Ok(bytes) = frame.into_data() {
                        return Ok(Some(bytes));
                    }
                }
            }
        }
    }

    /// Reads the rest of the body.
    ///
    /// # Errors
    ///
    /// Returns an error if the body breaks off, is too large or the time is over.
    pub async fn read_to_end(&mut self, deadline: Instant) -> Result<Bytes> {
        let body = Limited::new(&mut self.body, MAX_BUFFERED_BODY_BYTES);
        match timeout_at(deadline, body.collect()).await {
            Err(_) => Err(SendError::TimeOver),
            Ok(Err(_)) => Err(SendError::Failed),
            Ok(Ok(body)) => Ok(body.to_bytes()),
        }
    }
}
