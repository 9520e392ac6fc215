//! The stream of a connection: counts its bytes in the table of the server.

use std::io;
use std::io::IoSlice;
use std::pin::Pin;
use std::sync::Arc;
use std::task::Context;
use std::task::Poll;
use std::task::ready;

use tokio::io::AsyncRead;
use tokio::io::AsyncWrite;
use tokio::io::ReadBuf;
use tokio::net::TcpStream;

use crate::service::ingress::ConnectionHandle;

/// Max bytes in one read: half of the first buffer of the HTTP library, which grows if a read
/// fills it.
const MAX_READ_BYTES: usize = 4096;

/// Stream of a client's connection.
pub(super) struct ClientStream {
    stream: TcpStream,
    handle: Arc<ConnectionHandle>,
    /// Whether the last write could not be completed.
    write_blocked: bool,
}

impl ClientStream {
    pub(super) fn new(stream: TcpStream, handle: Arc<ConnectionHandle>) -> Self {
        Self {
            stream,
            handle,
            write_blocked: false,
        }
    }

    /// Records the result of a write.
    fn record_write(&mut self, result: Poll<io::Result<usize>>) -> Poll<io::Result<usize>> {
        match &result {
            Poll::Pending => {
                if !std::mem::replace(&mut self.write_blocked, true) {
                    self.handle.block();
                }
            }
            Poll::Ready(sent) => {
                if std::mem::take(&mut self.write_blocked) {
                    self.handle.unblock(sent.as_ref().copied().unwrap_or(0));
                }
            }
        }
        result
    }
}

impl AsyncRead for ClientStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let limit = buffer.remaining().min(MAX_READ_BYTES);
        let mut part = ReadBuf::new(buffer.initialize_unfilled_to(limit));
        ready!(Pin::new(&mut self.stream).poll_read(cx, &mut part))?;
        let received = part.filled().len();
        buffer.advance(received);
        if received > 0 && self.handle.receive(received).is_err() {
            let error = io::Error::other("no room for the request");
            return Poll::Ready(Err(error));
        }
        Poll::Ready(Ok(()))
    }
}

impl AsyncWrite for ClientStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        let result = Pin::new(&mut self.stream).poll_write(cx, bytes);
        self.record_write(result)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        slices: &[IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        let result = Pin::new(&mut self.stream).poll_write_vectored(cx, slices);
        self.record_write(result)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }

    // The HTTP library flushes once it has written everything, so the answer has been sent.
    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        ready!(Pin::new(&mut self.stream).poll_flush(cx))?;
        self.handle.end_answer();
        Poll::Ready(Ok(()))
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(cx)
    }
}
