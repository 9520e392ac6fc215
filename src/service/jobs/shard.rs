//! The event loop of a shard's owner: passes events to the scheduler, executes its
//! actions and starts its commits.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use tokio::sync::Notify;
use tokio::sync::mpsc;
use tokio::time::Instant;
use tokio::time::sleep_until;

use crate::clock::boot_ms;
use crate::clock::unix_ms;
use crate::jobs::callers::Submission;
use crate::jobs::engine::JobEngine;
use crate::jobs::engine::TimePair;
use crate::jobs::record::LANE_COUNT;
use crate::jobs::record::ShardKeys;
use crate::jobs::writes::WriteBatch;
use crate::kernel::ShutdownPhase;
use crate::ports::store::LeaseId;
use crate::ports::store::StoreWrite;
use crate::service::jobs::claim::owner_key_write;
use crate::service::jobs::commit;
use crate::service::jobs::commit::ChainCommit;
use crate::service::jobs::execute::ActionExecutor;
use crate::service::jobs::execute::AnswerWaiter;
use crate::service::jobs::member::update_owner;
use crate::service::jobs::messages::CommitOutcome;
use crate::service::jobs::messages::OwnerEvent;
use crate::service::jobs::messages::RelayOperation;
use crate::service::jobs::messages::RelayReply;
use crate::service::jobs::messages::collect_batch;
use crate::service::jobs::owner::OwnerContext;
use crate::service::jobs::owner::TRANSFER_LIMIT;

/// Period of the scheduler's tick.
const TICK_PERIOD: Duration = Duration::from_millis(50);

/// Maximum number of events that are handled before the scheduler places tasks again.
const EVENT_BATCH: usize = 256;

/// Time after which a commit in progress counts as slow, so that another lane is used, in
/// milliseconds; a commit usually takes a few.
const SLOW_COMMIT_MS: u64 = 40;

/// Time after which a commit in progress shows that the store does not answer, in
/// milliseconds; a slow store takes a quarter of a second.
const STORE_UNRESPONSIVE_MS: u64 = 400;

/// State of a chain of commits.
#[derive(Clone, Copy, Debug, Default)]
pub struct CommitLane {
    /// Revision of the chain key.
    pub chain_revision: u64,
    /// Number of the last commit.
    pub number: u64,
    /// Start of the commit in progress, if any, in milliseconds on the boot clock.
    pub commit_started_ms: Option<u64>,
}

/// The shard owner: the scheduler, its lanes and the channels around it.
pub(super) struct ShardOwner {
    pub(super) context: OwnerContext,
    pub(super) engine: JobEngine,
    pub(super) lanes: [CommitLane; LANE_COUNT],
    /// Lease under which the owner's key must be restored, and until when the lease is
    /// valid, in milliseconds on the boot clock.
    pub(super) reclaim: Option<(LeaseId, u64)>,
    /// The same while the commit that restores the key is in progress.
    pub(super) reclaiming: Option<(LeaseId, u64)>,
    /// Whether an earlier check found this owner not isolated.
    pub(super) was_connected: bool,
    /// Requests a renewal of the lease because the owner's key is gone.
    pub(super) check_lease: Arc<Notify>,
    /// Progress of waves as loaded from the store, by number.
    pub(super) stored_waves: HashMap<u64, crate::jobs::wave::StoredWave>,
    pub(super) executor: ActionExecutor,
    pub(super) events: mpsc::UnboundedSender<OwnerEvent>,
    /// Value of the owner's key.
    pub(super) record: crate::jobs::record::MemberRecord,
}

impl ShardOwner {
    /// Runs the event loop until this owner is deposed, isolated or shut down; returns
    /// the lease to revoke. `lease` is the lease of the owner's key.
    pub(super) async fn serve(
        &mut self,
        receiver: &mut mpsc::UnboundedReceiver<OwnerEvent>,
        mut lease: u64,
    ) -> u64 {
        let mut phase = self.context.phase.clone();
        let mut operator = self.context.operator.clone();
        let mut members = self.context.members.clone();
        operator.mark_changed();
        let mut tick = Instant::now();
        loop {
            let mut releasing = false;
            tokio::select! {
                Some(event) = receiver.recv() => {
                    for event in collect_batch(event, receiver, EVENT_BATCH) {
                        if let OwnerEvent::OwnerKeyLost(id, _) = event {
                            lease = id;
                        }
                        self.handle_event(event);
                    }
                }
                () = sleep_until(tick) => {
                    self.engine.store_unresponsive = self.is_store_unresponsive();
                    self.engine.tick(now());
                    crate::metrics::record_pool_vms(self.engine.pool_forecasts());
                    tick = Instant::now() + TICK_PERIOD;
                    releasing = self.is_isolated();
                }
                changed = operator.changed() => {
                    if changed.is_ok() {
                        let state = operator.borrow_and_update().clone();
                        self.apply_operator(state);
                    }
                }
                changed = members.changed() => if changed.is_ok() {
                    members.mark_unchanged();
                    self.check_owner(&members, lease);
                },
                _ = phase.changed() => releasing = *phase.borrow() > ShutdownPhase::Running,
            }
            if self.engine.deposed {
                log::warn!(event = "deposed", epoch = self.engine.epoch; "");
                return lease;
            }
            if releasing {
                self.prepare_transfer(receiver).await;
                return lease;
            }
            self.engine.run_placement(now());
            self.start_due_commits();
            self.execute_actions();
        }
    }

