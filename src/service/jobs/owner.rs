//! Ownership of the shard: claims it, loads it, runs its scheduler and releases it.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use tokio::sync::Notify;
use tokio::sync::mpsc;
use tokio::sync::watch;
use tokio::task::JoinHandle;
use tokio::time::sleep;

use crate::clock::boot_ms;
use crate::jobs::engine::JobEngine;
use crate::jobs::engine::SchedulerSettings;
use crate::jobs::record::LANE_COUNT;
use crate::jobs::record::ShardKeys;
use crate::kernel::ShutdownPhase;
use crate::platform::backoff::BackoffState;
use crate::ports::StoreCall;
use crate::ports::client::PortClient;
use crate::ports::store::StoreEvent;
use crate::ports::store::StoreItem;
use crate::service::jobs::claim::ClaimedShard;
use crate::service::jobs::claim::OwnerValidity;
use crate::service::jobs::claim::claim_shard;
use crate::service::jobs::claim::renew;
use crate::service::jobs::election::is_shutting_down;
use crate::service::jobs::election::wait_to_claim;
use crate::service::jobs::exchange::ExchangeState;
use crate::service::jobs::execute::ActionExecutor;
use crate::service::jobs::execute::RENEWAL_GRACE_MS;
use crate::service::jobs::load::ShardContent;
use crate::service::jobs::load::read_shard;
use crate::service::jobs::load::restore;
use crate::service::jobs::messages::MemberView;
use crate::service::jobs::messages::OperatorView;
use crate::service::jobs::messages::OwnerEvent;
use crate::service::jobs::settings::NodeSettings;
use crate::service::jobs::shard::CommitLane;
use crate::service::jobs::shard::ShardOwner;
use crate::service::jobs::store::StoreLink;
use crate::service::jobs::watch::PrefixUpdate;
use crate::service::jobs::watch::STORE_BACKOFF;
use crate::service::jobs::watch::read_all;
use crate::service::jobs::watch::watch_prefix;

/// Time limit of the last commits before the shard is released, and of the release.
pub(super) const TRANSFER_LIMIT: Duration = Duration::from_millis(1200);

/// What the service that owns the shard needs.
#[derive(Clone)]
pub struct OwnerContext {
    /// Settings of this entry VM.
    pub settings: NodeSettings,
    /// Start of this process, in milliseconds since the Unix epoch.
    pub started_ms: u64,
    /// Link to the store.
    pub link: StoreLink,
    /// Client of the workers, the list of VMs and the advice service.
    pub client: PortClient,
    /// The entry VMs and the owner of the shard.
    pub members: MemberView,
    /// The operator's configuration and waves.
    pub operator: OperatorView,
    /// Contact with other entry VMs.
    pub exchange: ExchangeState,
    /// Phase of the shutdown.
    pub phase: watch::Receiver<ShutdownPhase>,
}

/// Claims the shard whenever it has no owner and owns it until the ownership ends;
/// returns once a shutdown begins. `inbox` holds the sender to the scheduler while this
/// entry VM owns the shard.
pub async fn run(
    mut context: OwnerContext,
    inbox: watch::Sender<Option<mpsc::UnboundedSender<OwnerEvent>>>,
) {
    let mut backoff = BackoffState::new(STORE_BACKOFF);
    loop {
        let Some(owner_revision) = wait_to_claim(&mut context).await else {
            return;
        };
        let claimed = claim_shard(
            &context.settings,
            &context.link,
            owner_revision,
            context.started_ms,
        )
        .await;
        let Some(claimed) = claimed else {
            sleep(backoff.next_pause(rand::random())).await;
            continue;
        };
        backoff.reset();
        log::info!(event = "shard_claimed", epoch = claimed.epoch, owner_revision = owner_revision; "");
        run_owner(&context, claimed, &inbox).await;
        inbox.send_replace(None);
        if is_shutting_down(&context) {
            return;
        }
        sleep(backoff.next_pause(rand::random())).await;
    }
}

/// Tasks that are aborted when the ownership ends.
struct TaskGuard(Vec<JoinHandle<()>>);

impl Drop for TaskGuard {
    fn drop(&mut self) {
        self.0.iter().for_each(JoinHandle::abort);
    }
}

