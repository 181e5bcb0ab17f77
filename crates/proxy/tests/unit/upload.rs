//! Tests that an answer without a declared end counts as complete only after its request was written.

use std::{
    io::{ErrorKind, Result},
    net::SocketAddr,
    pin::Pin,
    task::{Context, Poll, Waker},
    time::Duration,
};

use bytes::Bytes;
use http::Request;
use tokio::{
    io::{AsyncRead, AsyncWrite, ReadBuf},
    time::Instant,
};
use yare::parameterized;

use crate::client::{ConnectionDialer, SendError, TargetClient, TargetConnection};

const ANSWER: &[u8] = b"HTTP/1.1 200 X\r\n\r\npart";

/// What becomes of an upload after its first bytes.
#[derive(Clone, Copy, Debug)]
enum UploadEnd {
    /// It is written.
    Written,
    /// Nothing more is taken.
    Stuck,
    /// The write fails, which hides the failure from the reader: it sees an orderly end.
    Reset,
}

// A target that answers as soon as the first bytes of a request are there, and then ends its side in order.
struct EarlyTarget {
    upload: UploadEnd,
    written: usize,
    is_answered: bool,
    reader: Option<Waker>,
}

impl AsyncRead for EarlyTarget {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<Result<()>> {
        if self.written == 0 {
            self.reader = Some(context.waker().clone());
            return Poll::Pending;
        }
        if !std::mem::replace(&mut self.is_answered, true) {
            buffer.put_slice(ANSWER);
        }
        Poll::Ready(Ok(()))
    }
}

impl AsyncWrite for EarlyTarget {
    fn poll_write(
        mut self: Pin<&mut Self>,
        _: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<Result<usize>> {
        if self.written > 0 {
            match self.upload {
                UploadEnd::Written => {}
                UploadEnd::Stuck => return Poll::Pending,
                UploadEnd::Reset if self.is_answered => {
                    return Poll::Ready(Err(ErrorKind::ConnectionReset.into()));
                }
                UploadEnd::Reset => return Poll::Pending,
            }
        }
        let length = bytes.len().min(1_024);
        self.written += length;
        if let Some(reader) = self.reader.take() {
            reader.wake();
        }
        Poll::Ready(Ok(length))
    }

    fn poll_flush(self: Pin<&mut Self>, _: &mut Context<'_>) -> Poll<Result<()>> {
        Poll::Ready(Ok(()))
    }

    fn poll_shutdown(self: Pin<&mut Self>, _: &mut Context<'_>) -> Poll<Result<()>> {
        Poll::Ready(Ok(()))
    }
}

struct EarlyDialer(UploadEnd);

impl ConnectionDialer for EarlyDialer {
    async fn open(&self, _: bool, _: Instant) -> crate::client::Result<TargetConnection> {
        let upload = self.0;
        let target = EarlyTarget { upload, written: 0, is_answered: false, reader: None };
        TargetConnection::over(target, false).await
    }
}

/// Guards against a part of an answer that is taken for all of it because the upload met the end of the connection.
#[parameterized(
    written = { UploadEnd::Written, Ok(Bytes::from_static(b"part")) },
    stuck = { UploadEnd::Stuck, Err(SendError::Failed) },
    reset = { UploadEnd::Reset, Err(SendError::Failed) },
)]
fn an_unframed_answer_needs_a_written_request(
    upload: UploadEnd,
    expected: std::result::Result<Bytes, SendError>,
) {
    actix_rt::System::new().block_on(async {
        let address = SocketAddr::from(([127, 0, 0, 1], 1));
        let mut request = Request::new(Bytes::from(vec![b'x'; 100_000]));
        *request.method_mut() = http::Method::POST;
        let deadline = Instant::now() + Duration::from_secs(2);
        let client = TargetClient::default();
        let call = client.call_over(&EarlyDialer(upload), address, request, deadline).await;
        assert_eq!(call.map(http::Response::into_body), expected);
    });
}
