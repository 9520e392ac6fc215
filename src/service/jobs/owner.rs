//! Owning the shard: waits for its turn, bids, runs the scheduler, hands over.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use tokio::sync::Notify;
use tokio::sync::mpsc;
use tokio::sync::watch;
use tokio::task::JoinHandle;
use tokio::time::Instant;
use tokio::time::sleep;
use tokio::time::sleep_until;
use tokio::time::timeout;

use crate::clock::boot_ms;
use crate::clock::unix_ms;
use crate::jobs::callers::Submission;
use crate::jobs::engine::JobEngine;
use crate::jobs::engine::SchedulerSettings;
use crate::jobs::engine::TimePair;
use crate::jobs::record::LANES;
use crate::jobs::record::ShardKeys;
use crate::jobs::writes::WriteBatch;
use crate::kernel::ShutdownPhase;
use crate::platform::backoff::BackoffState;
use crate::ports::StoreCall;
use crate::ports::client::PortClient;
use crate::ports::store::LeaseId;
use crate::ports::store::StoreEvent;
use crate::ports::store::StoreItem;
use crate::ports::store::StoreWrite;
use crate::service::jobs::bid::OwnerTerm;
use crate::service::jobs::bid::WonShard;
use crate::service::jobs::bid::bid;
use crate::service::jobs::bid::owner_write;
use crate::service::jobs::bid::renew;
use crate::service::jobs::bid::was_last_owner;
use crate::service::jobs::commit;
use crate::service::jobs::commit::ChainCommit;
use crate::service::jobs::exchange::ExchangeState;
use crate::service::jobs::exchange::address_of;
use crate::service::jobs::load::ShardContent;
use crate::service::jobs::load::read_shard;
use crate::service::jobs::load::restore;
use crate::service::jobs::member::note_owner;
use crate::service::jobs::messages::CommitOutcome;
use crate::service::jobs::messages::MemberView;
use crate::service::jobs::messages::OperatorView;
use crate::service::jobs::messages::OwnerEvent;
use crate::service::jobs::messages::RelayAsk;
use crate::service::jobs::messages::RelayReply;
use crate::service::jobs::perform::ActionPerformer;
use crate::service::jobs::perform::KEEP_ALIVE_MS;
use crate::service::jobs::settings::NodeSettings;
use crate::service::jobs::store::StoreLink;
use crate::service::jobs::watch::PrefixNews;
use crate::service::jobs::watch::STORE_BACKOFF;
use crate::service::jobs::watch::follow;
use crate::service::jobs::watch::read_all;

/// Time between two rounds of what is due by time.
const TICK: Duration = Duration::from_millis(50);

/// Events taken in before the next plan.
const EVENT_BURST: usize = 256;

/// Time after which a commit counts as slow, in milliseconds; it usually takes a few.
const LANE_BUSY_MS: u64 = 40;

/// Longest draw before a bid, so that not all bid at once.
const BID_SPREAD: Duration = Duration::from_millis(40);

/// How much longer an entry VM that has just started waits for the last owner, if that
/// was another one: the last owner may go on moving VMs at once.
const LAST_OWNER_WAIT: Duration = Duration::from_millis(250);

/// How much longer an entry VM waits that was started clearly before another one.
const OLD_WAIT: Duration = Duration::from_millis(60);

/// Difference of two starts from which they belong to different rounds, in
/// milliseconds.
const ROLL_GAP_MS: u64 = 4000;

/// Time after the start of a process before its first bid: the others, and which of
/// them are large, are known by then.
const REGISTER_WAIT: Duration = Duration::from_millis(350);

/// How much longer the smallest entry VMs wait, so that larger ones win: the owner
/// needs most of what it may use.
const SMALL_WAIT: Duration = Duration::from_millis(400);

/// Limit on asking a former owner whether it lives: a few round trips.
const FORMER_LIMIT: Duration = Duration::from_millis(120);

/// Time given to a living former owner to put its key back.
const FORMER_GRACE: Duration = Duration::from_millis(700);

