//! Lending of spare VMs to pools with a shortage, and their return.
//!
//! Each move requires a drain, so a burst of a few seconds must not cause one. For
//! each pool the shortage is accumulated in VM-seconds; time with a surplus reduces
//! it again. Spare VMs are lent once the accumulated shortage reaches the cost of a
//! move, so the shortage until then costs at most one move. Returns follow the
//! same rule with the VM-seconds for which lent VMs were idle.
//!
//! A VM stays in its data centre. Each move adds a row to the ledger of the pool that
//! the VM leaves, so the pools' budgets limit how many VMs move at once.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::config::FleetConfig;
use crate::config::MeasureWeights;
use crate::fleet::FleetRecord;
use crate::fleet::PoolLedger;
use crate::names::PoolName;
use crate::names::VmName;

/// Maximum time between two steps that is accounted for; the rest is ignored.
const MAX_STEP: Duration = Duration::from_secs(10);
/// Cost of a move if its weight equals that of the buffer, in VM-seconds of shortage.
const MOVE_COST_S: f64 = 300.0;
/// Minimum factor that the weights apply to the cost of a move.
const MIN_COST_FACTOR: f64 = 0.5;
/// Maximum factor that the weights apply to the cost of a move.
const MAX_COST_FACTOR: f64 = 4.0;

/// Costs that lending weighs against each other.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct LendingRules {
    /// Cost of one move, in VM-seconds of shortage.
    pub move_cost_s: f64,
    /// Cost of an idle lent VM, as a fraction of the cost of a missing VM.
    pub idle_cost: f64,
}

impl Default for LendingRules {
    fn default() -> Self {
        Self {
            move_cost_s: MOVE_COST_S,
            idle_cost: 0.2,
        }
    }
}

impl From<MeasureWeights> for LendingRules {
    fn from(weights: MeasureWeights) -> Self {
        let factor = weights.moves / weights.buffer.max(f64::MIN_POSITIVE);
        Self {
            move_cost_s: MOVE_COST_S * factor.clamp(MIN_COST_FACTOR, MAX_COST_FACTOR),
            ..Self::default()
        }
    }
}

/// Input of a lending step in one data centre.
#[derive(Clone, Copy, Debug)]
pub struct LendingView<'a> {
    /// Configuration in force.
    pub config: &'a FleetConfig,
    /// VMs of this data centre.
    pub fleet: &'a FleetRecord,
    /// Ledgers of all pools, over all data centres.
    pub ledgers: &'a BTreeMap<PoolName, PoolLedger>,
    /// Number of VMs that each pool's load would keep busy in this data centre.
    pub demand: &'a BTreeMap<PoolName, f64>,
    /// Time since the start of the process.
    pub now: Duration,
}

/// A move of a VM to another pool, to be made by the caller.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LendingMove {
    /// VM to drain and move.
    pub vm: VmName,
    /// Pool that it joins after the drain.
    pub to: PoolName,
}

/// Accumulated shortage and idle time of one pool.
#[derive(Clone, Copy, Debug, Default)]
struct PoolAccount {
    /// Shortage minus surplus, in VM-seconds; never negative.
    shortage_vm_s: f64,
    /// Time with a shortage, in seconds, since `shortage_vm_s` was last 0 or charged.
    shortage_s: f64,
    /// Idle time of lent VMs minus shortage, in VM-seconds; never negative.
    idle_vm_s: f64,
}

/// VMs of one pool in this data centre.
#[derive(Default)]
struct PoolVms<'a> {
    serving: usize,
    /// Serving VMs that belong to the spare pool by configuration.
    lent: Vec<&'a VmName>,
    /// VMs that are draining, stopped, failed or held.
    not_serving: usize,
}

/// Accounts of all pools of one data centre.
#[derive(Clone, Debug, Default)]
pub struct LendingState {
    accounts: BTreeMap<PoolName, PoolAccount>,
    last_step: Option<Duration>,
}

impl LendingState {
    /// Accounts for the time since the previous step and returns the moves to make.
    ///
    /// Without a spare pool in the configuration there are none.
    pub fn step(&mut self, view: &LendingView<'_>, rules: &LendingRules) -> Vec<LendingMove> {
        let Some(spare) = &view.config.spare_pool else {
            return Vec::new();
        };
        let last = self.last_step.replace(view.now).unwrap_or(view.now);
        let step_s = view.now.saturating_sub(last).min(MAX_STEP).as_secs_f64();
        let vms = pool_vms(view, spare);
        let none = PoolVms::default();
        let mut free = available_spares(view, spare, vms.get(spare).unwrap_or(&none));
        self.update_accounts(view, spare, &vms, step_s);
        let mut moves = Vec::new();
        let mut starved = false;
        for (pool, wanted) in self.pools_to_lend(rules) {
            for _ in 0..wanted {
                let Some(vm) = free.pop() else {
                    starved = true;
                    break;
                };
                self.charge_move(&pool, rules);
                let to = pool.clone();
                moves.push(LendingMove { vm, to });
            }
        }
        moves.extend(self.returns(view, spare, &vms, rules, starved));
        moves
    }

