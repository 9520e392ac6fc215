//! Service `config`: holds the configuration version in force.
//!
//! It watches the head at the platform, materialises each new version and
//! publishes it as a view. It also takes versions that a peer offers, so that
//! not every entry VM needs a watch of its own. The version in force only grows,
//! whatever the platform or a peer says.

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
use crate::kernel::reached;
use crate::metrics::CONFIG_VERSION;
use crate::platform::PlatformClient;
use crate::platform::backoff::BackoffState;
use crate::platform::client::WatchAnswer;
use crate::platform::repeat::RepeatClient;
use crate::service::unix_ms;

/// Name of the service.
pub const NAME: ServiceName = "config";
/// Most messages that wait for the service.
const INBOX_LIMIT: usize = 16;
/// Time in which the versions up to a new head are read.
const FOLLOW_LIMIT: Duration = Duration::from_secs(5);
/// A watch that returns nothing new sooner than this is not repeated before.
const IDLE_PAUSE: Duration = Duration::from_millis(100);

/// View of the configuration in force.
pub type ConfigView = watch::Receiver<Arc<VersionedConfig>>;

/// View of how the service follows the platform.
pub type FollowView = watch::Receiver<FollowState>;

/// What a peer may tell the service.
#[derive(Clone, Debug)]
pub enum ConfigMessage {
    /// A version that is in force at a peer.
    Offer(Arc<VersionedConfig>),
    /// Whether this entry VM watches the platform itself; at first it does.
    Watch(bool),
}

/// Where the service takes messages.
pub type ConfigInbox = mpsc::Sender<ConfigMessage>;

/// How the service follows the platform.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct FollowState {
    /// Whether it watches the platform itself.
    pub watching: bool,
    /// When the version in force was last confirmed by the platform or a peer, in
    /// milliseconds since the Unix epoch; 0 if never.
    pub confirmed_ms: u64,
    /// Why the platform cannot be followed; empty if it can.
    pub error: String,
}

/// State that the watch and the inbox share.
struct SharedViews {
    client: PlatformClient,
    config: watch::Sender<Arc<VersionedConfig>>,
    state: watch::Sender<FollowState>,
}

/// Position of the watch.
#[derive(Default)]
struct WatchPosition {
    index: u64,
    backoff: BackoffState,
}

/// Starts the service.
pub fn start(kernel: &ServiceKernel, client: PlatformClient) {
    let (config, view) = watch::channel(Arc::new(VersionedConfig::default()));
    kernel.register::<ConfigView>(NAME, view);
    let (state, view) = watch::channel(FollowState {
        watching: true,
        ..FollowState::default()
    });
    kernel.register::<FollowView>(NAME, view);
    let (inbox, messages) = mpsc::channel(INBOX_LIMIT);
    kernel.register::<ConfigInbox>(NAME, inbox);
    let views = SharedViews {
        client,
        config,
        state,
    };
    let mut phase = kernel.phase();
    kernel.spawn(NAME, async move {
        tokio::select! {
            () = run(&views, messages) => {}
            () = reached(&mut phase, ShutdownPhase::Stopped) => {}
        }
    });
}

async fn run(views: &SharedViews, mut messages: mpsc::Receiver<ConfigMessage>) {
    let mut position = WatchPosition::default();
    loop {
        let watching = views.state.borrow().watching;
        let switched = tokio::select! {
            switched = views.receive(&mut messages) => switched,
            // A watch that is broken off has only read.
            () = views.watch(&mut position), if watching => true,
        };
        if !switched {
            // The kernel and its inbox are gone.
            return std::future::pending().await;
        }
    }
}

impl SharedViews {
    /// Takes messages until the watch is switched; false if no more can come.
    async fn receive(&self, messages: &mut mpsc::Receiver<ConfigMessage>) -> bool {
        while let Some(message) = messages.recv().await {
            match message {
                ConfigMessage::Offer(offer) => self.offer(offer),
                ConfigMessage::Watch(watching) if watching != self.state.borrow().watching => {
                    self.state.send_modify(|state| {
                        state.watching = watching;
                        // What the watch met before is no longer looked at.
                        state.error.clear();
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
            self.round(position).await;
        }
    }

    fn offer(&self, offer: Arc<VersionedConfig>) {
        let known = self.config.borrow().clone();
        if offer.version > known.version {
            return self.enforce(offer, "peer");
        }
        if offer.version < known.version {
            report_older("peer", offer.version, known.version);
        } else if offer.document != known.document {
            log::error!(event = "config_differs", source = "peer", version = offer.version; "");
        } else {
            self.confirm();
        }
    }

    fn enforce(&self, next: Arc<VersionedConfig>, source: &str) {
        let version = next.version;
        let grown = self.config.send_if_modified(|current| {
            let grows = version > current.version;
            if grows {
                *current = next;
            }
            grows
        });
        if grown {
            log::info!(event = "config_in_force", version = version, source = source; "");
            metrics::gauge!(CONFIG_VERSION).set(version as f64);
        }
        self.confirm();
    }

    fn confirm(&self) {
        self.state.send_modify(|state| {
            state.confirmed_ms = unix_ms();
            state.error.clear();
        });
    }

    /// One watch of the head, with a pause after a failure.
    async fn round(&self, position: &mut WatchPosition) {
        let started = Instant::now();
        let index = position.index;
        let followed = match self.client.watch(HEAD_KEY, index).await {
            Ok(answer) => self.follow(answer, position).await,
            Err(source) => Err(StoreError::Platform { source }),
        };
        if let Err(error) = followed {
            log::warn!(event = "config_follow_failed", error:% = error; "");
            let error = error.to_string();
            self.state.send_modify(|state| state.error = error);
            let pause = position.backoff.pause(rand::random());
            return sleep(pause).await;
        }
        position.backoff.reset();
        if position.index == index && started.elapsed() < IDLE_PAUSE {
            sleep(IDLE_PAUSE).await;
        }
    }

    async fn follow(
        &self,
        answer: WatchAnswer,
        position: &mut WatchPosition,
    ) -> Result<(), StoreError> {
        let known = self.config.borrow().clone();
        let head = match &answer.value {
            Some(value) => Some(store::decode_head(&value.value)?),
            None => None,
        };
        let version = head.as_ref().map_or(0, |head| head.version);
        if version < known.version {
            // An index from before the platform was made anew would wait for ever.
            position.index = 0;
            let in_force = known.version;
            report_older("platform", version, in_force);
            return Err(StoreError::Behind { version, in_force });
        }
        if let Some(head) = head {
            if version > known.version {
                let deadline = Instant::now() + FOLLOW_LIMIT;
                let client = RepeatClient {
                    client: &self.client,
                    deadline,
                };
                let next = store::catch_up(client, &known, &head).await?;
                self.enforce(Arc::new(next), "platform");
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

fn report_older(source: &str, version: ConfigVersion, in_force: ConfigVersion) {
    log::warn!(
        event = "config_older_ignored", source = source, version = version,
        in_force = in_force; ""
    );
}
