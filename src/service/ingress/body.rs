//! Requests whose bodies are read within the limits of their server.

use std::sync::Arc;

use bytes::Bytes;
use http_body_util::BodyExt;
use hyper::body::Body;
use hyper::body::Incoming;
use hyper::http::request::Parts;
use snafu::Snafu;
use tokio::time::Instant;
use tokio::time::sleep_until;

use crate::decide::connections::CloseCause;
use crate::decide::connections::ConnectionStage;
use crate::service::ingress::ConnectionHandle;

/// A request of a client; its body has not been read.
pub struct ClientRequest {
    /// Head of the request.
    pub parts: Parts,
    /// Body of the request.
    pub body: RequestBody,
}

/// A body that has not been read.
pub struct RequestBody {
    incoming: Incoming,
    handle: Arc<ConnectionHandle>,
}

/// A body that was not read. The request has not been passed on.
#[derive(Debug)]
#[derive(Snafu)]
pub enum BodyError {
    /// It is larger than allowed.
    #[snafu(display("step=body: larger than {limit} bytes"))]
    TooLarge {
        /// Limit on its size.
        limit: usize,
    },
    /// It was not received whole in time.
    #[snafu(display("step=body: not received in time"))]
    TimedOut,
    /// There is no memory for it, or its connection was chosen to be closed.
    #[snafu(display("step=body: no room"))]
    NoRoom,
    /// It is malformed, or its connection failed.
    #[snafu(display("step=body: {source}"))]
    Broken {
        /// Cause.
        source: hyper::Error,
    },
}

impl RequestBody {
    pub(super) fn new(incoming: Incoming, handle: Arc<ConnectionHandle>) -> Self {
        Self { incoming, handle }
    }

    /// Reads the body, of at most `limit` bytes, until `deadline` at the latest.
    ///
    /// # Errors
    ///
    /// Fails if the body is not received whole.
    pub async fn read(mut self, limit: usize, deadline: Instant) -> Result<Vec<u8>, BodyError> {
        let deadline = deadline.min(Instant::now() + self.handle.ingress.body_limit);
        let handle = self.handle.clone();
        let mut buffer = BodyBuffer {
            chunks: Vec::new(),
            length: 0,
            reserved: 0,
            handle: &handle,
        };
        let result = tokio::select! {
            biased;
            result = self.fill(&mut buffer, limit) => result,
            () = handle.closed() => Err(BodyError::NoRoom),
            () = sleep_until(deadline) => {
                handle.count(CloseCause::BodyTimeout);
                Err(BodyError::TimedOut)
            }
        };
        result?;
        let body = buffer.finish();
        self.ignore().map(|()| body)
    }

    /// Leaves the body unread, for a request that does not need it.
    ///
    /// # Errors
    ///
    /// Fails if the connection is being closed; the request must not be passed on then.
    pub fn ignore(self) -> Result<(), BodyError> {
        if self.handle.enter(ConnectionStage::Whole) {
            Ok(())
        } else {
            Err(BodyError::NoRoom)
        }
    }

    async fn fill(&mut self, buffer: &mut BodyBuffer<'_>, limit: usize) -> Result<(), BodyError> {
        if self.incoming.size_hint().lower() > limit as u64 {
            return TooLargeSnafu { limit }.fail();
        }
        while let Some(frame) = self.incoming.frame().await {
            let frame = frame.map_err(|source| BodyError::Broken { source })?;
            // Trailers are ignored.
            if let Ok(data) = frame.into_data() {
                buffer.append(data, limit)?;
            }
        }
        Ok(())
    }
}

/// Chunks of a body, in memory that is reserved at the server.
struct BodyBuffer<'a> {
    chunks: Vec<Bytes>,
    length: usize,
    reserved: usize,
    handle: &'a ConnectionHandle,
}

impl BodyBuffer<'_> {
    fn append(&mut self, data: Bytes, limit: usize) -> Result<(), BodyError> {
        self.length += data.len();
        if self.length > limit {
            return TooLargeSnafu { limit }.fail();
        }
        self.handle
            .reserve(data.len())
            .map_err(|_| BodyError::NoRoom)?;
        self.reserved += data.len();
        self.chunks.push(data);
        Ok(())
    }

    /// Returns the bytes; their memory stays reserved until the request is answered.
    fn finish(mut self) -> Vec<u8> {
        self.reserved = 0;
        self.chunks.concat()
    }
}

impl Drop for BodyBuffer<'_> {
    fn drop(&mut self) {
        self.chunks.clear();
        self.handle.release(self.reserved);
    }
}
