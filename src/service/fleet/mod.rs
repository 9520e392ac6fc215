//! Service `fleet`: holds the fleet record of the data centre.
//!
//! One entry VM of the data centre holds the controller's lease and keeps the
//! record; the others follow it.

mod messages;

use std::collections::BTreeMap;
use std::sync::Arc;

use snafu::ResultExt;
use snafu::Snafu;
use tokio::sync::mpsc;
use tokio::sync::watch;
use tokio::time::sleep;

use crate::config::FleetConfig;
use crate::fleet::FleetRecord;
use crate::fleet::VmRecord;
use crate::fleet::VmState;
use crate::fleet::wire::FleetWire;
use crate::kernel::ServiceKernel;
use crate::kernel::ServiceName;
use crate::kernel::ShutdownPhase;
use crate::kernel::reached;
use crate::names::DcName;
use crate::names::NameError;
use crate::names::PoolName;
use crate::names::VmName;
use crate::platform::KeyValue;
use crate::platform::ListedVm;
use crate::platform::PlatformClient;
use crate::platform::PlatformError;
use crate::service::config::ConfigView;
use crate::service::unix_ms;
use crate::settings::DaemonSettings;

pub use messages::ControllerReport;
pub use messages::ControllerTerm;
pub use messages::ControllerView;
pub use messages::FleetInbox;
pub use messages::FleetMessage;
pub use messages::FleetView;
pub use messages::ReportView;

/// Name of the service.
pub const NAME: ServiceName = "fleet";

/// A round of the controller that could not be completed.
#[derive(Debug, Snafu)]
enum FleetError {
    #[snafu(display("{source}"))]
    Platform { source: PlatformError },
    #[snafu(display("step=decode_fleet: {source}"))]
    Decode { source: serde_json::Error },
    #[snafu(display("step=read_fleet: {source}"))]
    Name { source: NameError },
}

/// Starts the service.
pub fn start(
    kernel: &ServiceKernel,
    settings: &DaemonSettings,
    client: PlatformClient,
    config: ConfigView,
) {
    let (sender, view) = watch::channel(None);
    kernel.register::<FleetView>(NAME, view);
    let (inbox, mut messages) = mpsc::channel(messages::INBOX_LIMIT);
    kernel.register::<FleetInbox>(NAME, inbox);
    let (term, view) = watch::channel(ControllerTerm::default());
    kernel.register::<ControllerView>(NAME, view);
    let (report, view) = watch::channel(Arc::default());
    kernel.register::<ReportView>(NAME, view);
    let mut phase = kernel.phase();
    let settings = settings.clone();
    kernel.spawn(NAME, async move {
        let controller = control(&settings, &client, &config, &sender);
        let follower = follow(&settings, &client, &sender);
        let offers = async {
            while let Some(message) = messages.recv().await {
                if let FleetMessage::Offer(record) = message {
                    take(&sender, record);
                }
            }
        };
        tokio::select! {
            () = controller => {}
            () = follower => {}
            () = offers => {}
            () = reached(&mut phase, ShutdownPhase::Stopped) => {}
        }
        drop((term, report));
    });
}

fn fleet_key(dc: &DcName) -> String {
    format!("fleet/{dc}")
}

async fn follow(
    settings: &DaemonSettings,
    client: &PlatformClient,
    sender: &watch::Sender<Option<Arc<FleetRecord>>>,
) {
    let key = fleet_key(&settings.dc);
    let mut index = 0;
    loop {
        match client.watch(&key, index).await {
            Ok(answer) => {
                index = answer.index;
                if let Some(value) = answer.value {
                    publish(sender, &value);
                }
            }
            Err(error) => {
                log::warn!(event = "fleet_watch_failed", error:% = error; "");
                sleep(settings.control.sync).await;
            }
        }
    }
}

fn publish(sender: &watch::Sender<Option<Arc<FleetRecord>>>, value: &KeyValue) {
    let record = match decode(value) {
        Ok(record) => record,
        Err(error) => {
            log::error!(event = "fleet_record_unreadable", error:% = error; "");
            return;
        }
    };
    take(sender, Arc::new(record));
}

