//! A term of the controller, and its rounds: read, decide, execute.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::sync::Arc;
use std::time::Duration;

use snafu::ResultExt;
use tokio::time::Instant;

use super::AuditSnafu;
use super::ControllerReport;
use super::FleetError;
use super::NotControllerSnafu;
use super::PlatformSnafu;
use super::follow::RecordSender;
use super::follow::apply_record;
use super::lease::HeldLease;
use super::lease::LeaseView;
use super::operations;
use super::store;
use super::store::StoredLedgers;
use super::store::StoredRecord;
use crate::config::VersionedConfig;
use crate::decide::controller::ControllerAction;
use crate::decide::controller::ControllerState;
use crate::decide::controller::StepView;
use crate::decide::controller::home_pools_of;
use crate::fleet::EntryRoster;
use crate::fleet::VmState;
use crate::names::DcName;
use crate::names::EntryName;
use crate::names::OperationId;
use crate::names::PoolName;
use crate::names::VmName;
use crate::peer::EntryAck;
use crate::platform::ListedVm;
use crate::platform::OperationKind;
use crate::platform::PlatformClient;
use crate::service::audit;
use crate::service::unix_ms;
use crate::settings::DaemonSettings;

/// Number of rows in the outbox at which they are moved without waiting for the list
/// period to end.
const EARLY_MOVE_ROWS: usize = 64;
/// Minimum time between two regular probes of a VM, in list periods.
const SWEEP_PERIODS: u32 = 6;
/// Minimum time between two reads of the ledgers if this controller has not written
/// any, in list periods.
const LEDGER_REFRESH_PERIODS: u32 = 2;
/// Maximum number of VMs that a round probes for the regular sweep.
const MAX_SWEEP_PROBES: usize = 32;
/// Age at which the roster of a data centre counts as stale, in times to live of the
/// lease.
const STALE_ROSTER_TTLS: u64 = 3;

/// Settings, client and channels that the rounds of a term use.
pub(super) struct TermContext<'a> {
    pub settings: &'a DaemonSettings,
    pub client: &'a PlatformClient,
    pub lease: &'a LeaseView,
    pub records: &'a RecordSender,
}

/// A term of the controller, from the claim of the fleet record until the lease is
/// lost.
pub(super) struct TermState {
    pub lease_id: String,
    /// Random number by which this term has claimed the fleet record.
    nonce: u64,
    stored: StoredRecord,
    ledgers: StoredLedgers,
    state: ControllerState,
    listed: BTreeMap<VmName, ListedVm>,
    roster: EntryRoster,
    /// VMs of the data centres that no longer refresh their roster.
    stale_dcs: BTreeMap<DcName, BTreeSet<VmName>>,
    /// Home pool of each VM, with the version of the configuration that it is from.
    home_pools: (u64, BTreeMap<VmName, PoolName>),
    /// Sequence of the last audit row that has been moved to a segment.
    moved_sequence: u64,
    record_stale: bool,
    ledgers_stale: bool,
    ledgers_read_at: Option<Instant>,
    lists_read_at: Option<Instant>,
    rows_moved_at: Option<Instant>,
    probed_at: BTreeMap<VmName, Instant>,
    polled_at: BTreeMap<OperationId, Instant>,
}