/// Pause of an entry VM that reaches neither others nor the store.
const CUT_OFF_WAIT: Duration = Duration::from_millis(200);

/// Limit on the last commit of a handover.
const HANDOVER_LIMIT: Duration = Duration::from_millis(1200);

/// What owning needs.
#[derive(Clone)]
pub struct OwnerContext {
    /// Settings.
    pub settings: NodeSettings,
    /// Start of this process, in milliseconds since the Unix epoch.
    pub started_ms: u64,
    /// The store.
    pub link: StoreLink,
    /// Workers, list of VMs, advice.
    pub client: PortClient,
    /// The members.
    pub members: MemberView,
    /// What the operator wants.
    pub operator: OperatorView,
    /// Notes to other entry VMs.
    pub exchange: ExchangeState,
    /// Phase of the shutdown.
    pub phase: watch::Receiver<ShutdownPhase>,
}

/// Bids whenever the shard is free, and owns it while it can.
pub async fn run(
    mut context: OwnerContext,
    inbox: watch::Sender<Option<mpsc::UnboundedSender<OwnerEvent>>>,
) {
    let mut backoff = BackoffState::new(STORE_BACKOFF);
    loop {
        let Some(held) = wait_turn(&mut context).await else {
            return;
        };
        let won = bid(&context.settings, &context.link, held, context.started_ms).await;
        let Some(won) = won else {
            sleep(backoff.pause(rand::random())).await;
            continue;
        };
        backoff.reset();
        log::info!(event = "shard_won", epoch = won.epoch, held = held; "");
        own(&context, won, &inbox).await;
        inbox.send_replace(None);
        if is_leaving(&context) {
            return;
        }
        sleep(backoff.pause(rand::random())).await;
    }
}

fn is_leaving(context: &OwnerContext) -> bool {
    *context.phase.borrow() > ShutdownPhase::Running
}

/// Waits until a bid makes sense; returns the revision that the owner's key has.
async fn wait_turn(context: &mut OwnerContext) -> Option<u64> {
    loop {
        if is_leaving(context) {
            return None;
        }
        let (synced, owner, former) = {
            let members = context.members.borrow_and_update();
            (
                members.synced,
                members.owner.clone(),
                members.former.clone(),
            )
        };
        match owner {
            // A former life of this process has ended: its address is bound again.
            Some((owner, revision)) if owner.name == context.settings.name && revision > 0 => {
                return Some(revision);
            }
            None if synced => {
                let fresh = settle_pause(context);
                sleep(fresh).await;
                if !fresh.is_zero() && !was_last_owner(&context.settings, &context.link).await {
                    sleep(LAST_OWNER_WAIT).await;
                }
                sleep(bid_pause(context)).await;
                if let Some(former) = former.filter(|former| former.name != context.settings.name)
                    && let Some(address) = address_of(&former)
                    && let Some(note) = context.exchange.send(address, u64::MAX, FORMER_LIMIT).await
                    && note.owning
                {
                    log::info!(event = "former_owner_lives", owner = former.name.as_str(); "");
                    let reclaimed = context.members.wait_for(|state| state.owner.is_some());
                    let _ = timeout(FORMER_GRACE, reclaimed).await;
                }
                if context.exchange.is_cut_off() {
                    sleep(CUT_OFF_WAIT).await;
                    continue;
                }
                if context.members.borrow().owner.is_none() && !is_leaving(context) {
                    return Some(0);
                }
                continue;
            }
            _ => {}
        }
        let mut phase = context.phase.clone();
        tokio::select! {
            _ = context.members.changed() => {}
            _ = phase.changed() => {}
        }
    }
}

/// Returns the pause before a bid: short for the largest entry VMs, longer for small ones.
fn bid_pause(context: &OwnerContext) -> Duration {
    let (own, most) = (
        context.settings.share(),
        context.members.borrow().most_share.max(1),
    );
    let lack = 1.0 - (own as f64 / most as f64).min(1.0);
    let newest_ms = context.members.borrow().newest_ms;
    // While entry VMs are restarted in turn, one that has had its turn stays.
    let old = context.started_ms + ROLL_GAP_MS < newest_ms;
    let wait = if old { OLD_WAIT } else { Duration::ZERO };
    BID_SPREAD.mul_f64(rand::random()) + SMALL_WAIT.mul_f64(lack) + wait
}