/// Loads the shard, runs its scheduler until the ownership ends, and releases the shard.
async fn run_owner(
    context: &OwnerContext,
    claimed: ClaimedShard,
    inbox: &watch::Sender<Option<mpsc::UnboundedSender<OwnerEvent>>>,
) {
    let (events, mut receiver) = mpsc::unbounded_channel();
    let validity = Arc::new(OwnerValidity::new(claimed.lease, claimed.valid_until_ms));
    let check_lease = Arc::new(Notify::new());
    let renewing = renew(
        context.settings.clone(),
        context.link.clone(),
        claimed.lease,
        Arc::clone(&validity),
        Arc::clone(&check_lease),
        events.clone(),
    );
    let mut tasks = TaskGuard(vec![tokio::spawn(renewing)]);
    let Some((content, entries, config)) = load_shard(context, &validity).await else {
        log::warn!(event = "shard_not_loaded", epoch = claimed.epoch; "");
        release(context, claimed.lease).await;
        return;
    };
    let scheduler = SchedulerSettings {
        holder: context.settings.name.clone(),
        ..context.settings.scheduler.clone()
    };
    let now = boot_ms();
    let mut engine = JobEngine::new(scheduler, claimed.epoch, config, now);
    // The former owner may have renewed leases until RENEWAL_GRACE_MS after its ownership
    // ended.
    engine.inherited_leases_expiry_ms = now + RENEWAL_GRACE_MS + engine.settings.granted_lease_ms();
    engine.fleet.enabled = context.client.addresses.fleet.is_some();
    let waves = content.waves.clone();
    restore(&mut engine, content);
    let listed = entries
        .iter()
        .filter_map(|item| decode_entry(context, item));
    engine.workers_synced(listed.collect(), now);
    engine.add_inherited_runs(now);
    tasks
        .0
        .push(tokio::spawn(watch_workers(context.clone(), events.clone())));
    let mut owner = ShardOwner {
        context: context.clone(),
        lanes: [CommitLane {
            chain_revision: claimed.chain_revision,
            ..CommitLane::default()
        }; LANE_COUNT],
        reclaim: None,
        reclaiming: None,
        was_connected: false,
        check_lease,
        stored_waves: waves,
        executor: ActionExecutor {
            link: context.link.clone(),
            client: context.client.clone(),
            validity,
            events: events.clone(),
            waiters: HashMap::new(),
            last_waiter: 0,
        },
        events: events.clone(),
        record: claimed.record.clone(),
        engine,
    };
    inbox.send_replace(Some(events));
    let lease = owner.serve(&mut receiver, claimed.lease).await;
    inbox.send_replace(None);
    release(context, lease).await;
}

async fn release(context: &OwnerContext, lease: u64) {
    let call = StoreCall::Revoke(lease);
    if let Err(error) = context.link.call(&call, TRANSFER_LIMIT).await {
        log::info!(event = "release_failed", error:% = error; "");
    }
}

type LoadedShard = (
    ShardContent,
    Vec<StoreItem>,
    Arc<crate::jobs::config::JobConfig>,
);

/// Reads the shard, the workers' entries and the configuration; retries while the
/// ownership is guaranteed and returns none after that.
async fn load_shard(context: &OwnerContext, validity: &OwnerValidity) -> Option<LoadedShard> {
    let mut backoff = BackoffState::new(STORE_BACKOFF);
    let workers = context.client.dialect.keys.workers;
    let mut operator = context.operator.clone();
    while boot_ms() < validity.valid_until_ms() {
        let config = operator.borrow_and_update().config.clone();
        let (content, entries) = tokio::join!(
            read_shard(&context.link, ShardKeys::default()),
            read_all(&context.link, workers),
        );
        match (content, entries, config) {
            (Ok(content), Ok((entries, _)), Some(config)) => {
                return Some((content, entries, config));
            }
            (Err(error), ..) | (_, Err(error), _) => {
                log::info!(event = "load_failed", error:% = error; "");
            }
            (_, _, None) => {}
        }
        sleep(backoff.next_pause(rand::random())).await;
    }
    None
}

/// Returns the worker that an entry names; none if the entry cannot be read.
fn decode_entry(context: &OwnerContext, item: &StoreItem) -> Option<crate::ports::WorkerEntry> {
    let id = item.key.strip_prefix(context.client.dialect.keys.workers)?;
    match (context.client.dialect.worker_entry)(id, &item.value) {
        Ok(entry) => Some(entry),
        Err(error) => {
            log::info!(event = "entry_unreadable", worker = id, error:% = error; "");
            None
        }
    }
}

/// Watches the workers' entries and reports changes until the receiver of `events` is
/// dropped.
async fn watch_workers(context: OwnerContext, events: mpsc::UnboundedSender<OwnerEvent>) {
    let prefix = context.client.dialect.keys.workers;
    let unlisted = |key: &str| {
        let id = key.strip_prefix(prefix);
        id.map(|id| OwnerEvent::WorkerUnlisted(id.to_owned()))
    };
    let report_update = |update: PrefixUpdate| {
        let event = match update {
            PrefixUpdate::Snapshot(items) => {
                let entries = items.iter().filter_map(|item| decode_entry(&context, item));
                Some(OwnerEvent::WorkersSynced(entries.collect()))
            }
            PrefixUpdate::Change(StoreEvent::Written(item)) => {
                let listed = decode_entry(&context, &item).map(OwnerEvent::WorkerListed);
                listed.or_else(|| unlisted(&item.key))
            }
            PrefixUpdate::Change(StoreEvent::Removed { key, .. }) => unlisted(&key),
        };
        let Some(event) = event else {
            log::warn!(event = "foreign_key", prefix = prefix; "");
            return true;
        };
        events.send(event).is_ok()
    };
    watch_prefix(&context.link, prefix, report_update).await;
}
