//! Connections to targets and to the store.
//!
//! The HTTP client takes the end of a connection for the end of a body, and calls a connection that ended before
//! the answer "not connected". Both would be dangerous here: a cut answer must not pass for a whole one, and a
//! request that was sent must not be reported as unsent. The socket type turns an early end into an error, and
//! [`was_sent`] reads the client's errors accordingly.

use std::{
    io,
    pin::Pin,
    sync::Arc,
    task::{Context, Poll, ready},
    time::Duration,
};

use actix_rt::net::{ActixStream, Ready, TcpStream};
use actix_service::{Service as _, fn_service};
use actix_tls::connect::{ConnectInfo, Connection, Connector as TcpConnector};
use actix_web::http::Uri;
use awc::{
    Client, ClientResponse, Connector,
    error::{ConnectError, PayloadError, SendRequestError},
    http::{
        Version,
        header::{CONTENT_LENGTH, TRANSFER_ENCODING},
    },
};
use rustls::ClientConfig;
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};

/// The time within which a server must take a connection; an attempt that didn't connect may run elsewhere.
const CONNECT_LIMIT_MS: u64 = 1_000;

/// A connection whose end is an error unless the body is delimited by it.
#[derive(Debug)]
struct OutboundSocket(TcpStream);

/// Returns a client that follows no redirect and keeps an idle connection for `keep_alive`.
pub(crate) fn client(keep_alive: Duration, tls: Option<&Arc<ClientConfig>>) -> Client {
    let tcp = TcpConnector::default().service();
    let connect = fn_service(move |info: ConnectInfo<Uri>| {
        let connecting = tcp.call(info);
        async move {
            let (stream, uri) = connecting.await?.into_parts();
            // Without the option a small request can wait for the acknowledgement of the one before it.
            let _ = stream.set_nodelay(true);
            Ok(Connection::new(uri, OutboundSocket(stream)))
        }
    });
    let mut connector = Connector::new()
        .connector(connect)
        .timeout(Duration::from_millis(CONNECT_LIMIT_MS))
        .conn_keep_alive(keep_alive)
        // The decision state bounds what runs; a second bound would make requests wait out of its sight.
        .limit(0)
        .max_http_version(Version::HTTP_11);
    if let Some(config) = tls {
        connector = connector.rustls_0_23(config.clone());
    }
    Client::builder()
        .connector(connector)
        .disable_redirects()
        .disable_timeout()
        .no_default_headers()
        .finish()
}

/// Returns whether a byte of the request may have left the socket.
pub(crate) fn was_sent(error: &SendRequestError) -> bool {
    match error {
        SendRequestError::Url(_) => false,
        // The client gives this error also for a connection that ended after the request was written.
        SendRequestError::Connect(ConnectError::Disconnected) => true,
        SendRequestError::Connect(_) => false,
        _ => true,
    }
}

/// Returns whether a body that ended with `error` is complete: one without a length ends with its connection.
pub(crate) fn is_body_end<S>(response: &ClientResponse<S>, error: &PayloadError) -> bool {
    let headers = response.headers();
    let is_delimited =
        headers.contains_key(CONTENT_LENGTH) || headers.contains_key(TRANSFER_ENCODING);
    let is_end =
        matches!(error, PayloadError::Io(error) if error.kind() == io::ErrorKind::UnexpectedEof);
    !is_delimited && is_end
}

impl AsyncRead for OutboundSocket {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let (before, room) = (buffer.filled().len(), buffer.remaining());
        ready!(Pin::new(&mut self.0).poll_read(context, buffer))?;
        if room > 0 && buffer.filled().len() == before {
            return Poll::Ready(Err(io::ErrorKind::UnexpectedEof.into()));
        }
        Poll::Ready(Ok(()))
    }
}

impl AsyncWrite for OutboundSocket {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.0).poll_write(context, bytes)
    }

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.0).poll_flush(context)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.0).poll_shutdown(context)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        parts: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.0).poll_write_vectored(context, parts)
    }

    fn is_write_vectored(&self) -> bool {
        self.0.is_write_vectored()
    }
}

impl ActixStream for OutboundSocket {
    fn poll_read_ready(&self, context: &mut Context<'_>) -> Poll<io::Result<Ready>> {
        ActixStream::poll_read_ready(&self.0, context)
    }

    fn poll_write_ready(&self, context: &mut Context<'_>) -> Poll<io::Result<Ready>> {
        ActixStream::poll_write_ready(&self.0, context)
    }
}