/// Returns the rest of the time in which entry VMs that start together register.
fn settle_pause(context: &OwnerContext) -> Duration {
    let age_ms = unix_ms().saturating_sub(context.started_ms);
    REGISTER_WAIT.saturating_sub(Duration::from_millis(age_ms))
}

/// Tasks that end with the ownership.
struct TaskGuard(Vec<JoinHandle<()>>);

impl Drop for TaskGuard {
    fn drop(&mut self) {
        self.0.iter().for_each(JoinHandle::abort);
    }
}

async fn own(
    context: &OwnerContext,
    won: WonShard,
    inbox: &watch::Sender<Option<mpsc::UnboundedSender<OwnerEvent>>>,
) {
    let (events, mut received) = mpsc::unbounded_channel();
    let term = Arc::new(OwnerTerm::new(won.lease, won.valid_ms));
    let check_lease = Arc::new(Notify::new());
    let renewing = renew(
        context.settings.clone(),
        context.link.clone(),
        won.lease,
        Arc::clone(&term),
        Arc::clone(&check_lease),
        events.clone(),
    );
    let mut tasks = TaskGuard(vec![tokio::spawn(renewing)]);
    let Some((content, entries, config)) = load(context, &term).await else {
        log::warn!(event = "shard_not_loaded", epoch = won.epoch; "");
        release(context, won.lease).await;
        return;
    };
    let scheduler = SchedulerSettings {
        holder: context.settings.name.clone(),
        // The former holder was an earlier life of this process, which has ended.
        fleet_wait_ms: if won.again {
            0
        } else {
            context.settings.scheduler.fleet_wait_ms
        },
        ..context.settings.scheduler.clone()
    };
    let now = boot_ms();
    let mut engine = JobEngine::new(scheduler, won.epoch, config, now);
    engine.inherit_ms = now + KEEP_ALIVE_MS + engine.settings.lease_ms * 21 / 20;
    engine.fleet.enabled = context.client.addresses.fleet.is_some();
    let waves = content.waves.clone();
    restore(&mut engine, content);
    let listed = entries
        .iter()
        .filter_map(|item| decode_entry(context, item));
    engine.workers_synced(listed.collect(), now);
    engine.book_inherited(now);
    tasks
        .0
        .push(tokio::spawn(watch_workers(context.clone(), events.clone())));
    let mut owner = ShardOwner {
        context: context.clone(),
        lanes: [CommitLane {
            chain: won.chain,
            ..CommitLane::default()
        }; LANES],
        reclaim: None,
        reclaiming: None,
        well_heard: false,
        check_lease,
        stored_waves: waves,
        performer: ActionPerformer {
            client: context.client.clone(),
            term,
            events: events.clone(),
            waiters: HashMap::new(),
            next_waiter: 0,
        },
        events: events.clone(),
        record: won.record.clone(),
        engine,
    };
    inbox.send_replace(Some(events));
    let lease = owner.serve(&mut received, won.lease).await;
    inbox.send_replace(None);
    release(context, lease).await;
}

async fn release(context: &OwnerContext, lease: u64) {
    let call = StoreCall::Revoke(lease);
    if let Err(error) = context.link.call(&call, HANDOVER_LIMIT).await {
        log::info!(event = "release_failed", error:% = error; "");
    }
}

type LoadedShard = (
    ShardContent,
    Vec<StoreItem>,
    Arc<crate::jobs::config::JobConfig>,
);

/// Reads all that the scheduler starts from, as long as the ownership is sure.
async fn load(context: &OwnerContext, term: &OwnerTerm) -> Option<LoadedShard> {
    let mut backoff = BackoffState::new(STORE_BACKOFF);
    let workers = context.client.dialect.keys.workers;
    let mut operator = context.operator.clone();
    while boot_ms() < term.valid_ms() {
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
        sleep(backoff.pause(rand::random())).await;
    }
    None
}

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

