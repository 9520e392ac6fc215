//! How many VMs a maintenance wave takes out of service at once.
//!
//! More of them shorten the roll-out, and each of them is spare capacity that the
//! fleet has to hold back. A plan is made for a number of rounds, a round being
//! the time of one stop. A pool whose budget is well used in so many rounds has
//! a limit of its own; the others, which would leave theirs idle for much of the
//! wave, share what they need. The number of rounds follows from the weights.
//! All controllers derive the same plan from the configuration alone.

use std::collections::BTreeMap;

use crate::config::FleetConfig;
use crate::config::MaintenanceWindow;
use crate::config::PoolConfig;
use crate::config::WaveRequest;
use crate::decide::planner::WEEK_MINUTES;
use crate::names::PoolName;

/// Share of the rounds in which a pool's limit is used, from which it is its own.
const OWN_LIMIT_USE: f64 = 0.75;
/// Factor between the numbers of rounds that are compared.
const ROUNDS_STEP: f64 = 1.05;

/// Most VMs that a wave takes out of service at once.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct WavePlan<'a> {
    /// Time that the wave should take, in times of one stop.
    pub rounds: usize,
    /// VMs out of service at once, over all pools.
    pub reserve: usize,
    /// The part of the reserve that pools without a limit of their own share.
    pub shared: usize,
    /// Pools that the wave maintains.
    pub pools: BTreeMap<&'a PoolName, PoolShare<'a>>,
}

/// A pool's part in the reserve of a wave.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct PoolShare<'a> {
    /// The pool.
    pub config: &'a PoolConfig,
    /// Most of its VMs out of service by plan at once; at most its budget.
    pub limit: usize,
    /// Whether they count against the shared part of the reserve.
    pub uses_shared: bool,
}

impl<'a> WavePlan<'a> {
    /// Makes the plan of a wave.
    ///
    /// It has the least weighted sum of reserve and rounds, each relative to the
    /// wave that uses all budgets, among the plans that end within the
    /// maintenance period.
    #[must_use]
    pub fn new(config: &'a FleetConfig, wave: &'a WaveRequest) -> Self {
        let pools = config.pools.iter().filter(|(name, pool)| {
            pool.budget > 0 && (wave.pools.is_empty() || wave.pools.contains(*name))
        });
        let pools: Vec<_> = pools.collect();
        let budgets: usize = pools.iter().map(|(_, pool)| pool.budget as usize).sum();
        let shortest = pools.iter().map(|(_, pool)| pool_rounds(pool));
        let shortest = shortest.max().unwrap_or(0).max(1);
        let weights = config.weights;
        if weights.buffer <= 0.0 {
            return Self::whole_budgets(&pools, shortest);
        }
        let cost = |rounds: usize| {
            let (own, shared) = reserve_parts(&pools, rounds);
            weights.buffer * (own + shared) as f64 / budgets as f64
                + weights.rollout * rounds as f64 / shortest as f64
        };
        let longest = period_rounds(config, &pools).max(shortest);
        let next = |rounds: &usize| {
            let next = (*rounds as f64 * ROUNDS_STEP) as usize;
            (*rounds < longest).then_some(next.max(rounds + 1).min(longest))
        };
        let rounds = std::iter::successors(Some(shortest), next);
        let costs = rounds.map(|rounds| (cost(rounds), rounds));
        let best = costs.min_by(|(a, _), (b, _)| a.total_cmp(b));
        Self::in_rounds(&pools, best.map_or(shortest, |(_, rounds)| rounds))
    }

    fn whole_budgets(pools: &[(&'a PoolName, &'a PoolConfig)], rounds: usize) -> Self {
        let shares = pools.iter().map(|(name, config)| {
            let share = PoolShare {
                config,
                limit: config.budget as usize,
                uses_shared: false,
            };
            (*name, share)
        });
        let pools: BTreeMap<_, _> = shares.collect();
        Self {
            rounds,
            reserve: pools.values().map(|pool| pool.limit).sum(),
            shared: 0,
            pools,
        }
    }

    fn in_rounds(pools: &[(&'a PoolName, &'a PoolConfig)], rounds: usize) -> Self {
        let (own, shared) = reserve_parts(pools, rounds);
        let shares = pools.iter();
        let shares = shares.map(|(name, config)| (*name, PoolShare::new(config, rounds)));
        Self {
            rounds,
            reserve: own + shared,
            shared,
            pools: shares.collect(),
        }
    }
}

impl<'a> PoolShare<'a> {
    fn new(config: &'a PoolConfig, rounds: usize) -> Self {
        let stops = config.vms.len();
        let limit = stops.div_ceil(rounds).max(1);
        Self {
            config,
            limit,
            uses_shared: (stops as f64) < OWN_LIMIT_USE * (limit * rounds) as f64,
        }
    }
}

/// Returns the sum of the pools' own limits and what the other pools share.
fn reserve_parts(pools: &[(&PoolName, &PoolConfig)], rounds: usize) -> (usize, usize) {
    let mut own = 0;
    let mut sharing_stops = 0;
    let mut sharing_limits = 0;
    for (_, config) in pools {
        let share = PoolShare::new(config, rounds);
        if share.uses_shared {
            sharing_stops += config.vms.len();
            sharing_limits += share.limit;
        } else {
            own += share.limit;
        }
    }
    // The last stops begin together and end one round later.
    let shared = sharing_stops.div_ceil(rounds.saturating_sub(1).max(1));
    (own, shared.min(sharing_limits))
}

/// Rounds that a pool needs at its whole budget.
fn pool_rounds(pool: &PoolConfig) -> usize {
    pool.vms.len().div_ceil(pool.budget.max(1) as usize)
}

/// Rounds that fit into the maintenance period, each as long as the rules allow,
/// while the windows are open.
fn period_rounds(config: &FleetConfig, pools: &[(&PoolName, &PoolConfig)]) -> usize {
    let rules = &config.maintenance;
    let open = pools.iter().map(|(_, pool)| open_share(&pool.windows));
    let open = open.fold(1.0, f64::min);
    let stop_s = rules.drain_limit_s + rules.return_limit_s;
    (rules.period_s as f64 * open / stop_s as f64) as usize
}

/// Share of the week in which some window is open, overlaps counted twice.
fn open_share(windows: &[MaintenanceWindow]) -> f64 {
    if windows.is_empty() {
        return 1.0;
    }
    let minutes = windows.iter();
    let minutes = minutes.map(|window| window.days.len() as u64 * u64::from(window.minutes));
    (minutes.sum::<u64>() as f64 / WEEK_MINUTES as f64).min(1.0)
}