impl TermState {
    /// Claims the fleet record for a new term. This comes before any other action of
    /// the term.
    ///
    /// The claim changes the revision of the record, so that late writes of former
    /// controllers fail. The lease must still be held once the record has been read: a
    /// successor claims the record after that, and so makes the write fail.
    pub async fn claim(context: &TermContext<'_>, lease: &HeldLease) -> Result<Self, FleetError> {
        let dc = &context.settings.dc;
        let before = store::read_record(context.client, dc).await?;
        let mut record = before.record;
        record.epoch += 1;
        record.sequence += 1;
        record.nonce = rand::random();
        check_lease(context, &lease.id, record.epoch)?;
        store::write_record(context.client, dc, before.revision, &record).await?;
        // This read also shows whether a write of unknown result took effect.
        let stored = store::read_record(context.client, dc).await?;
        snafu::ensure!(
            stored.record.nonce == record.nonce && stored.record.epoch == record.epoch,
            NotControllerSnafu {
                epoch: record.epoch
            }
        );
        log::info!(event = "controller_claimed", epoch = record.epoch; "");
        apply_record(context.records, Arc::new(stored.record.clone()));
        Ok(Self {
            lease_id: lease.id.clone(),
            nonce: record.nonce,
            stored,
            ledgers: StoredLedgers::default(),
            state: ControllerState::default(),
            listed: BTreeMap::new(),
            roster: EntryRoster::default(),
            stale_dcs: BTreeMap::new(),
            home_pools: (0, BTreeMap::new()),
            moved_sequence: 0,
            record_stale: false,
            ledgers_stale: true,
            ledgers_read_at: None,
            lists_read_at: None,
            rows_moved_at: None,
            probed_at: BTreeMap::new(),
            polled_at: BTreeMap::new(),
        })
    }

    /// Returns the epoch of the term, which is its fencing token.
    pub fn epoch(&self) -> u64 {
        self.stored.record.epoch
    }

    /// Runs one round. Returns whether anything was written.
    pub async fn run_round(
        &mut self,
        context: &TermContext<'_>,
        config: &VersionedConfig,
        mut acks: BTreeMap<EntryName, EntryAck>,
    ) -> Result<bool, FleetError> {
        self.refresh_record(context).await?;
        self.refresh_lists(context).await?;
        self.move_audit(context).await?;
        for entry in self.roster.entries.keys() {
            // A member of the roster without an acknowledgement counts as
            // unresponsive, and so blocks drains.
            acks.entry(entry.clone()).or_default();
        }
        self.refresh_ledgers(context, config, &acks).await?;
        self.probe(context, config, &acks).await;
        let actions = self.with_view(context, config, &acks, ControllerState::step);
        self.execute(context, actions).await
    }

    /// Returns the drains and postponed stops of the term.
    pub fn report(
        &mut self,
        context: &TermContext<'_>,
        config: &VersionedConfig,
        acks: &BTreeMap<EntryName, EntryAck>,
    ) -> ControllerReport {
        self.with_view(context, config, acks, |state, view| {
            let postponed = state.postponed().iter();
            ControllerReport {
                draining: state.drain_blockers(view),
                postponed: postponed
                    .map(|(vm, stop)| (vm.clone(), stop.entries.clone()))
                    .collect(),
            }
        })
    }