/// Follows the workers' entries.
async fn watch_workers(context: OwnerContext, events: mpsc::UnboundedSender<OwnerEvent>) {
    let prefix = context.client.dialect.keys.workers;
    let news = |news: PrefixNews| {
        let event = match news {
            PrefixNews::All(items) => {
                let entries = items.iter().filter_map(|item| decode_entry(&context, item));
                OwnerEvent::WorkersSynced(entries.collect())
            }
            PrefixNews::Changed(StoreEvent::Written(item)) => match decode_entry(&context, &item) {
                Some(entry) => OwnerEvent::WorkerListed(entry),
                None => OwnerEvent::WorkerUnlisted(item.key[prefix.len()..].to_owned()),
            },
            PrefixNews::Changed(StoreEvent::Removed { key, .. }) => {
                OwnerEvent::WorkerUnlisted(key[prefix.len()..].to_owned())
            }
        };
        events.send(event).is_ok()
    };
    follow(&context.link, prefix, news).await;
}

/// A chain of commits.
#[derive(Clone, Copy, Debug, Default)]
struct CommitLane {
    /// Revision of its key.
    chain: u64,
    /// Number of the last commit.
    number: u64,
    /// Whether a commit is under way, and since when on the boot clock.
    since_ms: Option<u64>,
}

/// The scheduler of the shard with what it needs.
struct ShardOwner {
    context: OwnerContext,
    engine: JobEngine,
    lanes: [CommitLane; LANES],
    /// Lease under which the owner's key is to be put back, and until when it holds.
    reclaim: Option<(LeaseId, u64)>,
    /// Likewise, while the commit is under way.
    reclaiming: Option<(LeaseId, u64)>,
    well_heard: bool,
    check_lease: Arc<Notify>,
    stored_waves: HashMap<u64, crate::jobs::record::WaveRecord>,
    performer: ActionPerformer,
    events: mpsc::UnboundedSender<OwnerEvent>,
    record: crate::jobs::record::MemberRecord,
}

impl ShardOwner {
    /// Runs until deposed or until the shutdown; returns the lease to release.
    async fn serve(
        &mut self,
        received: &mut mpsc::UnboundedReceiver<OwnerEvent>,
        mut lease: u64,
    ) -> u64 {
        let mut phase = self.context.phase.clone();
        let mut operator = self.context.operator.clone();
        let mut members = self.context.members.clone();
        operator.mark_changed();
        let mut tick = Instant::now();
        let mut burst = Vec::with_capacity(EVENT_BURST);
        loop {
            let mut leaving = false;
            tokio::select! {
                Some(event) = received.recv() => {
                    burst.push(event);
                    while burst.len() < EVENT_BURST
                        && let Ok(event) = received.try_recv()
                    {
                        burst.push(event);
                    }
                    for event in burst.drain(..) {
                        if let OwnerEvent::LeaseLost(id, _) = event {
                            lease = id;
                        }
                        self.take(event);
                    }
                }
                () = sleep_until(tick) => {
                    self.engine.tick(now());
                    tick = Instant::now() + TICK;
                    leaving = self.is_cut_off();
                }
                changed = operator.changed() => {
                    if changed.is_ok() {
                        let state = operator.borrow_and_update().clone();
                        self.follow_operator(state);
                    }
                }
                changed = members.changed() => if changed.is_ok() {
                    members.mark_unchanged();
                    self.follow_members(&members, lease);
                },
                _ = phase.changed() => leaving = *phase.borrow() > ShutdownPhase::Running,
            }
            if self.engine.deposed {
                log::warn!(event = "deposed", epoch = self.engine.epoch; "");
                return lease;
            }
            if leaving {
                self.hand_over(received).await;
                return lease;
            }
            self.engine.plan(now());
            self.commit_due();
            self.perform_all();
        }
    }