    fn is_store_unresponsive(&self) -> bool {
        let now = boot_ms();
        let mut since = self.lanes.iter().filter_map(|lane| lane.commit_started_ms);
        since.any(|since_ms| now > since_ms + STORE_UNRESPONSIVE_MS)
    }

    /// Returns whether this owner has lost contact with all other entry VMs, so that they
    /// cannot relay requests to it. An owner that never had contact is not isolated.
    fn is_isolated(&mut self) -> bool {
        let reach = self.context.exchange.reach();
        if !reach.is_isolated() {
            self.was_connected = true;
            return false;
        }
        if !self.was_connected {
            return false;
        }
        log::warn!(event = "owner_isolated", epoch = self.engine.epoch, known = reach.known, recent = reach.recent; "");
        true
    }

    fn execute_actions(&mut self) {
        for action in self.engine.take_actions() {
            self.executor.execute(action);
        }
    }

    fn apply_operator(&mut self, state: crate::service::jobs::messages::OperatorState) {
        if let Some(config) = state.config {
            self.engine.set_config(config);
        }
        for wave in state.waves {
            let stored = self.stored_waves.get(&wave.wave).cloned();
            self.engine.add_wave(wave, stored, now());
        }
    }

    fn handle_event(&mut self, event: OwnerEvent) {
        let time = now();
        match event {
            OwnerEvent::Relay(request, answer) => {
                let account = request.account.map(Into::into);
                let scope = self.engine.caller_scope(&request.queue, account.clone());
                let waiter = self.executor.add_waiter(AnswerWaiter {
                    job: request.job.clone(),
                    scope: scope.clone(),
                    sender: answer,
                });
                let id = request.job.as_str().into();
                match request.ask {
                    RelayOperation::Submit(spec) => {
                        let submission = Submission {
                            id,
                            queue: request.queue,
                            pool: request.pool,
                            terms: request.terms,
                            spec,
                            account,
                            beyond_rate: false,
                        };
                        self.engine.submit(submission, waiter, time);
                    }
                    RelayOperation::Query => self.engine.query(&id, &scope, waiter),
                    RelayOperation::Cancel => self.engine.cancel(&id, &scope, waiter, time.boot),
                    RelayOperation::Pending => self.engine.pending(&request.queue, waiter),
                }
            }
            OwnerEvent::WorkerCallCompleted {
                token,
                result,
                sent_ms,
            } => self
                .engine
                .handle_call_result(token, result, sent_ms, time.boot),
            OwnerEvent::FleetCallCompleted(call, reply) => {
                self.engine.handle_fleet_reply(&call, reply, time.boot)
            }
            OwnerEvent::AdviceCompleted(step, requested, reply) => {
                self.engine
                    .handle_advice_reply(&step, &requested, reply, time.boot);
            }
            OwnerEvent::WorkersSynced(entries) => self.engine.workers_synced(entries, time.boot),
            OwnerEvent::WorkerListed(entry) => self.engine.worker_listed(entry, time.boot),
            OwnerEvent::WorkerUnlisted(worker) => self.engine.worker_unlisted(&worker, time.boot),
            OwnerEvent::OwnerKeyLost(lease, valid_until_ms) => {
                self.restore_key(lease, valid_until_ms);
            }
            OwnerEvent::CommitReported(lane, batch, outcome) => {
                self.handle_commit(lane, &batch, outcome, time.boot);
            }
        }
    }

    fn handle_commit(&mut self, lane: usize, batch: &WriteBatch, outcome: CommitOutcome, now: u64) {
        match outcome {
            CommitOutcome::Stored(revision) => {
                self.lanes[lane].chain_revision = revision;
                self.lanes[lane].commit_started_ms = None;
                if let Some((lease, valid_until_ms)) = self.reclaiming.take_if(|_| lane == 0) {
                    log::info!(event = "owner_reclaimed", epoch = self.engine.epoch; "");
                    self.executor.validity.reclaim(lease, valid_until_ms);
                    let record = self.record.clone();
                    let members = &self.context.exchange.members;
                    members.send_modify(|state| update_owner(state, record, revision));
                }
                self.engine.write_succeeded(batch, now);
            }
            CommitOutcome::ReclaimFailed => {
                self.lanes[lane].commit_started_ms = None;
                self.reclaiming = None;
                self.engine.write_failed(batch, now);
                self.check_lease.notify_one();
            }
            CommitOutcome::Delayed => self.engine.store_unavailable(batch, now),
            CommitOutcome::Deposed => self.engine.deposed = true,
        }
    }

