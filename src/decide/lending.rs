//! Lending of spare VMs to pools that are short, and their return.
//!
//! A move costs a drain, so a burst of seconds must not cause one. Each pool
//! keeps an account of the VM-seconds that it was short; time with VMs to spare
//! pays it back. Spare VMs are lent once the account has reached the cost of
//! a move, which is the most that waiting can have cost. Returns follow the same
//! rule with the VM-seconds that lent VMs stood idle.
//!
//! A VM stays in its data centre, and every move takes a row of the pool that
//! the VM leaves, so no more VMs move at once than the budgets leave free.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::config::FleetConfig;
use crate::config::MeasureWeights;
use crate::fleet::FleetRecord;
use crate::fleet::PoolLedger;
use crate::names::PoolName;
use crate::names::VmName;

/// Longest time between two steps that is accounted for.
const MAX_STEP: Duration = Duration::from_secs(10);
/// Cost of a move with equal weights, in VM-seconds that a pool is short.
const MOVE_COST_S: f64 = 300.0;
/// Limits of the factor by which weights change the cost of a move.
const MIN_COST_FACTOR: f64 = 0.5;
const MAX_COST_FACTOR: f64 = 4.0;

/// What lending weighs.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct LendingRules {
    /// Cost of one move, in VM-seconds that a pool is short.
    pub move_cost_s: f64,
    /// Cost of a lent VM that stands idle, relative to a VM that is missing.
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

/// What the lending of one data centre sees.
#[derive(Clone, Copy, Debug)]
pub struct LendingView<'a> {
    /// Configuration in force.
    pub config: &'a FleetConfig,
    /// VMs of this data centre.
    pub fleet: &'a FleetRecord,
    /// Ledgers of all pools, over all data centres.
    pub ledgers: &'a BTreeMap<PoolName, PoolLedger>,
    /// VMs that each pool's load would keep busy here.
    pub demand: &'a BTreeMap<PoolName, f64>,
    /// Time since the start of the process.
    pub now: Duration,
}

/// A VM that is to change pool.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LendingMove {
    /// The VM.
    pub vm: VmName,
    /// Pool that it is to join.
    pub to: PoolName,
}

/// Accounts of one pool.
#[derive(Clone, Copy, Debug, Default)]
struct PoolAccount {
    /// VM-seconds that it was short, less those that it had to spare.
    short_s: f64,
    /// Time over which it was short.
    short_time: f64,
    /// VM-seconds that lent VMs stood idle, less those that it was short.
    idle_s: f64,
}

/// VMs of one pool in this data centre.
#[derive(Default)]
struct PoolVms<'a> {
    serving: usize,
    /// Serving VMs of the spare pool.
    lent: Vec<&'a VmName>,
    /// VMs that drain on their way out of the pool.
    leaving: usize,
}

/// Accounts of all pools of one data centre.
#[derive(Clone, Debug, Default)]
pub struct LendingState {
    accounts: BTreeMap<PoolName, PoolAccount>,
    stepped: Option<Duration>,
}

impl LendingState {
    /// Accounts for the time since the last step and returns the moves to make.
    pub fn step(&mut self, view: &LendingView<'_>, rules: &LendingRules) -> Vec<LendingMove> {
        let Some(spare) = &view.config.spare_pool else {
            return Vec::new();
        };
        let last = self.stepped.replace(view.now).unwrap_or(view.now);
        let step = view.now.saturating_sub(last).min(MAX_STEP).as_secs_f64();
        let vms = pool_vms(view, spare);
        let none = PoolVms::default();
        let mut free = free_spares(view, spare, vms.get(spare).unwrap_or(&none));
        self.account(view, spare, &vms, step);
        let mut moves = Vec::new();
        let mut starved = false;
        for (pool, wanted) in self.wanted(rules) {
            for _ in 0..wanted {
                let Some(vm) = free.pop() else {
                    starved = true;
                    break;
                };
                self.settle_short(&pool, rules);
                let to = pool.clone();
                moves.push(LendingMove { vm, to });
            }
        }
        moves.extend(self.returns(view, spare, &vms, rules, starved));
        moves
    }