    /// Tells whether the ownership is of no use here: no other entry VM is heard,
    /// though some were.
    fn is_cut_off(&mut self) -> bool {
        let reach = self.context.exchange.reach();
        if !reach.is_isolated() {
            self.well_heard = true;
            return false;
        }
        if !self.well_heard {
            return false;
        }
        log::warn!(event = "owner_cut_off", epoch = self.engine.epoch, known = reach.known, heard = reach.heard; "");
        true
    }

    /// Puts the owner's key back if it was removed, and yields to a later owner.
    fn follow_members(&mut self, members: &MemberView, lease: u64) {
        let (owner, former) = {
            let state = members.borrow();
            (state.owner.clone(), state.former.clone())
        };
        let epoch = self.engine.epoch;
        if owner.as_ref().is_some_and(|(owner, _)| owner.epoch > epoch) {
            self.engine.deposed = true;
        }
        let removed = owner.is_none() && former.is_some_and(|former| former.epoch == epoch);
        if removed && self.reclaim.is_none() && self.reclaiming.is_none() {
            log::warn!(event = "owner_key_removed", epoch = epoch, lease = lease; "");
            self.check_lease.notify_one();
        }
    }

    fn perform_all(&mut self) {
        for action in self.engine.take_actions() {
            self.performer.perform(action);
        }
    }

    fn follow_operator(&mut self, state: crate::service::jobs::messages::OperatorState) {
        if let Some(config) = state.config {
            self.engine.set_config(config);
        }
        for wave in state.waves {
            let record = self.stored_waves.get(&wave.wave).cloned();
            self.engine.set_wave(wave, record, boot_ms());
        }
    }

    fn take(&mut self, event: OwnerEvent) {
        let time = now();
        match event {
            OwnerEvent::Relay(request, answer) => {
                let waiter = self.performer.wait(answer);
                let id = request.job.as_str().into();
                match request.ask {
                    RelayAsk::Submit(spec) => {
                        let submission = Submission {
                            id,
                            queue: request.queue,
                            pool: request.pool,
                            spec,
                        };
                        self.engine.submit(submission, waiter, time);
                    }
                    RelayAsk::Query => self.engine.query(&id, waiter),
                    RelayAsk::Cancel => self.engine.cancel(&id, waiter, time.boot),
                    RelayAsk::Pending => self.engine.pending(&request.queue, waiter),
                }
            }
            OwnerEvent::Called {
                token,
                result,
                sent_ms,
            } => self.engine.called(token, result, sent_ms, time.boot),
            OwnerEvent::FleetCalled(call, reply) => {
                self.engine.fleet_called(&call, reply, time.boot)
            }
            OwnerEvent::Advised(step, asked, reply) => {
                self.engine.advised(&step, &asked, reply, time.boot);
            }
            OwnerEvent::WorkersSynced(entries) => self.engine.workers_synced(entries, time.boot),
            OwnerEvent::WorkerListed(entry) => self.engine.worker_listed(entry, time.boot),
            OwnerEvent::WorkerUnlisted(worker) => self.engine.worker_unlisted(&worker, time.boot),
            OwnerEvent::LeaseLost(lease, until) => self.reclaim = Some((lease, until)),
            OwnerEvent::Committed(lane, batch, outcome) => {
                self.committed(lane, &batch, outcome, time.boot);
            }
        }
    }

    fn committed(&mut self, lane: usize, batch: &WriteBatch, outcome: CommitOutcome, now: u64) {
        match outcome {
            CommitOutcome::Stored(revision) => {
                self.lanes[lane].chain = revision;
                self.lanes[lane].since_ms = None;
                if let Some((lease, until)) = self.reclaiming.take_if(|_| lane == 0) {
                    log::info!(event = "owner_reclaimed", epoch = self.engine.epoch; "");
                    self.performer.term.reclaim(lease, until);
                    let record = self.record.clone();
                    let members = &self.context.exchange.members;
                    members.send_modify(|state| note_owner(state, record, revision));
                }
                self.engine.written(batch, now);
            }
            CommitOutcome::LeaseGone => {
                self.lanes[lane].since_ms = None;
                self.reclaiming = None;
                self.engine.not_written(batch, now);
                self.check_lease.notify_one();
            }
            CommitOutcome::Delayed => self.engine.store_failed(batch, now),
            CommitOutcome::Deposed => self.engine.deposed = true,
        }
    }