    /// Starts the commits that are due, as far as lanes are free.
    fn start_due_commits(&mut self) {
        let time = now();
        while self
            .engine
            .next_write_ms()
            .is_some_and(|due| due <= time.boot)
            || self.reclaim.is_some()
        {
            let Some(lane) = free_lane(&self.lanes, self.engine.fills_commit(), time.boot) else {
                return;
            };
            if !self.start_commit(lane, time) {
                return;
            }
        }
    }

    /// Starts a commit in a lane; returns false if there is nothing to commit there. The
    /// owner's key, waves, permits and leases of unresponsive workers use lane 0 only.
    fn start_commit(&mut self, lane: usize, time: TimePair) -> bool {
        let batch = match self
            .engine
            .take_writes(ShardKeys::default(), lane == 0, time)
        {
            Ok(batch) => batch,
            Err(error) => {
                log::error!(event = "records_encode_failed", error:% = error; "");
                return false;
            }
        };
        let reclaim = self.reclaim.take_if(|_| lane == 0);
        if batch.is_empty() && reclaim.is_none() {
            return false;
        }
        self.lanes[lane].number += 1;
        self.lanes[lane].commit_started_ms = Some(time.boot);
        let keys = self.context.client.dialect.keys;
        let mut extra_writes: Vec<StoreWrite> = Vec::new();
        for (wave, record) in &batch.waves {
            extra_writes.push(StoreWrite {
                key: format!("{}{wave}", keys.wave_status),
                value: (self.context.client.dialect.wave_status)(record.complete),
                lease: 0,
            });
        }
        let mut absent_keys = Vec::new();
        if let Some((lease, valid_until_ms)) = reclaim {
            extra_writes.extend(owner_key_write(&self.record, lease));
            absent_keys.push(ShardKeys::default().owner());
            self.reclaiming = Some((lease, valid_until_ms));
        }
        let commit = ChainCommit {
            epoch: self.engine.epoch,
            holder: self.record.name.clone(),
            lane,
            number: self.lanes[lane].number,
            chain_revision: self.lanes[lane].chain_revision,
            batch,
            extra_writes,
            absent_keys,
        };
        tokio::spawn(commit::run(
            self.context.link.clone(),
            commit,
            self.events.clone(),
        ));
        true
    }

    /// Commits all changes that are not stored yet, within [`TRANSFER_LIMIT`], so that
    /// the successor loads them.
    async fn prepare_transfer(&mut self, receiver: &mut mpsc::UnboundedReceiver<OwnerEvent>) {
        log::info!(event = "shard_transfer_started", epoch = self.engine.epoch, jobs = self.engine.jobs.len(); "");
        let deadline = Instant::now() + TRANSFER_LIMIT;
        self.engine.flush_all();
        loop {
            self.start_due_commits();
            self.execute_actions();
            let idle = self
                .lanes
                .iter()
                .all(|lane| lane.commit_started_ms.is_none());
            if idle && self.engine.dirty.is_empty() || self.engine.deposed {
                return;
            }
            // Other events are dropped: the successor receives the workers' reports again.
            match tokio::time::timeout_at(deadline, receiver.recv()).await {
                Ok(Some(OwnerEvent::Relay(_, answer))) => {
                    // The sender may have disconnected.
                    let _ = answer.send(RelayReply::NotOwner);
                }
                Ok(Some(OwnerEvent::CommitReported(lane, batch, outcome))) => {
                    self.handle_commit(lane, &batch, outcome, boot_ms());
                }
                Ok(Some(_)) => {}
                Ok(None) | Err(_) => return,
            }
        }
    }
}

/// Returns the lane for the next commit, the first without a commit in progress.
///
/// Returns none while a lane before it has a commit that is not slow yet, so that changes
/// go into one larger commit, which costs less than several small ones. This does not
/// apply if the changes are enough for a full commit (`is_full`).
#[must_use]
pub fn free_lane(lanes: &[CommitLane], is_full: bool, now: u64) -> Option<usize> {
    for (number, lane) in lanes.iter().enumerate() {
        match lane.commit_started_ms {
            None => return Some(number),
            Some(since_ms) if !is_full && now < since_ms + SLOW_COMMIT_MS => return None,
            Some(_) => {}
        }
    }
    None
}

fn now() -> TimePair {
    TimePair {
        boot: boot_ms(),
        unix: unix_ms(),
    }
}
