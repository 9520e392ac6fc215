//! The service kernel: it runs the tasks of services, lets services look each
//! other up by name and coordinates the shutdown.
//!
//! A service consists of tasks that own their state and sockets. Other services
//! use it through handles (the sender of its message channel, or a watch receiver
//! of its state), which it registers under its name and the type of the handle.

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

/// A lookup of a handle that has not been registered.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Snafu)]
#[snafu(display("service {name:?} has registered no handle of type {handle}"))]
pub struct LookupError {
    name: ServiceName,
    handle: &'static str,
}

/// Phase of the shutdown; phases only advance, in this order.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub enum ShutdownPhase {
    /// Normal operation.
    #[default]
    Running,
    /// New requests are still accepted, but peers and the load balancer are told to use
    /// other entry VMs.
    Announced,
    /// No new requests are accepted; requests in progress finish.
    Draining,
    /// Requests have finished or their time limit has passed; this entry VM leaves the
    /// roster if none is in progress.
    Drained,
    /// All tasks have to end.
    Stopped,
}

type TaskList = Vec<(ServiceName, JoinHandle<()>)>;
type HandleMap = HashMap<(ServiceName, TypeId), Box<dyn Any + Send + Sync>>;

/// Registry of the services of one process, with their tasks and the shutdown phase;
/// clones share them.
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
    /// Registers a handle of a service; it replaces an earlier one of the same type.
    pub fn register<H: Clone + Send + Sync + 'static>(&self, name: ServiceName, handle: H) {
        let mut handles = self.handles.lock().unwrap_or_else(PoisonError::into_inner);
        handles.insert((name, TypeId::of::<H>()), Box::new(handle));
    }

    /// Looks up a handle of a service by the type of the handle.
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

    /// Spawns a task of a service; [`Self::join`] waits for it.
    pub fn spawn(&self, name: ServiceName, task: impl Future<Output = ()> + Send + 'static) {
        let task = tokio::spawn(task);
        let mut tasks = self.tasks.lock().unwrap_or_else(PoisonError::into_inner);
        tasks.push((name, task));
    }

    /// Returns a receiver for the shutdown phase.
    #[must_use]
    pub fn phase(&self) -> watch::Receiver<ShutdownPhase> {
        self.phase.subscribe()
    }

    /// Advances the shutdown to `phase`; ignored if the phase has already been passed.
    pub fn advance(&self, phase: ShutdownPhase) {
        self.phase.send_if_modified(|current| {
            let advances = phase > *current;
            *current = phase.max(*current);
            advances
        });
    }

    /// Waits until all tasks have ended and aborts those that still run after `limit`.
    pub async fn join(&self, limit: Duration) {
        self.join_matching(|_| true, limit).await;
    }

    /// Waits for the tasks of one service, as [`Self::join`] does for all.
    pub async fn join_service(&self, name: ServiceName, limit: Duration) {
        self.join_matching(|task| task == name, limit).await;
    }

    async fn join_matching(&self, matches: impl Fn(ServiceName) -> bool, limit: Duration) {
        let deadline = Instant::now() + limit;
        let tasks: Vec<_> = {
            let mut tasks = self.tasks.lock().unwrap_or_else(PoisonError::into_inner);
            tasks.extract_if(.., |(name, _)| matches(name)).collect()
        };
        for (name, mut task) in tasks {
            if timeout_at(deadline, &mut task).await.is_err() {
                log::warn!(event = "task_aborted", service = name; "");
                task.abort();
            }
        }
    }
}

/// Waits until the shutdown has reached `phase`.
pub async fn wait_for_phase(view: &mut watch::Receiver<ShutdownPhase>, phase: ShutdownPhase) {
    // An error means that the kernel was dropped, which counts as stopped.
    let _ = view.wait_for(|current| *current >= phase).await;
}