    /// Returns the chain for the next commit. A further one is used only if those
    /// before it have been under way for long: together, small commits cost less.
    fn free_lane(&self, now: u64) -> Option<usize> {
        for (number, lane) in self.lanes.iter().enumerate() {
            match lane.since_ms {
                None => return Some(number),
                Some(since_ms) if now < since_ms + LANE_BUSY_MS => return None,
                Some(_) => {}
            }
        }
        None
    }

    /// Starts the commits that are due, as far as there are free chains.
    fn commit_due(&mut self) {
        let time = now();
        while self.engine.write_due().is_some_and(|due| due <= time.boot) || self.reclaim.is_some()
        {
            let Some(lane) = self.free_lane(time.boot) else {
                return;
            };
            if !self.commit(lane, time) {
                return;
            }
        }
    }

    /// Starts a commit; false if there is nothing for this chain.
    fn commit(&mut self, lane: usize, time: TimePair) -> bool {
        let batch = match self
            .engine
            .take_writes(ShardKeys::default(), lane == 0, time)
        {
            Ok(batch) => batch,
            Err(error) => {
                log::error!(event = "records_unencodable", error:% = error; "");
                return false;
            }
        };
        let reclaim = self.reclaim.take_if(|_| lane == 0);
        if batch.is_empty() && reclaim.is_none() {
            return false;
        }
        self.lanes[lane].number += 1;
        self.lanes[lane].since_ms = Some(time.boot);
        let keys = self.context.client.dialect.keys;
        let mut extra: Vec<StoreWrite> = Vec::new();
        for (wave, record) in &batch.waves {
            extra.push(StoreWrite {
                key: format!("{}{wave}", keys.wave_status),
                value: (self.context.client.dialect.wave_status)(record.complete),
                lease: 0,
            });
        }
        let mut absent = Vec::new();
        if let Some((lease, until)) = reclaim {
            extra.extend(owner_write(&self.record, lease));
            absent.push(ShardKeys::default().owner());
            self.reclaiming = Some((lease, until));
        }
        let commit = ChainCommit {
            epoch: self.engine.epoch,
            holder: self.record.name.clone(),
            lane,
            number: self.lanes[lane].number,
            chain: self.lanes[lane].chain,
            batch,
            extra,
            absent,
        };
        tokio::spawn(commit::run(
            self.context.link.clone(),
            commit,
            self.events.clone(),
        ));
        true
    }

    /// Stores what is not stored yet; the successor starts from it.
    async fn hand_over(&mut self, received: &mut mpsc::UnboundedReceiver<OwnerEvent>) {
        log::info!(event = "handing_over", epoch = self.engine.epoch, jobs = self.engine.jobs.len(); "");
        let deadline = Instant::now() + HANDOVER_LIMIT;
        self.engine.flush_all();
        loop {
            self.commit_due();
            self.perform_all();
            let idle = self.lanes.iter().all(|lane| lane.since_ms.is_none());
            if idle && self.engine.dirty.is_empty() || self.engine.deposed {
                return;
            }
            // What workers say from now on, the successor hears too.
            match tokio::time::timeout_at(deadline, received.recv()).await {
                Ok(Some(OwnerEvent::Relay(_, answer))) => {
                    // The sender may have gone.
                    let _ = answer.send(RelayReply::NotOwner);
                }
                Ok(Some(OwnerEvent::Committed(lane, batch, outcome))) => {
                    self.committed(lane, &batch, outcome, boot_ms());
                }
                Ok(Some(_)) => {}
                Ok(None) | Err(_) => return,
            }
        }
    }
}

fn now() -> TimePair {
    TimePair {
        boot: boot_ms(),
        unix: unix_ms(),
    }
}