    /// Adds `step_s` seconds of the view's shortage or surplus to all accounts.
    fn update_accounts(
        &mut self,
        view: &LendingView<'_>,
        spare: &PoolName,
        vms: &BTreeMap<&PoolName, PoolVms<'_>>,
        step_s: f64,
    ) {
        let spares = vms.get(spare).map_or(0, |pool| pool.serving) as f64;
        self.accounts
            .retain(|pool, _| view.config.pools.contains_key(pool));
        for (pool, vms) in vms {
            if *pool == spare {
                continue;
            }
            let account = self.accounts.entry((*pool).clone()).or_default();
            let demand = view.demand.get(*pool).copied().unwrap_or(0.0);
            let gap = demand - vms.serving as f64;
            if gap > 0.0 {
                // Shortage beyond the size of the spare pool does not count: no move can
                // cover it.
                account.shortage_vm_s += gap.min(spares.max(1.0)) * step_s;
                account.shortage_s += step_s;
                account.idle_vm_s = (account.idle_vm_s - gap * step_s).max(0.0);
            } else {
                account.shortage_vm_s = (account.shortage_vm_s + gap * step_s).max(0.0);
                let idle = (-gap).floor().min(vms.lent.len() as f64);
                account.idle_vm_s = if idle > 0.0 {
                    account.idle_vm_s + idle * step_s
                } else {
                    0.0
                };
            }
            if account.shortage_vm_s <= 0.0 {
                account.shortage_s = 0.0;
            }
        }
    }

    /// Returns the pools whose shortage has reached the cost of a move, the largest
    /// shortage first, each with the number of VMs to lend: its mean shortage.
    fn pools_to_lend(&self, rules: &LendingRules) -> Vec<(PoolName, usize)> {
        let due = self.accounts.iter();
        let due = due.filter(|(_, account)| account.shortage_vm_s >= rules.move_cost_s);
        let mut due: Vec<_> = due.collect();
        due.sort_by(|(_, a), (_, b)| b.shortage_vm_s.total_cmp(&a.shortage_vm_s));
        let wanted = due.into_iter().map(|(pool, account)| {
            let mean = account.shortage_vm_s / account.shortage_s.max(1.0);
            (pool.clone(), mean.ceil().max(1.0) as usize)
        });
        wanted.collect()
    }

    /// Reduces a pool's shortage by the cost of one move.
    fn charge_move(&mut self, pool: &PoolName, rules: &LendingRules) {
        if let Some(account) = self.accounts.get_mut(pool) {
            account.shortage_vm_s = (account.shortage_vm_s - rules.move_cost_s).max(0.0);
            account.shortage_s = 0.0;
        }
    }

    /// Returns moves of lent VMs back to the spare pool.
    ///
    /// They return once their weighted idle time has reached the cost of a move. If a
    /// pool could not be lent enough VMs (`starved`), the unweighted idle time counts.
    fn returns(
        &mut self,
        view: &LendingView<'_>,
        spare: &PoolName,
        vms: &BTreeMap<&PoolName, PoolVms<'_>>,
        rules: &LendingRules,
        starved: bool,
    ) -> Vec<LendingMove> {
        let mut moves = Vec::new();
        for (pool, vms) in vms {
            let Some(account) = self.accounts.get_mut(*pool) else {
                continue;
            };
            let cost = account.idle_vm_s * rules.idle_cost;
            let due =
                cost >= rules.move_cost_s || starved && account.idle_vm_s >= rules.move_cost_s;
            let demand = view.demand.get(*pool).copied().unwrap_or(0.0);
            let idle = (vms.serving as f64 - demand).floor().max(0.0) as usize;
            let count = idle.min(free_budget(view, pool, vms));
            if due && count > 0 {
                account.idle_vm_s = 0.0;
                let lent = vms.lent.iter().take(count);
                moves.extend(lent.map(|vm| LendingMove {
                    vm: (*vm).clone(),
                    to: spare.clone(),
                }));
            }
        }
        moves
    }
}

fn pool_vms<'a>(view: &LendingView<'a>, spare: &PoolName) -> BTreeMap<&'a PoolName, PoolVms<'a>> {
    let spare_vms = view.config.pools.get(spare).map(|pool| &pool.vms);
    let mut pools: BTreeMap<_, PoolVms<'a>> = BTreeMap::new();
    for (name, vm) in &view.fleet.vms {
        let pool = pools.entry(&vm.pool).or_default();
        if !vm.state.is_serving() {
            pool.not_serving += 1;
            continue;
        }
        pool.serving += 1;
        if vm.pool != *spare && spare_vms.is_some_and(|vms| vms.contains(name)) {
            pool.lent.push(name);
        }
    }
    pools
}

/// Returns how many VMs may leave a pool now without exceeding its budget.
fn free_budget(view: &LendingView<'_>, pool: &PoolName, vms: &PoolVms<'_>) -> usize {
    let budget = view.config.pools.get(pool).map_or(0, |pool| pool.budget);
    let rows = view.ledgers.get(pool).map_or(0, |ledger| ledger.rows.len());
    // A VM that is not serving and has a row is counted twice; that only allows fewer
    // moves.
    (budget as usize).saturating_sub(rows + vms.not_serving)
}

/// Returns the spare VMs that may be lent now; the caller takes the last one first.
fn available_spares(view: &LendingView<'_>, spare: &PoolName, vms: &PoolVms<'_>) -> Vec<VmName> {
    let demand = view.demand.get(spare).copied().unwrap_or(0.0);
    let idle = (vms.serving as f64 - demand).floor().max(0.0) as usize;
    let count = idle.min(free_budget(view, spare, vms));
    let serving = view.fleet.vms.iter();
    let serving = serving.filter(|(_, vm)| vm.pool == *spare && vm.state.is_serving());
    serving.map(|(name, _)| name.clone()).take(count).collect()
}
