//! A single HTTP/1.1 connection to a target or to the store.

use std::net::SocketAddr;

use bytes::Bytes;
use futures_util::FutureExt;
use http::{Request, Response};
use http_body_util::Full;
use hyper::{
    body::Incoming,
    client::conn::{TrySendError, http1},
};
use hyper_util::rt::TokioIo;
use tokio::{
    io::{AsyncRead, AsyncWrite},
    net::TcpStream,
    task::AbortHandle,
    time::{Instant, timeout_at},
};

use super::{
    Result, SendError,
    upload::{RecordedStream, UploadRecord},
    watched_stream::WatchedStream,
};

/// The limit of bytes that a connection buffers, and thereby of an answer's head. A head without end fails the call.
const MAX_BUFFERED_BYTES: usize = 64 * 1024;

/// A connection and the task that drives it. Dropping it closes the connection.
#[derive(Debug)]
pub(crate) struct TargetConnection {
    sender: http1::SendRequest<Full<Bytes>>,
    task: AbortHandle,
    has_requests: bool,
    is_relayed: bool,
    upload: UploadRecord,
}

impl TargetConnection {
    /// Opens a connection, with the deadline applying to the TCP connect.
    ///
    /// # Errors
    ///
    /// Returns [`SendError::NotSent`] if the connection can't be established.
    pub(crate) async fn open(address: SocketAddr, deadline: Instant) -> Result<TargetConnection> {
        let connect = timeout_at(deadline, TcpStream::connect(address)).await;
        let Ok(Ok(stream)) = connect else { return Err(SendError::NotSent) };
        TargetConnection::over(WatchedStream::new(stream), false).await
    }

    /// Starts HTTP on a stream that is connected to the target; `is_relayed` says that this is through a peer.
    ///
    /// # Errors
    ///
    /// Returns [`SendError::NotSent`] if the stream is closed.
    pub(crate) async fn over<S>(stream: S, is_relayed: bool) -> Result<TargetConnection>
    where
        S: AsyncRead + AsyncWrite + Unpin + 'static,
    {
        let upload = UploadRecord::default();
        let stream = RecordedStream::new(stream, upload.clone());
        let handshake = http1::Builder::new()
            .max_buf_size(MAX_BUFFERED_BYTES)
            .handshake(TokioIo::new(stream))
            .await;
        let (sender, connection) = handshake.map_err(|_| SendError::NotSent)?;
        // The result is dropped because an error also reaches the task that waits for an answer on the connection.
        let task = actix_rt::spawn(async move { drop(connection.await) }).abort_handle();
        Ok(TargetConnection { sender, task, has_requests: false, is_relayed, upload })
    }

    /// Returns whether the connection leads through a peer.
    pub(super) fn is_relayed(&self) -> bool {
        self.is_relayed
    }

    /// Records that a request follows, and returns whether it is the first on this connection.
    pub(super) fn begin_request(&mut self) -> bool {
        self.upload.begin();
        !std::mem::replace(&mut self.has_requests, true)
    }

    /// Returns whether all of the latest request was written.
    pub(super) fn is_request_written(&self) -> bool {
        self.upload.is_written()
    }

    /// Sends a request and returns the answer with an unread body. The error contains the request if it wasn't sent.
    pub(super) async fn send(
        &mut self,
        request: Request<Full<Bytes>>,
    ) -> std::result::Result<Response<Incoming>, TrySendError<Request<Full<Bytes>>>> {
        self.sender.try_send_request(request).await
    }

    /// Returns whether the connection can take another request now: the previous request was written completely, its
    /// answer is complete, and nothing else was received.
    pub(crate) fn is_ready(&mut self) -> bool {
        matches!(self.sender.ready().now_or_never(), Some(Ok(())))
    }
}

impl Drop for TargetConnection {
    fn drop(&mut self) {
        self.task.abort();
    }
}
