//! Choice of the VMs that move to another pool.

use std::collections::BTreeMap;

use crate::jobs::lend::PoolDemand;
use crate::jobs::outlook::PoolOutlook;

/// Why a VM moves.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum MoveReason {
    /// Work has arrived or increases.
    Demand,
    /// A turn is expected.
    Turn,
    /// No pool uses the VM.
    Rest,
}

impl MoveReason {
    /// Returns the name in log lines.
    #[must_use]
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Demand => "demand",
            Self::Turn => "turn",
            Self::Rest => "rest",
        }
    }
}

/// A move of a VM to another pool.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PlannedMove {
    /// The VM.
    pub machine: String,
    /// The pool that gets it.
    pub pool: String,
    /// Why it moves.
    pub reason: MoveReason,
}

/// VMs that can be moved.
#[derive(Clone, Debug, Default)]
pub struct AvailableVms {
    /// VMs of the standby pool.
    pub standby: Vec<String>,
    /// Whether VMs leave the standby pool only if no pool has an idle one; otherwise VMs
    /// that have just been moved there would be fetched at once.
    pub standby_last: bool,
    /// Number of VMs that each pool has above its target.
    pub surpluses: BTreeMap<String, usize>,
    /// Number of VMs of each pool that serve now.
    pub serving: BTreeMap<String, usize>,
    /// Idle VMs of each pool with a surplus.
    pub idle: BTreeMap<String, Vec<String>>,
}

impl AvailableVms {
    /// Takes a VM for `pool`: one in standby, or an idle one of the pool with the largest
    /// surplus.
    fn take(&mut self, pool: &str) -> Option<String> {
        if self.standby_last {
            let surplus = take_surplus(pool, &mut self.surpluses, &mut self.idle);
            return surplus.or_else(|| self.standby.pop());
        }
        let standby = self.standby.pop();
        standby.or_else(|| take_surplus(pool, &mut self.surpluses, &mut self.idle))
    }
}

/// Chooses the VMs to be moved: first for work that has arrived, then for expected turns.
#[must_use]
pub fn choose_moves(
    demands: &BTreeMap<String, PoolDemand>,
    targets: &BTreeMap<String, usize>,
    outlooks: &BTreeMap<String, PoolOutlook>,
    mut available: AvailableVms,
) -> Vec<PlannedMove> {
    let mut shortages: Vec<(usize, String)> = Vec::new();
    for (pool, demand) in demands {
        let target = targets.get(pool).copied().unwrap_or(0);
        shortages.push((target.saturating_sub(demand.present), pool.clone()));
    }
    shortages.sort_by(|one, other| other.cmp(one));
    let mut moves: Vec<PlannedMove> = Vec::new();
    let mut expected: Vec<(usize, String)> = Vec::new();
    for (shortage, pool) in shortages {
        let demand = demands.get(&pool).copied().unwrap_or_default();
        let current = outlooks
            .get(&pool)
            .map_or(demand.wanted, |outlook| outlook.current.max(demand.min));
        let urgent = shortage.min(current.saturating_sub(demand.present));
        expected.push((shortage - urgent, pool.clone()));
        take_moves(
            &pool,
            urgent,
            MoveReason::Demand,
            &mut available,
            &mut moves,
        );
    }
    for (pool, surplus) in &mut available.surpluses {
        let demand = demands.get(pool).copied().unwrap_or_default();
        let target = targets.get(pool).copied().unwrap_or(0);
        let taken = demand.present.saturating_sub(target) - *surplus;
        let kept = outlooks.get(pool).map_or(0, |outlook| outlook.kept);
        // A VM that serves is not given away for one that is on its way.
        let serving = available.serving.get(pool).copied().unwrap_or(0);
        *surplus = (*surplus).min(serving.saturating_sub(kept + taken));
    }
    for (shortage, pool) in expected {
        take_moves(
            &pool,
            shortage,
            MoveReason::Turn,
            &mut available,
            &mut moves,
        );
    }
    moves
}

fn take_moves(
    pool: &str,
    count: usize,
    reason: MoveReason,
    available: &mut AvailableVms,
    moves: &mut Vec<PlannedMove>,
) {
    let machines = (0..count).map_while(|_| available.take(pool));
    moves.extend(machines.map(|machine| PlannedMove {
        machine,
        pool: pool.to_owned(),
        reason,
    }));
}

/// Takes an idle VM of the pool with the largest surplus; `pool` itself is excluded.
fn take_surplus(
    pool: &str,
    surpluses: &mut BTreeMap<String, usize>,
    idle: &mut BTreeMap<String, Vec<String>>,
) -> Option<String> {
    let others = surpluses
        .iter_mut()
        .filter(|(from, surplus)| *from != pool && **surplus > 0);
    let able = others.filter(|(from, _)| idle.get(*from).is_some_and(|vms| !vms.is_empty()));
    let (from, surplus) = able.max_by_key(|(_, surplus)| **surplus)?;
    *surplus -= 1;
    idle.get_mut(from)?.pop()
}
