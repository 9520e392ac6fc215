//! HTTP/1.1 servers that clients which do not finish their requests cannot exhaust.
//!
//! The memory of unfinished requests and the number of connections are limited for each
//! server as a whole, and the time for each stage of a connection is limited. What to close
//! when there is no room is decided in [`crate::decide::connections`]; this module carries
//! it out. [`stream`] counts the bytes of a connection, [`body`] reads bodies, [`serve`]
//! accepts connections.

pub mod body;
pub mod limits;
pub mod serve;
pub mod stream;

use std::collections::BTreeMap;
use std::collections::HashMap;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::time::Duration;

use tokio::sync::Notify;
use tokio::sync::watch;
use tokio::time::Instant;
use tokio::time::timeout_at;

use crate::decide::connections::CloseCause;
use crate::decide::connections::ConnectionClosure;
use crate::decide::connections::ConnectionId;
use crate::decide::connections::ConnectionStage;
use crate::decide::connections::ConnectionTable;
use crate::decide::connections::NoRoom;
use crate::decide::connections::StageLimits;
use crate::metrics::CLOSED_CONNECTIONS;
use crate::metrics::REQUEST_BUFFER_BYTES;
use crate::service::ingress::limits::ServeLimits;

/// Memory of a head for each byte received: the buffer doubles as it grows.
const HEAD_BUFFER_FACTOR: usize = 2;

/// Max time for which a new connection waits for the end of answers that do not wait for their
/// clients.
const SENDING_LIMIT: Duration = Duration::from_millis(100);

struct IngressState {
    table: ConnectionTable,
    closers: HashMap<ConnectionId, watch::Sender<Option<CloseCause>>>,
    /// Closed connections by cause, since they were last logged.
    closed: BTreeMap<CloseCause, u64>,
}

/// The connections of one server; clones share them.
#[derive(Clone)]
pub struct Ingress {
    name: &'static str,
    started: Instant,
    body_limit: Duration,
    state: Arc<Mutex<IngressState>>,
    /// Wakes new connections when an answer was sent, is blocked or has failed.
    sent: Arc<Notify>,
}

impl Ingress {
    /// Creates a server's table of connections; `name` is for the log.
    #[must_use]
    pub fn new(name: &'static str, limits: &ServeLimits) -> Self {
        let state = IngressState {
            table: ConnectionTable::new(limits.connections),
            closers: HashMap::new(),
            closed: BTreeMap::new(),
        };
        Self {
            name,
            started: Instant::now(),
            body_limit: limits.body_limit,
            state: Arc::new(Mutex::new(state)),
            sent: Arc::default(),
        }
    }

    /// Adds a connection; another one may be closed for it.
    ///
    /// A client may have read the whole answer on one connection, and open another one, before the
    /// first is known to be idle here. So if there is no place, this waits for answers that are
    /// being sent and do not wait for their clients.
    ///
    /// # Errors
    ///
    /// Fails if all places are taken by connections that may not be closed.
    pub async fn open(&self) -> Result<Arc<ConnectionHandle>, NoRoom> {
        let deadline = Instant::now() + SENDING_LIMIT;
        loop {
            let sent = self.sent.notified();
            tokio::pin!(sent);
            // Registers for wake-ups before the table is read.
            sent.as_mut().enable();
            let is_sending = match self.try_open() {
                Ok(handle) => return Ok(handle),
                Err(NoRoom) => self.lock().table.is_sending(),
            };
            if !is_sending || timeout_at(deadline, sent).await.is_err() {
                self.count(&mut self.lock(), CloseCause::NoRoom);
                return Err(NoRoom);
            }
        }
    }

    fn try_open(&self) -> Result<Arc<ConnectionHandle>, NoRoom> {
        let mut state = self.lock();
        let (id, closure) = state.table.open(self.now())?;
        self.close(&mut state, closure);
        let (closer, closing) = watch::channel(None);
        state.closers.insert(id, closer);
        Ok(Arc::new(ConnectionHandle {
            ingress: self.clone(),
            id,
            closing,
            answering: AtomicBool::new(false),
        }))
    }

    /// Closes the connections whose stage has taken too long, and logs how many were closed
    /// since the last call.
    pub fn sweep(&self, limits: StageLimits) {
        let mut state = self.lock();
        let expired = state.table.expire(limits, self.now());
        self.close(&mut state, expired);
        let held_bytes = state.table.held_bytes();
        let closed = std::mem::take(&mut state.closed);
        drop(state);
        metrics::gauge!(REQUEST_BUFFER_BYTES, "server" => self.name).set(held_bytes as f64);
        for (cause, connections) in closed {
            log::info!(
                event = "connections_closed", server = self.name, cause = cause.as_str(),
                connections = connections; ""
            );
        }
    }

