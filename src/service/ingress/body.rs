//! Requests whose bodies are read within the limits of their server.

use std::sync::Arc;

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

/// Size of the first block of a body, in bytes; each further one is twice as large as the one
/// before, up to the largest size.
const FIRST_BLOCK_BYTES: usize = 1024;

/// Largest size of a block of a body, in bytes.
const MAX_BLOCK_BYTES: usize = 16 * 1024;

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
    pub async fn read(&mut self, limit: usize, deadline: Instant) -> Result<Vec<u8>, BodyError> {
        let deadline = deadline.min(Instant::now() + self.handle.ingress.body_limit);
        let handle = self.handle.clone();
        let mut buffer = BodyBuffer {
            blocks: Vec::new(),
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
    pub fn ignore(&self) -> Result<(), BodyError> {
        if self.handle.enter(ConnectionStage::Whole) {
            Ok(())
        } else {
            Err(BodyError::NoRoom)
        }
    }

    /// Reserves memory for what a request takes besides its body, until it is answered.
    ///
    /// # Errors
    ///
    /// Fails if there is no room; the request must not be passed on then.
    pub fn reserve(&self, bytes: usize) -> Result<(), BodyError> {
        self.handle.reserve(bytes).map_err(|_| BodyError::NoRoom)
    }

    async fn fill(&mut self, buffer: &mut BodyBuffer<'_>, limit: usize) -> Result<(), BodyError> {
        if self.incoming.size_hint().lower() > limit as u64 {
            return TooLargeSnafu { limit }.fail();
        }
        while let Some(frame) = self.incoming.frame().await {
            let frame = frame.map_err(|source| BodyError::Broken { source })?;
            // Trailers are ignored.
            if let Ok(data) = frame.into_data() {
                buffer.append(&data, limit)?;
            }
        }
        Ok(())
    }
}

/// Bytes of a body, in memory that is reserved at the server.
///
/// They are copied from the received chunks: each of these refers to the buffer in which it
/// was received, which it would keep. They are kept in blocks, since a buffer that grows
/// leaves freed memory of each former size with the allocator.
struct BodyBuffer<'a> {
    blocks: Vec<Vec<u8>>,
    length: usize,
    reserved: usize,
    handle: &'a ConnectionHandle,
}

impl BodyBuffer<'_> {
    fn append(&mut self, mut data: &[u8], limit: usize) -> Result<(), BodyError> {
        if self.length + data.len() > limit {
            return TooLargeSnafu { limit }.fail();
        }
        self.length += data.len();
        while !data.is_empty() {
            let block = match self.blocks.last_mut() {
                Some(block) if block.len() < block.capacity() => block,
                last => {
                    let former = last.map_or(0, |block| block.capacity());
                    let capacity = (former * 2).clamp(FIRST_BLOCK_BYTES, MAX_BLOCK_BYTES);
                    self.handle
                        .reserve(capacity)
                        .map_err(|_| BodyError::NoRoom)?;
                    self.reserved += capacity;
                    self.blocks.push_mut(Vec::with_capacity(capacity))
                }
            };
            let (part, rest) = data.split_at(data.len().min(block.capacity() - block.len()));
            block.extend_from_slice(part);
            data = rest;
        }
        Ok(())
    }

    /// Returns the bytes; their memory stays reserved until the request is answered.
    fn finish(mut self) -> Vec<u8> {
        self.reserved = 0;
        if self.blocks.len() == 1 {
            return self.blocks.remove(0);
        }
        self.blocks.concat()
    }
}

impl Drop for BodyBuffer<'_> {
    fn drop(&mut self) {
        self.blocks.clear();
        self.handle.release(self.reserved);
    }
}
