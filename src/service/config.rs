//! Service `config`: provides the configuration in force, the one that this entry
//! VM uses.
//!
//! It watches the head (the record of the latest version) at the platform, builds
//! the document of each new version and publishes it as a view. It also accepts
//! versions that a peer offers, so that not every entry VM needs its own watch. The
//! version in force never decreases, even if the platform or a peer reports an
//! older one.

use std::sync::Arc;
use std::time::Duration;

use tokio::sync::mpsc;
use tokio::sync::watch;
use tokio::time::Instant;
use tokio::time::sleep;

use crate::config::ConfigVersion;
use crate::config::VersionedConfig;
use crate::config::head::HEAD_KEY;
use crate::config::store;
use crate::config::store::StoreError;
use crate::kernel::ServiceKernel;
use crate::kernel::ServiceName;
use crate::kernel::ShutdownPhase;
use crate::kernel::wait_for_phase;
use crate::metrics::CONFIG_VERSION;
use crate::platform::PlatformClient;
use crate::platform::backoff::BackoffState;
use crate::platform::client::WatchResponse;
use crate::platform::retry::RetryClient;
use crate::service::unix_ms;

/// Name of the service.
pub const NAME: ServiceName = "config";
/// Max messages in the inbox of the service.
const INBOX_LIMIT: usize = 16;
/// Time limit for reading the versions up to a new head.
const READ_LIMIT: Duration = Duration::from_secs(5);
/// Min time between two watch calls if the first one returned nothing new.
const MIN_WATCH_PERIOD: Duration = Duration::from_millis(100);

/// View of the configuration in force.
pub type ConfigView = watch::Receiver<Arc<VersionedConfig>>;

/// View of how current the configuration is.
pub type ConfigStatusView = watch::Receiver<ConfigStatus>;

/// Message to the service, from the exchange with peers.
#[derive(Clone, Debug)]
pub enum ConfigMessage {
    /// A configuration that is in force at a peer.
    Offer(Arc<VersionedConfig>),
    /// Whether this entry VM has to watch the platform itself; it does so at start.
    Watch(bool),
}

/// Sender of messages to the service.
pub type ConfigInbox = mpsc::Sender<ConfigMessage>;

/// How current the configuration is, and where updates come from.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct ConfigStatus {
    /// Whether this entry VM watches the platform itself.
    pub watching: bool,
    /// When the version in force was last confirmed by the platform or a peer, in
    /// milliseconds since the Unix epoch; 0 if never.
    pub confirmed_ms: u64,
    /// Last error of the watch or of reading a version; empty if there was none since
    /// the version in force was last confirmed.
    pub error: String,
}

/// Platform client and published views, used by the watch and by the message handling.
struct SharedViews {
    client: PlatformClient,
    config: watch::Sender<Arc<VersionedConfig>>,
    status: watch::Sender<ConfigStatus>,
}

/// Index of the next watch call, and the backoff after failures.
#[derive(Default)]
struct WatchPosition {
    index: u64,
    backoff: BackoffState,
}

/// Starts the service.
pub fn start(kernel: &ServiceKernel, client: PlatformClient) {
    let (config, view) = watch::channel(Arc::new(VersionedConfig::default()));
    kernel.register::<ConfigView>(NAME, view);
    let (status, view) = watch::channel(ConfigStatus {
        watching: true,
        ..ConfigStatus::default()
    });
    kernel.register::<ConfigStatusView>(NAME, view);
    let (inbox, messages) = mpsc::channel(INBOX_LIMIT);
    kernel.register::<ConfigInbox>(NAME, inbox);
    let views = SharedViews {
        client,
        config,
        status,
    };
    let mut phase = kernel.phase();
    kernel.spawn(NAME, async move {
        tokio::select! {
            () = run(&views, messages) => {}
            () = wait_for_phase(&mut phase, ShutdownPhase::Stopped) => {}
        }
    });
}

async fn run(views: &SharedViews, mut messages: mpsc::Receiver<ConfigMessage>) {
    let mut position = WatchPosition::default();
    loop {
        let watching = views.status.borrow().watching;
        let switched = tokio::select! {
            switched = views.receive_messages(&mut messages) => switched,
            // Cancelling a watch is safe, since it only reads from the platform.
            () = views.watch(&mut position), if watching => true,
        };
        if !switched {
            // All senders were dropped with the kernel; wait for the shutdown.
            return std::future::pending().await;
        }
    }
}