    fn close(
        &self,
        state: &mut IngressState,
        closures: impl IntoIterator<Item = ConnectionClosure>,
    ) {
        for (id, cause) in closures {
            if let Some(closer) = state.closers.get(&id) {
                closer.send_replace(Some(cause));
            }
            self.count(state, cause);
        }
    }

    fn count(&self, state: &mut IngressState, cause: CloseCause) {
        *state.closed.entry(cause).or_default() += 1;
        metrics::counter!(CLOSED_CONNECTIONS, "server" => self.name, "cause" => cause.as_str())
            .increment(1);
    }

    fn now(&self) -> Duration {
        self.started.elapsed()
    }

    fn lock(&self) -> MutexGuard<'_, IngressState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// A connection in the table of its server; dropping it removes the connection.
pub struct ConnectionHandle {
    ingress: Ingress,
    id: ConnectionId,
    closing: watch::Receiver<Option<CloseCause>>,
    /// Whether an answer has begun and was not sent completely.
    answering: AtomicBool,
}

impl Drop for ConnectionHandle {
    fn drop(&mut self) {
        let mut state = self.ingress.lock();
        state.table.remove(self.id);
        state.closers.remove(&self.id);
        drop(state);
        self.ingress.sent.notify_waiters();
    }
}

impl ConnectionHandle {
    /// Begins a stage; false if the connection is being closed.
    fn enter(&self, stage: ConnectionStage) -> bool {
        let now = self.ingress.now();
        self.ingress.lock().table.enter(self.id, stage, now)
    }

    /// Begins an answer, which takes memory until it has been sent.
    fn begin_answer(&self, bytes: usize) {
        self.answering.store(true, Ordering::Relaxed);
        let now = self.ingress.now();
        let mut state = self.ingress.lock();
        state.table.enter(self.id, ConnectionStage::Answer, now);
        state.table.hold(self.id, bytes);
    }

    /// Ends the answer, if one has begun.
    fn end_answer(&self) {
        if self.answering.swap(false, Ordering::Relaxed) {
            self.enter(ConnectionStage::Idle);
            self.ingress.sent.notify_waiters();
        }
    }

    /// Records received bytes; the first ones after an answer begin the next head.
    fn receive(&self, bytes: usize) -> Result<(), NoRoom> {
        let now = self.ingress.now();
        let mut state = self.ingress.lock();
        let table = &mut state.table;
        let stage = table.stage(self.id).ok_or(NoRoom)?;
        if table.is_closing(self.id) {
            return Err(NoRoom);
        }
        if matches!(stage, ConnectionStage::New | ConnectionStage::Idle) {
            table.enter(self.id, ConnectionStage::Head, now);
        }
        table.record_progress(self.id, bytes, now);
        match stage {
            ConnectionStage::New | ConnectionStage::Idle | ConnectionStage::Head => {
                self.reserve_in(&mut state, bytes * HEAD_BUFFER_FACTOR, now)
            }
            ConnectionStage::Body | ConnectionStage::Whole | ConnectionStage::Answer => Ok(()),
        }
    }

    /// Records that an answer waits for the client to read.
    fn block(&self) {
        self.ingress.lock().table.set_blocked(self.id, true);
        self.ingress.sent.notify_waiters();
    }

    /// Records bytes of an answer that were sent after the client had read some.
    fn unblock(&self, bytes: usize) {
        let now = self.ingress.now();
        let mut state = self.ingress.lock();
        state.table.set_blocked(self.id, false);
        state.table.record_progress(self.id, bytes, now);
    }

    /// Reserves memory for a request; other connections may be closed for it.
    fn reserve(&self, bytes: usize) -> Result<(), NoRoom> {
        let now = self.ingress.now();
        self.reserve_in(&mut self.ingress.lock(), bytes, now)
    }

    fn reserve_in(
        &self,
        state: &mut IngressState,
        bytes: usize,
        now: Duration,
    ) -> Result<(), NoRoom> {
        let Ok(closures) = state.table.reserve(self.id, bytes, now) else {
            self.ingress.count(state, CloseCause::NoRoom);
            return Err(NoRoom);
        };
        self.ingress.close(state, closures);
        Ok(())
    }

    fn release(&self, bytes: usize) {
        self.ingress.lock().table.release(self.id, bytes);
    }

    fn count(&self, cause: CloseCause) {
        self.ingress.count(&mut self.ingress.lock(), cause);
    }

    /// Returns whether the body of a request is being received.
    fn has_body(&self) -> bool {
        self.ingress.lock().table.stage(self.id) == Some(ConnectionStage::Body)
    }

    /// Waits until the connection has to be closed.
    async fn closed(&self) {
        let mut closing = self.closing.clone();
        if closing.wait_for(Option::is_some).await.is_err() {
            // The sender lives as long as the connection is in the table.
            std::future::pending::<()>().await;
        }
    }
}
