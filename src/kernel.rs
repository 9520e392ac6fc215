//! The micro-kernel: it starts services, lets them find each other by name and
//! tells them when to stop.
//!
//! A service is a task that owns its state and its sockets. What it offers to
//! others is a handle (the sender of its messages, or a watched view of its
//! state), registered under the name of the service and the type of the handle.

use std::any::Any;
use std::any::TypeId;
use std::collections::HashMap;
use std::future::Future;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::PoisonError;
use std::time::Duration;

use snafu::OptionExt;
use snafu::Snafu;
use tokio::sync::watch;
use tokio::task::JoinHandle;
use tokio::time::Instant;
use tokio::time::timeout_at;

/// Name of a service.
pub type ServiceName = &'static str;

/// A service that was looked up before it was registered.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Snafu)]
#[snafu(display("service {name:?} offers no {handle}"))]
pub struct LookupError {
    name: ServiceName,
    handle: &'static str,
}

/// How far a shutdown has come; it only moves forward.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub enum ShutdownPhase {
    /// Normal running.
    #[default]
    Running,
    /// New work is still taken, but peers and the balancer are told to go elsewhere.
    Announced,
    /// No new work; requests in progress finish.
    Draining,
    /// Nothing is in progress any more; peers are told so.
    Drained,
    /// All tasks end.
    Stopped,
}

type TaskList = Vec<(ServiceName, JoinHandle<()>)>;
type HandleMap = HashMap<(ServiceName, TypeId), Box<dyn Any + Send + Sync>>;

/// Registry and supervisor of the services of one process.
#[derive(Clone)]
pub struct ServiceKernel {
    handles: Arc<Mutex<HandleMap>>,
    tasks: Arc<Mutex<TaskList>>,
    phase: Arc<watch::Sender<ShutdownPhase>>,
}

impl Default for ServiceKernel {
    fn default() -> Self {
        Self {
            handles: Arc::default(),
            tasks: Arc::default(),
            phase: Arc::new(watch::Sender::new(ShutdownPhase::Running)),
        }
    }
}

impl ServiceKernel {
    /// Offers a handle of a service to the others; a later one replaces it.
    pub fn register<H: Clone + Send + Sync + 'static>(&self, name: ServiceName, handle: H) {
        let mut handles = self.handles.lock().unwrap_or_else(PoisonError::into_inner);
        handles.insert((name, TypeId::of::<H>()), Box::new(handle));
    }

    /// Finds a handle of a service.
    ///
    /// # Errors
    ///
    /// Fails if the service has registered no handle of this type.
    pub fn find<H: Clone + Send + Sync + 'static>(
        &self,
        name: ServiceName,
    ) -> Result<H, LookupError> {
        let handles = self.handles.lock().unwrap_or_else(PoisonError::into_inner);
        let handle = handles.get(&(name, TypeId::of::<H>()));
        let handle = handle.and_then(|handle| handle.downcast_ref::<H>());
        handle.cloned().context(LookupSnafu {
            name,
            handle: std::any::type_name::<H>(),
        })
    }

    /// Starts a task of a service.
    pub fn spawn(&self, name: ServiceName, task: impl Future<Output = ()> + Send + 'static) {
        let task = tokio::spawn(task);
        let mut tasks = self.tasks.lock().unwrap_or_else(PoisonError::into_inner);
        tasks.push((name, task));
    }

    /// Returns a view of the shutdown phase.
    #[must_use]
    pub fn phase(&self) -> watch::Receiver<ShutdownPhase> {
        self.phase.subscribe()
    }

    /// Moves the shutdown on; a phase already passed is ignored.
    pub fn advance(&self, phase: ShutdownPhase) {
        self.phase.send_if_modified(|current| {
            let moves = phase > *current;
            *current = phase.max(*current);
            moves
        });
    }

    /// Waits until all tasks have ended and aborts those still running after `limit`.
    pub async fn join(&self, limit: Duration) {
        self.join_matching(|_| true, limit).await;
    }

    /// Waits likewise for the tasks of one service.
    pub async fn join_service(&self, name: ServiceName, limit: Duration) {
        self.join_matching(|task| task == name, limit).await;
    }

    async fn join_matching(&self, chosen: impl Fn(ServiceName) -> bool, limit: Duration) {
        let deadline = Instant::now() + limit;
        let tasks: Vec<_> = {
            let mut tasks = self.tasks.lock().unwrap_or_else(PoisonError::into_inner);
            tasks.extract_if(.., |(name, _)| chosen(name)).collect()
        };
        for (name, mut task) in tasks {
            if timeout_at(deadline, &mut task).await.is_err() {
                log::warn!(event = "task_aborted", service = name; "");
                task.abort();
            }
        }
    }
}

/// Completes once the shutdown has reached `phase`.
pub async fn wait_for_phase(view: &mut watch::Receiver<ShutdownPhase>, phase: ShutdownPhase) {
    // The sender lives as long as the kernel; if it is gone, all is stopped.
    let _ = view.wait_for(|current| *current >= phase).await;
}