impl SharedViews {
    /// Handles messages until the watch is switched on or off; returns false once the
    /// inbox is closed.
    async fn receive_messages(&self, messages: &mut mpsc::Receiver<ConfigMessage>) -> bool {
        while let Some(message) = messages.recv().await {
            match message {
                ConfigMessage::Offer(offer) => self.handle_offer(offer),
                ConfigMessage::Watch(watching) if watching != self.status.borrow().watching => {
                    self.status.send_modify(|status| {
                        status.watching = watching;
                        // An error of the watch before the switch no longer applies.
                        status.error.clear();
                    });
                    log::info!(event = "config_watch_switched", watching = watching; "");
                    return true;
                }
                ConfigMessage::Watch(_) => {}
            }
        }
        false
    }

    async fn watch(&self, position: &mut WatchPosition) {
        loop {
            self.watch_once(position).await;
        }
    }

    fn handle_offer(&self, offer: Arc<VersionedConfig>) {
        let known = self.config.borrow().clone();
        if offer.version > known.version {
            return self.activate(offer, "peer");
        }
        if offer.version < known.version {
            log_older_version("peer", offer.version, known.version);
        } else if offer.document != known.document {
            log::error!(event = "config_differs", source = "peer", version = offer.version; "");
        } else {
            self.confirm();
        }
    }

    /// Puts a version in force if it is newer than the current one.
    fn activate(&self, next: Arc<VersionedConfig>, source: &str) {
        let version = next.version;
        let replaced = self.config.send_if_modified(|current| {
            let is_newer = version > current.version;
            if is_newer {
                *current = next;
            }
            is_newer
        });
        if replaced {
            log::info!(event = "config_in_force", version = version, source = source; "");
            metrics::gauge!(CONFIG_VERSION).set(version as f64);
        }
        self.confirm();
    }

    /// Records that the version in force was found to be the latest one.
    fn confirm(&self) {
        self.status.send_modify(|status| {
            status.confirmed_ms = unix_ms();
            status.error.clear();
        });
    }

    /// Makes one watch call for the head and applies the result; waits after a failure.
    async fn watch_once(&self, position: &mut WatchPosition) {
        let started = Instant::now();
        let index = position.index;
        let outcome = match self.client.watch(HEAD_KEY, index).await {
            Ok(answer) => self.apply_head(answer, position).await,
            Err(source) => Err(StoreError::Platform { source }),
        };
        if let Err(error) = outcome {
            log::warn!(event = "config_update_failed", error:% = error; "");
            let error = error.to_string();
            self.status.send_modify(|status| status.error = error);
            let pause = position.backoff.next_pause(rand::random());
            return sleep(pause).await;
        }
        position.backoff.reset();
        if position.index == index && started.elapsed() < MIN_WATCH_PERIOD {
            sleep(MIN_WATCH_PERIOD).await;
        }
    }

    /// Reads the versions up to the head that a watch returned and puts the last in force.
    async fn apply_head(
        &self,
        answer: WatchResponse,
        position: &mut WatchPosition,
    ) -> Result<(), StoreError> {
        let known = self.config.borrow().clone();
        let head = match &answer.value {
            Some(value) => Some(store::decode_head(&value.value)?),
            None => None,
        };
        let version = head.as_ref().map_or(0, |head| head.version);
        if version < known.version {
            // With an index from before the platform was re-created, the watch would never
            // return.
            position.index = 0;
            let in_force = known.version;
            log_older_version("platform", version, in_force);
            return Err(StoreError::Behind { version, in_force });
        }
        if let Some(head) = head {
            if version > known.version {
                let deadline = Instant::now() + READ_LIMIT;
                let client = RetryClient {
                    client: &self.client,
                    deadline,
                };
                let next = store::catch_up(client, &known, &head).await?;
                self.activate(Arc::new(next), "platform");
            } else if head.digest != known.digest() {
                position.index = 0;
                return Err(StoreError::DigestMismatch { version });
            }
        }
        position.index = answer.index;
        self.confirm();
        Ok(())
    }
}

fn log_older_version(source: &str, version: ConfigVersion, in_force: ConfigVersion) {
    log::warn!(
        event = "config_older_ignored", source = source, version = version,
        in_force = in_force; ""
    );
}