    /// Calls `decide` with a view of everything that was last read.
    fn with_view<T>(
        &mut self,
        context: &TermContext<'_>,
        config: &VersionedConfig,
        acks: &BTreeMap<EntryName, EntryAck>,
        decide: impl FnOnce(&mut ControllerState, &StepView<'_>) -> T,
    ) -> T {
        if self.home_pools.0 != config.version {
            self.home_pools = (config.version, home_pools_of(&config.config));
        }
        let stale_dc_vms = self.stale_dcs.values().flatten().cloned().collect();
        let view = StepView {
            dc: &context.settings.dc,
            author: &context.settings.name,
            config: &config.config,
            config_version: config.version,
            home_pools: &self.home_pools.1,
            fleet: &self.stored.record,
            ledgers: &self.ledgers.ledgers,
            listed: &self.listed,
            acks,
            stale_dc_vms: &stale_dc_vms,
            moved_sequence: self.moved_sequence,
            now_ms: unix_ms(),
        };
        decide(&mut self.state, &view)
    }

    /// Reads the fleet record again after a write, and puts it in force. Returns an
    /// error if another controller has claimed it.
    async fn refresh_record(&mut self, context: &TermContext<'_>) -> Result<(), FleetError> {
        if !self.record_stale {
            return Ok(());
        }
        // A different nonce means that another controller has claimed the record.
        let epoch = self.epoch();
        let stored = store::read_record(context.client, &context.settings.dc).await?;
        let own = stored.record.nonce == self.nonce;
        snafu::ensure!(own, NotControllerSnafu { epoch });
        apply_record(context.records, Arc::new(stored.record.clone()));
        self.stored = stored;
        self.record_stale = false;
        Ok(())
    }

    /// Reads the platform's list of VMs and the rosters once per list period.
    async fn refresh_lists(&mut self, context: &TermContext<'_>) -> Result<(), FleetError> {
        let period = context.settings.control.list;
        if self.lists_read_at.is_some_and(|at| at.elapsed() < period) {
            return Ok(());
        }
        let listed = context.client.list_vms(&context.settings.dc).await;
        let listed = listed.context(PlatformSnafu)?.into_iter();
        self.listed = listed.map(|vm| (vm.name.clone(), vm)).collect();
        self.state
            .handle_vm_list(&self.stored.record.vms, &self.listed);
        let mut rosters = store::read_rosters(context.client).await?;
        self.roster = rosters.remove(&context.settings.dc).unwrap_or_default();
        self.refresh_stale_dcs(context, &rosters).await?;
        self.lists_read_at = Some(Instant::now());
        Ok(())
    }

    /// Finds the data centres whose roster is stale, and reads their VMs once.
    async fn refresh_stale_dcs(
        &mut self,
        context: &TermContext<'_>,
        rosters: &BTreeMap<DcName, EntryRoster>,
    ) -> Result<(), FleetError> {
        let limit_ms = context.settings.control.lease_ttl.as_millis() as u64 * STALE_ROSTER_TTLS;
        let oldest_ms = unix_ms().saturating_sub(limit_ms);
        let stale = rosters
            .iter()
            .filter(|(_, roster)| roster.refreshed_ms < oldest_ms);
        let stale: BTreeSet<_> = stale.map(|(dc, _)| dc).collect();
        self.stale_dcs.retain(|dc, _| stale.contains(dc));
        for dc in stale {
            if !self.stale_dcs.contains_key(dc) {
                log::warn!(event = "dc_roster_stale", dc:% = dc; "");
                let vms = store::read_vms(context.client, dc).await?;
                self.stale_dcs.insert(dc.clone(), vms);
            }
        }
        Ok(())
    }

    /// Reads the ledgers again after a write; otherwise once every
    /// [`LEDGER_REFRESH_PERIODS`] list periods while a VM is due for a planned outage.
    async fn refresh_ledgers(
        &mut self,
        context: &TermContext<'_>,
        config: &VersionedConfig,
        acks: &BTreeMap<EntryName, EntryAck>,
    ) -> Result<(), FleetError> {
        let needs_ledgers =
            |state: &mut ControllerState, view: &StepView<'_>| state.needs_fresh_ledgers(view);
        let period = context.settings.control.list * LEDGER_REFRESH_PERIODS;
        let recent = self.ledgers_read_at.is_some_and(|at| at.elapsed() < period);
        // Decisions on outdated ledgers are safe, because a write to a ledger that has
        // changed since it was read fails.
        if self.ledgers_stale || !recent && self.with_view(context, config, acks, needs_ledgers) {
            self.ledgers = store::read_ledgers(context.client).await?;
            self.ledgers_stale = false;
            self.ledgers_read_at = Some(Instant::now());
            // If the record still belongs to this term after the ledgers were read,
            // they contain no rows of a successor.
            self.record_stale = true;
            self.refresh_record(context).await?;
        }
        Ok(())
    }

    /// Moves audit rows from the outbox to segments once per list period, or sooner if
    /// there are many.
    async fn move_audit(&mut self, context: &TermContext<'_>) -> Result<(), FleetError> {
        let rows = &mut self.stored.record.outbox.rows;
        let period = context.settings.control.list;
        let recent = self.rows_moved_at.is_some_and(|at| at.elapsed() < period);
        let last = rows.back().map_or(0, |row| row.sequence);
        if last <= self.moved_sequence || recent && rows.len() < EARLY_MOVE_ROWS {
            return Ok(());
        }
        let rows = rows.make_contiguous();
        let moved = audit::move_rows(context.client, &context.settings.dc, rows).await;
        self.moved_sequence = moved.context(AuditSnafu)?;
        self.rows_moved_at = Some(Instant::now());
        Ok(())
    }

    /// Probes the VMs that are suspected of a failure, and some of the VMs in use that were
    /// not probed for [`SWEEP_PERIODS`] list periods.
    async fn probe(
        &mut self,
        context: &TermContext<'_>,
        config: &VersionedConfig,
        acks: &BTreeMap<EntryName, EntryAck>,
    ) {
        let now = Instant::now();
        let control = &context.settings.control;
        let sweep = control.list * SWEEP_PERIODS;
        let is_due = |vm: &VmName, period: Duration| {
            let at = self.probed_at.get(vm);
            at.is_none_or(|at| now.duration_since(*at) >= period)
        };
        let vms = self.stored.record.vms.iter();
        let in_use = vms.filter(|(vm, record)| {
            let used = matches!(record.state, VmState::Serving | VmState::Draining(_));
            used && is_due(vm, sweep)
        });
        let mut chosen: BTreeSet<_> = in_use
            .take(MAX_SWEEP_PROBES)
            .map(|(vm, _)| vm.clone())
            .collect();
        let suspects = self.with_view(context, config, acks, |state, view| state.suspects(view));
        let at_of = |vm: &VmName| self.probed_at.get(vm);
        chosen.extend(
            suspects
                .into_iter()
                .filter(|vm| at_of(vm).is_none_or(|at| now.duration_since(*at) >= control.sync)),
        );
        let vms = &self.stored.record.vms;
        let targets = chosen
            .iter()
            .filter_map(|vm| Some((vm.clone(), vms.get(vm)?.address)));
        let limit = context.settings.limits.connect_limit;
        for (vm, answered) in operations::probe_all(targets.collect(), limit).await {
            self.state.handle_probe_result(&vm, answered);
            self.probed_at.insert(vm, now);
        }
        self.probed_at.retain(|vm, _| vms.contains_key(vm));
    }

    /// Executes actions in order. Returns whether any of them was a write.
    async fn execute(
        &mut self,
        context: &TermContext<'_>,
        actions: Vec<ControllerAction>,
    ) -> Result<bool, FleetError> {
        let mut wrote = false;
        for action in actions {
            check_lease(context, &self.lease_id, self.epoch())?;
            match action {
                ControllerAction::WriteLedger { pool, ledger } => {
                    self.ledgers_stale = true;
                    let write = store::write_ledger(context.client, &self.ledgers, &pool, &ledger);
                    self.state.handle_ledger_write(&pool, write.await?);
                    wrote = true;
                }
                ControllerAction::WriteFleet(record) => {
                    self.record_stale = true;
                    let (dc, revision) = (&context.settings.dc, self.stored.revision);
                    store::write_record(context.client, dc, revision, &record).await?;
                    wrote = true;
                }
                ControllerAction::Operate {
                    vm,
                    operation,
                    kind,
                } => self.operate(context, &vm, &operation, kind).await?,
            }
        }
        Ok(wrote)
    }

    /// Starts an operation or queries its state, at most once per list period.
    async fn operate(
        &mut self,
        context: &TermContext<'_>,
        vm: &VmName,
        operation: &OperationId,
        kind: OperationKind,
    ) -> Result<(), FleetError> {
        let period = context.settings.control.list;
        let polled = self.polled_at.get(operation);
        if polled.is_some_and(|at| at.elapsed() < period) {
            return Ok(());
        }
        let state = operations::operate(context.client, vm, operation, kind).await;
        if let Some(state) = state.context(PlatformSnafu)? {
            self.state.handle_operation_state(operation, state);
        }
        self.polled_at
            .retain(|_, at| at.elapsed() < period * SWEEP_PERIODS);
        self.polled_at.insert(operation.clone(), Instant::now());
        Ok(())
    }
}

/// Returns an error if the lease of a term may have expired, by the clock of this process.
fn check_lease(context: &TermContext<'_>, id: &str, epoch: u64) -> Result<(), FleetError> {
    let lease = context.lease.borrow();
    let now = Instant::now();
    let held = lease
        .as_ref()
        .is_some_and(|lease| lease.id == id && now < lease.expires_at);
    snafu::ensure!(held, NotControllerSnafu { epoch });
    Ok(())
}