/// Puts a record in force if it is newer than the one that is.
fn take(sender: &watch::Sender<Option<Arc<FleetRecord>>>, record: Arc<FleetRecord>) {
    sender.send_if_modified(|current| {
        let known = current.as_ref().map_or(0, |current| current.sequence);
        let newer = record.sequence > known;
        if newer {
            log::info!(event = "fleet_in_force", sequence = record.sequence; "");
            *current = Some(record);
        }
        newer
    });
}

fn decode(value: &KeyValue) -> Result<FleetRecord, FleetError> {
    let wire: FleetWire = serde_json::from_slice(&value.value).context(DecodeSnafu)?;
    FleetRecord::try_from(wire).context(NameSnafu)
}

async fn control(
    settings: &DaemonSettings,
    client: &PlatformClient,
    config: &ConfigView,
    sender: &watch::Sender<Option<Arc<FleetRecord>>>,
) {
    let mut lease = None;
    loop {
        if let Err(error) = round(settings, client, config, sender, &mut lease).await {
            log::warn!(event = "controller_round_failed", error:% = error; "");
        }
        sleep(settings.control.sync).await;
    }
}

/// Renews the lease and, while it is held, brings the record up to date.
async fn round(
    settings: &DaemonSettings,
    client: &PlatformClient,
    config: &ConfigView,
    sender: &watch::Sender<Option<Arc<FleetRecord>>>,
    lease: &mut Option<String>,
) -> Result<(), FleetError> {
    if !hold_lease(settings, client, lease).await? {
        return Ok(());
    }
    let key = fleet_key(&settings.dc);
    let stored = client.get(&key).await.context(PlatformSnafu)?;
    let revision = stored.as_ref().map_or(0, |stored| stored.revision);
    let record = stored.as_ref().map(decode).transpose()?.unwrap_or_default();
    let listed = client.list_vms(&settings.dc).await.context(PlatformSnafu)?;
    let config = config.borrow().clone();
    let Some(next) = admit_listed(&record, &listed, &config.config, unix_ms()) else {
        return Ok(());
    };
    let value = serde_json::to_vec(&FleetWire::from(&next)).context(DecodeSnafu)?;
    let written = client.compare_and_swap(&key, revision, value).await;
    if written.context(PlatformSnafu)? {
        sender.send_replace(Some(Arc::new(next)));
    }
    Ok(())
}

async fn hold_lease(
    settings: &DaemonSettings,
    client: &PlatformClient,
    lease: &mut Option<String>,
) -> Result<bool, FleetError> {
    if let Some(id) = lease {
        if client.renew_lease(id).await.context(PlatformSnafu)? {
            return Ok(true);
        }
        *lease = None;
    }
    let ttl = settings.control.lease_ttl;
    let id = client.create_lease(settings.name.as_str(), ttl).await;
    let id = id.context(PlatformSnafu)?;
    let key = format!("controller/{}", settings.dc);
    let value = settings.name.as_str().as_bytes().to_vec();
    if client
        .acquire(&key, &id, value)
        .await
        .context(PlatformSnafu)?
    {
        log::info!(event = "controller_elected", entry:% = settings.name; "");
        *lease = Some(id);
        return Ok(true);
    }
    client.destroy_lease(&id).await.context(PlatformSnafu)?;
    Ok(false)
}

/// Adds listed VMs that the configuration gives a home; none if nothing changes.
fn admit_listed(
    record: &FleetRecord,
    listed: &[ListedVm],
    config: &FleetConfig,
    now_ms: u64,
) -> Option<FleetRecord> {
    let pools = config.pools.iter();
    let homes: BTreeMap<&VmName, &PoolName> = pools
        .flat_map(|(pool, settings)| settings.vms.iter().map(move |vm| (vm, pool)))
        .collect();
    let new = listed
        .iter()
        .filter(|vm| !record.vms.contains_key(&vm.name));
    let new = new.filter_map(|vm| {
        let pool = homes.get(&vm.name)?;
        let record = VmRecord {
            pool: (*pool).clone(),
            address: vm.address,
            rack: vm.rack.clone(),
            state: VmState::Serving,
            since_ms: now_ms,
            maintained_ms: now_ms,
        };
        Some((vm.name.clone(), record))
    });
    let new: Vec<_> = new.collect();
    if new.is_empty() {
        return None;
    }
    let mut next = record.clone();
    next.sequence += 1;
    next.vms.extend(new);
    Some(next)
}