    fn account(
        &mut self,
        view: &LendingView<'_>,
        spare: &PoolName,
        vms: &BTreeMap<&PoolName, PoolVms<'_>>,
        step: f64,
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
                // What the spare pool cannot give is no reason for a move.
                account.short_s += gap.min(spares.max(1.0)) * step;
                account.short_time += step;
                account.idle_s = (account.idle_s - gap * step).max(0.0);
            } else {
                account.short_s = (account.short_s + gap * step).max(0.0);
                let idle = (-gap).floor().min(vms.lent.len() as f64);
                account.idle_s = if idle > 0.0 {
                    account.idle_s + idle * step
                } else {
                    0.0
                };
            }
            if account.short_s <= 0.0 {
                account.short_time = 0.0;
            }
        }
    }

    /// Returns the pools that are due for spare VMs, the shortest first.
    fn wanted(&self, rules: &LendingRules) -> Vec<(PoolName, usize)> {
        let due = self.accounts.iter();
        let due = due.filter(|(_, account)| account.short_s >= rules.move_cost_s);
        let mut due: Vec<_> = due.collect();
        due.sort_by(|(_, a), (_, b)| b.short_s.total_cmp(&a.short_s));
        let wanted = due.into_iter().map(|(pool, account)| {
            let mean = account.short_s / account.short_time.max(1.0);
            (pool.clone(), mean.ceil().max(1.0) as usize)
        });
        wanted.collect()
    }

    fn settle_short(&mut self, pool: &PoolName, rules: &LendingRules) {
        if let Some(account) = self.accounts.get_mut(pool) {
            account.short_s = (account.short_s - rules.move_cost_s).max(0.0);
            account.short_time = 0.0;
        }
    }

    /// Returns lent VMs that stood idle for long, or at all if a pool is starved.
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
            let cost = account.idle_s * rules.idle_cost;
            let due = cost >= rules.move_cost_s || starved && account.idle_s >= rules.move_cost_s;
            let demand = view.demand.get(*pool).copied().unwrap_or(0.0);
            let idle = (vms.serving as f64 - demand).floor().max(0.0) as usize;
            let count = idle.min(free_budget(view, pool, vms));
            if due && count > 0 {
                account.idle_s = 0.0;
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
    let homes = view.config.pools.get(spare).map(|pool| &pool.vms);
    let mut pools: BTreeMap<_, PoolVms<'a>> = BTreeMap::new();
    for (name, vm) in &view.fleet.vms {
        let pool = pools.entry(&vm.pool).or_default();
        if !vm.state.takes_work() {
            pool.leaving += 1;
            continue;
        }
        pool.serving += 1;
        if vm.pool != *spare && homes.is_some_and(|homes| homes.contains(name)) {
            pool.lent.push(name);
        }
    }
    pools
}

/// Returns how many VMs may still leave a pool.
fn free_budget(view: &LendingView<'_>, pool: &PoolName, vms: &PoolVms<'_>) -> usize {
    let budget = view.config.pools.get(pool).map_or(0, |pool| pool.budget);
    let rows = view.ledgers.get(pool).map_or(0, |ledger| ledger.rows.len());
    // A VM that drains may be counted twice, which is on the safe side.
    (budget as usize).saturating_sub(rows + vms.leaving)
}

/// Returns the spare VMs that may leave now, the last name first.
fn free_spares(view: &LendingView<'_>, spare: &PoolName, vms: &PoolVms<'_>) -> Vec<VmName> {
    let demand = view.demand.get(spare).copied().unwrap_or(0.0);
    let idle = (vms.serving as f64 - demand).floor().max(0.0) as usize;
    let count = idle.min(free_budget(view, spare, vms));
    let serving = view.fleet.vms.iter();
    let serving = serving.filter(|(_, vm)| vm.pool == *spare && vm.state.takes_work());
    serving.map(|(name, _)| name.clone()).take(count).collect()
}
