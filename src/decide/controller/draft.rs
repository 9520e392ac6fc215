//! Draft of the next fleet record, with an audit row for each change.

use super::StepView;
use crate::audit::AuditRow;
use crate::fleet::DrainPurpose;
use crate::fleet::FleetRecord;
use crate::fleet::VmRecord;
use crate::fleet::VmState;
use crate::names::OperationId;
use crate::names::PoolName;
use crate::names::VmName;

/// Upper bound on the audit rows that are appended for one change of a VM.
const MAX_ROWS_PER_CHANGE: usize = 8;

/// A change of one VM.
#[derive(Clone, Debug)]
pub(super) struct VmChange {
    pub vm: VmName,
    /// The VM after the change; none if it is removed from the record.
    pub next: Option<VmRecord>,
    /// Operation that the change belongs to.
    pub operation: Option<OperationId>,
    /// Requests in progress on the VM, for a change that requires none.
    pub in_progress: Option<u32>,
    /// Reason, for the audit rows.
    pub text: String,
}

/// The next record, starting from the one that was read.
pub(super) struct RecordDraft<'a> {
    view: &'a StepView<'a>,
    pub record: FleetRecord,
    /// Whether the record differs from the one that was read.
    pub changed: bool,
}

impl<'a> RecordDraft<'a> {
    pub fn new(view: &'a StepView<'a>) -> Self {
        Self {
            view,
            record: view.fleet.clone(),
            changed: false,
        }
    }

    /// Returns the record if it differs from the one that was read.
    pub fn finish(mut self) -> Option<FleetRecord> {
        self.record.sequence += 1;
        self.changed.then_some(self.record)
    }

    /// Drops the audit rows up to sequence `moved`, which are stored in segments.
    pub fn drop_moved_rows(&mut self, moved: u64) {
        let rows = &mut self.record.outbox.rows;
        while rows.front().is_some_and(|row| row.sequence <= moved) {
            rows.pop_front();
            self.changed = true;
        }
    }

    /// Returns whether the outbox has space for the audit rows of another change.
    pub fn has_space(&self) -> bool {
        self.record.outbox.has_space(MAX_ROWS_PER_CHANGE)
    }

    /// Appends an audit row to the outbox, with this controller as its author.
    pub fn append_audit(
        &mut self,
        subject: String,
        action: &str,
        from: String,
        to: String,
        reason: String,
    ) {
        self.changed = true;
        self.record.outbox.append(AuditRow {
            time_ms: self.view.now_ms,
            author: self.view.author.to_string(),
            subject,
            action: action.to_owned(),
            from,
            to,
            reason,
            ..AuditRow::default()
        });
    }

    /// Applies a change and appends its audit rows.
    ///
    /// Returns false and changes nothing if the outbox lacks space for them; a later
    /// step then decides on the change again.
    pub fn apply(&mut self, change: &VmChange) -> bool {
        if !self.has_space() {
            return false;
        }
        let before = self.record.vms.remove(&change.vm);
        let after = change.next.as_ref();
        if let Some(after) = after {
            self.record.vms.insert(change.vm.clone(), after.clone());
        }
        self.audit_state(change, before.as_ref());
        self.audit_address(change, before.as_ref());
        self.audit_pool(change, before.as_ref());
        self.audit_maintained(change, before.as_ref());
        self.audit_ledger(change, before.as_ref());
        true
    }

    fn audit_state(&mut self, change: &VmChange, before: Option<&VmRecord>) {
        let name_of = |vm: Option<&VmRecord>| vm.map_or(String::new(), |vm| vm.state.to_string());
        let (from, to) = (name_of(before), name_of(change.next.as_ref()));
        if from == to {
            return;
        }
        let pool = change.next.as_ref().or(before).map(|vm| &vm.pool);
        let reason = reason_of(change, pool);
        self.append_audit(format!("vm/{}", change.vm), "state", from, to, reason);
    }

    fn audit_address(&mut self, change: &VmChange, before: Option<&VmRecord>) {
        let (Some(before), Some(after)) = (before, &change.next) else {
            return;
        };
        if before.address != after.address {
            let (from, to) = (before.address.to_string(), after.address.to_string());
            let reason = reason_of(change, Some(&after.pool));
            self.append_audit(format!("vm/{}", change.vm), "address", from, to, reason);
        }
    }

    fn audit_pool(&mut self, change: &VmChange, before: Option<&VmRecord>) {
        let (Some(before), Some(after)) = (before, &change.next) else {
            return;
        };
        if before.pool != after.pool {
            let (from, to) = (before.pool.to_string(), after.pool.to_string());
            let reason = reason_of(change, None);
            self.append_audit(format!("vm/{}", change.vm), "pool", from, to, reason);
        }
    }

    fn audit_maintained(&mut self, change: &VmChange, before: Option<&VmRecord>) {
        let (Some(before), Some(after)) = (before, &change.next) else {
            return;
        };
        if before.maintained_ms != after.maintained_ms {
            let from = before.maintained_ms.to_string();
            let to = after.maintained_ms.to_string();
            let reason = reason_of(change, Some(&after.pool));
            self.append_audit(format!("vm/{}", change.vm), "maintained", from, to, reason);
        }
    }

    fn audit_ledger(&mut self, change: &VmChange, before: Option<&VmRecord>) {
        let (old, new) = (ledger_entry(before), ledger_entry(change.next.as_ref()));
        if old == new {
            return;
        }
        let vm = change.vm.to_string();
        if let Some((pool, cause)) = old {
            let subject = format!("ledger/{pool}");
            self.append_audit(subject, "in", vm.clone(), String::new(), cause);
        }
        if let Some((pool, cause)) = new {
            let subject = format!("ledger/{pool}");
            self.append_audit(subject, "out", String::new(), vm, cause);
        }
    }
}

/// Returns the pool whose ledger has a row for a VM, if it is out of service.
///
/// A VM that drains to move to another pool has its row in the ledger of that pool.
pub(super) fn ledger_pool(vm: &VmRecord) -> Option<&PoolName> {
    match &vm.state {
        VmState::Serving => None,
        VmState::Draining(DrainPurpose::Move(pool)) => Some(pool),
        _ => Some(&vm.pool),
    }
}

/// Returns the pool and the cause of the ledger row that a VM should have.
fn ledger_entry(vm: Option<&VmRecord>) -> Option<(&PoolName, String)> {
    let vm = vm?;
    Some((ledger_pool(vm)?, cause_of(vm)))
}

fn cause_of(vm: &VmRecord) -> String {
    match &vm.state {
        VmState::Draining(DrainPurpose::Maintain(operation)) | VmState::Stopped(operation) => {
            format!("operation={operation}")
        }
        VmState::Draining(DrainPurpose::Move(_)) => "operation=move".to_owned(),
        VmState::Draining(DrainPurpose::Hold) | VmState::Held => "operation=hold".to_owned(),
        _ => "cause=failed".to_owned(),
    }
}

fn reason_of(change: &VmChange, pool: Option<&PoolName>) -> String {
    let pool = pool.map(|pool| format!("pool={pool}"));
    let operation = change.operation.as_ref();
    let operation = operation.map(|operation| format!("operation={operation}"));
    let progress = change.in_progress;
    let progress = progress.map(|count| format!("in_progress={count}"));
    let text = Some(&change.text).filter(|text| !text.is_empty());
    let text = text.map(|text| format!("text={text}"));
    let parts = [pool, operation, progress, text];
    let parts: Vec<_> = parts.into_iter().flatten().collect();
    parts.join(" ")
}
