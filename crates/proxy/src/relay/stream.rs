//! The router's end of a connection through a peer.
//!
//! The target's bytes come in chunks, each after its length in two bytes; an empty chunk marks that the target closed its
//! connection. A connection that ends without this mark was broken, which an answer that ends with its connection couldn't
//! tell otherwise.

use std::{
    io::{Error, ErrorKind, Result},
    pin::Pin,
    task::{Context, Poll, ready},
};

use tokio::io::{AsyncRead, AsyncWrite, AsyncWriteExt, ReadBuf};

/// The size limit of a chunk.
pub(super) const MAX_CHUNK_BYTES: usize = 16 * 1024;

/// The bytes of a chunk's length.
pub(super) const LENGTH_BYTES: usize = 2;

/// A stream to a target through a peer. Reads decode the peer's chunks; writes are passed on as they are.
#[derive(Debug)]
pub(super) struct RelayStream<S> {
    stream: S,
    length: [u8; LENGTH_BYTES],
    length_read: usize,
    chunk_left: usize,
    has_ended: bool,
}

impl<S> RelayStream<S> {
    /// Returns the stream over a connection on which the peer has answered the opening.
    pub(super) fn new(stream: S) -> RelayStream<S> {
        RelayStream {
            stream,
            length: [0; LENGTH_BYTES],
            length_read: 0,
            chunk_left: 0,
            has_ended: false,
        }
    }
}

impl<S: AsyncRead + Unpin> RelayStream<S> {
    // Reads the rest of a chunk's length.
    fn poll_length(&mut self, context: &mut Context<'_>) -> Poll<Result<()>> {
        while self.length_read < LENGTH_BYTES {
            let mut buffer = ReadBuf::new(&mut self.length[self.length_read..]);
            ready!(Pin::new(&mut self.stream).poll_read(context, &mut buffer))?;
            let read = buffer.filled().len();
            if read == 0 {
                return Poll::Ready(Err(broken()));
            }
            self.length_read += read;
        }
        self.length_read = 0;
        self.chunk_left = usize::from(u16::from_be_bytes(self.length));
        self.has_ended = self.chunk_left == 0;
        if self.chunk_left > MAX_CHUNK_BYTES {
            let message = "a chunk of the peer is too large";
            return Poll::Ready(Err(Error::new(ErrorKind::InvalidData, message)));
        }
        Poll::Ready(Ok(()))
    }
}

fn broken() -> Error {
    Error::new(ErrorKind::ConnectionReset, "the connection through the peer broke")
}

impl<S: AsyncRead + Unpin> AsyncRead for RelayStream<S> {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<Result<()>> {
        let stream = &mut *self;
        if buffer.remaining() == 0 {
            return Poll::Ready(Ok(()));
        }
        while stream.chunk_left == 0 && !stream.has_ended {
            ready!(stream.poll_length(context))?;
        }
        if stream.has_ended {
            return Poll::Ready(Ok(()));
        }
        let size = stream.chunk_left.min(buffer.remaining());
        let mut part = ReadBuf::new(buffer.initialize_unfilled_to(size));
        ready!(Pin::new(&mut stream.stream).poll_read(context, &mut part))?;
        let read = part.filled().len();
        if read == 0 {
            return Poll::Ready(Err(broken()));
        }
        buffer.advance(read);
        stream.chunk_left -= read;
        Poll::Ready(Ok(()))
    }
}

impl<S: AsyncWrite + Unpin> AsyncWrite for RelayStream<S> {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<Result<usize>> {
        Pin::new(&mut self.stream).poll_write(context, bytes)
    }

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<Result<()>> {
        Pin::new(&mut self.stream).poll_flush(context)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(context)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        slices: &[std::io::IoSlice<'_>],
    ) -> Poll<Result<usize>> {
        Pin::new(&mut self.stream).poll_write_vectored(context, slices)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }
}

/// Writes a chunk whose bytes follow after [`LENGTH_BYTES`] reserved ones in `buffer`; an empty chunk marks the end.
///
/// # Errors
///
/// Returns an error if the connection breaks.
///
/// # Panics
///
/// Panics if the chunk is larger than its length can express; buffers have at most [`MAX_CHUNK_BYTES`].
pub(super) async fn write_chunk(
    stream: &mut (impl AsyncWrite + Unpin),
    buffer: &mut [u8],
) -> Result<()> {
    let length = u16::try_from(buffer.len() - LENGTH_BYTES).expect("a chunk fits its length");
    buffer[..LENGTH_BYTES].copy_from_slice(&length.to_be_bytes());
    stream.write_all(buffer).await
}
