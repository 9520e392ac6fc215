//! Service `config`: holds the configuration version in force.
//!
//! It watches the head at the platform, materialises each new version and
//! publishes it as a view. The version in force only grows.

use std::sync::Arc;
use std::time::Duration;

use tokio::sync::watch;
use tokio::time::sleep;

use crate::config::VersionedConfig;
use crate::config::head::HEAD_KEY;
use crate::config::store;
use crate::kernel::ServiceKernel;
use crate::kernel::ServiceName;
use crate::kernel::ShutdownPhase;
use crate::kernel::reached;
use crate::platform::PlatformClient;

/// Name of the service.
pub const NAME: ServiceName = "config";
/// Pause after a failed call to the platform.
const RETRY_PAUSE: Duration = Duration::from_secs(1);

/// View of the configuration in force.
pub type ConfigView = watch::Receiver<Arc<VersionedConfig>>;

/// Starts the service.
pub fn start(kernel: &ServiceKernel, client: PlatformClient) {
    let (sender, view) = watch::channel(Arc::new(VersionedConfig::default()));
    kernel.register::<ConfigView>(NAME, view);
    let mut phase = kernel.phase();
    kernel.spawn(NAME, async move {
        tokio::select! {
            () = run(&client, &sender) => {}
            () = reached(&mut phase, ShutdownPhase::Stopped) => {}
        }
    });
}

async fn run(client: &PlatformClient, sender: &watch::Sender<Arc<VersionedConfig>>) {
    let mut index = 0;
    loop {
        let answer = match client.watch(HEAD_KEY, index).await {
            Ok(answer) => answer,
            Err(error) => {
                log::warn!(event = "config_watch_failed", error:% = error; "");
                sleep(RETRY_PAUSE).await;
                continue;
            }
        };
        let Some(value) = answer.value else {
            index = answer.index;
            continue;
        };
        match advance(client, sender, &value.value).await {
            Ok(()) => index = answer.index,
            Err(error) => {
                log::warn!(event = "config_follow_failed", error:% = error; "");
                sleep(RETRY_PAUSE).await;
            }
        }
    }
}

async fn advance(
    client: &PlatformClient,
    sender: &watch::Sender<Arc<VersionedConfig>>,
    value: &[u8],
) -> Result<(), store::StoreError> {
    let head = store::decode_head(value)?;
    let known = sender.borrow().clone();
    if head.version <= known.version {
        return Ok(());
    }
    let next = store::follow(client, &known, &head).await?;
    log::info!(event = "config_in_force", version = next.version; "");
    sender.send_replace(Arc::new(next));
    Ok(())
}
