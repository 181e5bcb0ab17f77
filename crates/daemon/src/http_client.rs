//! The HTTP client for targets and the store.
//!
//! Two behaviors of the underlying client would be unsafe here. It treats the end of a connection as the end of the
//! body, so a truncated answer would pass for a complete one. It also reports a connection that ended before the answer
//! as "not connected", so a request that was sent would be reported as unsent. [`ClientSocket`] therefore turns an
//! early end of the connection into an error, and [`was_sent`] interprets the client's errors accordingly.

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
    error::{ConnectError, SendRequestError},
    http::{
        Method, StatusCode, Version,
        header::{CONTENT_LENGTH, TRANSFER_ENCODING},
    },
};
use rustls::ClientConfig;
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};

/// The timeout for connecting; an attempt that did not connect can safely run at another target.
const CONNECT_TIMEOUT_MS: u64 = 1_000;

/// A socket that reports the end of the connection as an error.
#[derive(Debug)]
struct ClientSocket(TcpStream);

/// Returns a client that follows no redirects and closes idle connections after `keep_alive`.
pub(crate) fn new_client(keep_alive: Duration, tls: Option<&Arc<ClientConfig>>) -> Client {
    let tcp = TcpConnector::default().service();
    let connect = fn_service(move |info: ConnectInfo<Uri>| {
        let connecting = tcp.call(info);
        async move {
            let (stream, uri) = connecting.await?.into_parts();
            // Nagle's algorithm would delay a small request until the previous one is acknowledged.
            let _ = stream.set_nodelay(true);
            Ok(Connection::new(uri, ClientSocket(stream)))
        }
    });
    let mut connector = Connector::new()
        .connector(connect)
        .timeout(Duration::from_millis(CONNECT_TIMEOUT_MS))
        .conn_keep_alive(keep_alive)
        // No limit: the decision state limits concurrency, and a second limit here would queue requests that the state
        // counts as running.
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

/// Returns whether any byte of the request may have been sent.
pub(crate) fn was_sent(error: &SendRequestError) -> bool {
    match error {
        SendRequestError::Url(_) => false,
        // The client also returns this error if the connection ended after the request was written.
        SendRequestError::Connect(ConnectError::Disconnected) => true,
        SendRequestError::Connect(_) => false,
        _ => true,
    }
}

/// Returns whether the connection was lost after the request may have been sent.
pub(crate) fn is_connection_lost(error: &SendRequestError) -> bool {
    matches!(
        error,
        SendRequestError::Connect(ConnectError::Disconnected) | SendRequestError::Send(_)
    )
}

/// Returns whether only the end of the connection marks the end of an answer's body.
///
/// Such an answer can't be told from one that was broken off, and for HTTP/1.1 the underlying client takes its body for
/// empty.
pub(crate) fn is_end_unmarked<S>(method: &Method, response: &ClientResponse<S>) -> bool {
    let status = response.status();
    let has_no_body = *method == Method::HEAD
        || status.is_informational()
        || matches!(status, StatusCode::NO_CONTENT | StatusCode::NOT_MODIFIED);
    let headers = response.headers();
    let is_marked = headers.contains_key(CONTENT_LENGTH) || headers.contains_key(TRANSFER_ENCODING);
    !has_no_body && !is_marked
}

impl AsyncRead for ClientSocket {
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

impl AsyncWrite for ClientSocket {
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

impl ActixStream for ClientSocket {
    fn poll_read_ready(&self, context: &mut Context<'_>) -> Poll<io::Result<Ready>> {
        ActixStream::poll_read_ready(&self.0, context)
    }

    fn poll_write_ready(&self, context: &mut Context<'_>) -> Poll<io::Result<Ready>> {
        ActixStream::poll_write_ready(&self.0, context)
    }
}
