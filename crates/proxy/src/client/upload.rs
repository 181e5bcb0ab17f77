//! Records whether requests were written completely.
//!
//! A target may answer before it has read a request. If its connection then ends, the write fails, and the read may end as if the
//! answer were complete: the system reports a reset once, and `hyper` drops the answer's body after a failed write.

use std::{
    cell::Cell,
    io::{IoSlice, Result},
    pin::Pin,
    rc::Rc,
    task::{Context, Poll, ready},
};

use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};

/// How far the request on a connection was written. Clones share it.
#[derive(Clone, Debug, Default)]
pub(super) struct UploadRecord {
    is_written: Rc<Cell<bool>>,
}

/// A connection's stream that records how far requests were written.
#[derive(Debug)]
pub(super) struct RecordedStream<S> {
    stream: S,
    record: UploadRecord,
    has_failed: bool,
    has_unflushed: bool,
}

impl UploadRecord {
    /// Starts the record of a new request.
    pub(super) fn begin(&self) {
        self.is_written.set(false);
    }

    /// Returns whether all of the latest request was written, and no write has failed.
    pub(super) fn is_written(&self) -> bool {
        self.is_written.get()
    }
}

impl<S> RecordedStream<S> {
    /// Wraps a stream on which nothing was written.
    pub(super) fn new(stream: S, record: UploadRecord) -> RecordedStream<S> {
        RecordedStream { stream, record, has_failed: false, has_unflushed: false }
    }

    // Bytes were written, so that others of the request may follow.
    fn record<T>(&mut self, result: Result<T>) -> Result<T> {
        self.has_failed |= result.is_err();
        self.has_unflushed = true;
        self.record.is_written.set(false);
        result
    }
}

impl<S: AsyncRead + Unpin> AsyncRead for RecordedStream<S> {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<Result<()>> {
        Pin::new(&mut self.stream).poll_read(context, buffer)
    }
}

impl<S: AsyncWrite + Unpin> AsyncWrite for RecordedStream<S> {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<Result<usize>> {
        let result = ready!(Pin::new(&mut self.stream).poll_write(context, bytes));
        Poll::Ready(self.record(result))
    }

    // `hyper` flushes the stream when it has written all that it had buffered. It buffers a body that is given at once as a
    // whole, together with the head.
    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<Result<()>> {
        let result = ready!(Pin::new(&mut self.stream).poll_flush(context));
        self.has_failed |= result.is_err();
        if std::mem::take(&mut self.has_unflushed) {
            self.record.is_written.set(!self.has_failed);
        }
        Poll::Ready(result)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(context)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        slices: &[IoSlice<'_>],
    ) -> Poll<Result<usize>> {
        let result = ready!(Pin::new(&mut self.stream).poll_write_vectored(context, slices));
        Poll::Ready(self.record(result))
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }
}

#[cfg(test)]
#[path = "../../tests/unit/upload.rs"]
mod tests;
