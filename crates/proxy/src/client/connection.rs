//! One connection.

use std::{net::SocketAddr, time::Duration};

use bytes::Bytes;
use futures_util::FutureExt;
use http::{Request, Response};
use http_body_util::Full;
use hyper::{
    body::Incoming,
    client::conn::{TrySendError, http1},
};
use hyper_util::rt::TokioIo;
use socket2::{SockRef, TcpKeepalive};
use tokio::{
    net::TcpStream,
    task::AbortHandle,
    time::{Instant, timeout_at},
};

use super::{Result, SendError};

/// The time for which written bytes may stay without acknowledgement before the connection counts as dead. The
/// longest round trip is some tens of milliseconds; a lost packet is sent again within some hundred.
const UNACKNOWLEDGED_TIMEOUT: Duration = Duration::from_millis(1_500);

/// The silence after which the other side is asked whether it still lives.
const KEEPALIVE_INTERVAL: Duration = Duration::from_secs(1);

/// The unanswered questions after which it counts as dead.
const KEEPALIVE_RETRIES: u32 = 2;

/// A connection and the task that drives it. Dropping it closes the connection.
#[derive(Debug)]
pub(super) struct TargetConnection {
    sender: http1::SendRequest<Full<Bytes>>,
    task: AbortHandle,
}

impl TargetConnection {
    /// Opens a connection.
    pub(super) async fn open(address: SocketAddr, deadline: Instant) -> Result<TargetConnection> {
        let connect = timeout_at(deadline, TcpStream::connect(address)).await;
        let Ok(Ok(stream)) = connect else { return Err(SendError::NotSent) };
        // Options that the system refuses only delay the discovery of a dead connection.
        let _ = stream.set_nodelay(true);
        let socket = SockRef::from(&stream);
        let keepalive = TcpKeepalive::new()
            .with_time(KEEPALIVE_INTERVAL)
            .with_interval(KEEPALIVE_INTERVAL)
            .with_retries(KEEPALIVE_RETRIES);
        let _ = socket.set_tcp_keepalive(&keepalive);
        let _ = socket.set_tcp_user_timeout(Some(UNACKNOWLEDGED_TIMEOUT));
        let handshake = http1::handshake(TokioIo::new(stream)).await;
        let (sender, connection) = handshake.map_err(|_| SendError::NotSent)?;
        // Its errors also reach whoever waits for an answer on it.
        let task = actix_rt::spawn(async move { drop(connection.await) }).abort_handle();
        Ok(TargetConnection { sender, task })
    }

    /// Sends a request and returns the head of the answer.
    pub(super) async fn send(
        &mut self,
        request: Request<Full<Bytes>>,
    ) -> std::result::Result<Response<Incoming>, TrySendError<Request<Full<Bytes>>>> {
        self.sender.try_send_request(request).await
    }

    /// Returns whether the connection can take another request now: the answer before is complete, the whole request
    /// before was written, and nothing else came.
    pub(super) fn is_ready(&mut self) -> bool {
        matches!(self.sender.ready().now_or_never(), Some(Ok(())))
    }
}

impl Drop for TargetConnection {
    fn drop(&mut self) {
        self.task.abort();
    }
}
