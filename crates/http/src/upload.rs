//! A stream that does not take the end of its peer for the end of an answer while the request is still being written.

use std::io;
use std::pin::Pin;
use std::task::{Context, Poll, ready};
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};

/// Stream of a client on which a peer that ends it before the last write is complete has broken off.
///
/// An answer without a length ends with its connection. A peer in trouble that answers at once may end the connection before it has read the
/// request, and what it sent so far must not count as the whole answer. A failed write counts as such an end too, since the operating system
/// reports a reset only once, to a write or to a read.
#[derive(Debug)]
pub struct UploadStream<S> {
    stream: S,
    is_writing: bool,
}

impl<S> UploadStream<S> {
    /// Wraps a stream of which nothing was written.
    ///
    /// ```
    /// let stream = fulmarswitch_http::UploadStream::new(tokio::io::empty());
    /// ```
    #[must_use]
    pub fn new(stream: S) -> Self {
        Self {
            stream,
            is_writing: false,
        }
    }

    /// Records the result of a write of `length` bytes.
    fn record_write(
        &mut self,
        length: usize,
        result: Poll<io::Result<usize>>,
    ) -> Poll<io::Result<usize>> {
        self.is_writing = !matches!(result, Poll::Ready(Ok(written)) if written == length);
        result
    }
}

impl<S: AsyncRead + Unpin> AsyncRead for UploadStream<S> {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let (before, has_space) = (buffer.filled().len(), buffer.remaining() > 0);
        ready!(Pin::new(&mut self.stream).poll_read(context, buffer))?;
        let is_ended = has_space && buffer.filled().len() == before;
        if is_ended && self.is_writing {
            let cause = "the peer ended the connection while the request was being written";
            return Poll::Ready(Err(io::Error::new(io::ErrorKind::ConnectionReset, cause)));
        }
        Poll::Ready(Ok(()))
    }
}

impl<S: AsyncWrite + Unpin> AsyncWrite for UploadStream<S> {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        let result = Pin::new(&mut self.stream).poll_write(context, bytes);
        self.record_write(bytes.len(), result)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        slices: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        let length = slices.iter().map(|slice| slice.len()).sum();
        let result = Pin::new(&mut self.stream).poll_write_vectored(context, slices);
        self.record_write(length, result)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(context)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(context)
    }
}
