//! Number of VMs that a maintenance wave takes out of service at once (the reserve).
//!
//! A larger reserve shortens the rollout, but the fleet has to hold back as much
//! spare capacity. A plan is computed for a number of rounds; a round is the time
//! that one stop takes. A pool that would use its limit in most of these rounds gets
//! that limit for itself. The other pools would leave theirs unused for much of the
//! wave, so they share a part of the reserve that is sized for their stops together.
//! The weights in the configuration determine the number of rounds. All controllers
//! compute the same plan, as it depends on the configuration alone.

use std::collections::BTreeMap;

use crate::config::FleetConfig;
use crate::config::MaintenanceWindow;
use crate::config::PoolConfig;
use crate::config::WaveRequest;
use crate::decide::planner::WEEK_MINUTES;
use crate::names::PoolName;

/// Minimum fraction of its limit that a pool uses, averaged over the wave, to get a
/// limit of its own.
const MIN_OWN_LIMIT_USE: f64 = 0.75;
/// Ratio between successive numbers of rounds that are compared.
const ROUNDS_RATIO: f64 = 1.05;

/// Limits on the VMs that a wave takes out of service at once.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct WavePlan<'a> {
    /// Planned duration of the wave, in multiples of the time that one stop takes.
    pub rounds: usize,
    /// Maximum number of VMs out of service by plan at once, over all pools.
    pub reserve: usize,
    /// Part of the reserve, in VMs, that pools without a limit of their own share.
    pub shared: usize,
    /// Pools whose VMs the wave maintains.
    pub pools: BTreeMap<&'a PoolName, PoolShare<'a>>,
}

/// A pool's share of the reserve of a wave.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct PoolShare<'a> {
    /// Configuration of the pool.
    pub config: &'a PoolConfig,
    /// Maximum number of its VMs out of service by plan at once, within its budget.
    pub limit: usize,
    /// Whether these VMs count against the shared part of the reserve.
    pub uses_shared: bool,
}

impl<'a> WavePlan<'a> {
    /// Computes the plan of a wave.
    ///
    /// Among the plans that end within the maintenance period it is the one with the
    /// smallest weighted sum of reserve and rounds, each relative to the plan in which
    /// every pool uses its whole budget.
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
            return Self::with_full_budgets(&pools, shortest);
        }
        let cost = |rounds: usize| {
            let (own, shared) = reserve_parts(&pools, rounds);
            weights.buffer * (own + shared) as f64 / budgets as f64
                + weights.rollout * rounds as f64 / shortest as f64
        };
        let longest = max_rounds(config, &pools).max(shortest);
        let next = |rounds: &usize| {
            let next = (*rounds as f64 * ROUNDS_RATIO) as usize;
            (*rounds < longest).then_some(next.max(rounds + 1).min(longest))
        };
        let rounds = std::iter::successors(Some(shortest), next);
        let costs = rounds.map(|rounds| (cost(rounds), rounds));
        let best = costs.min_by(|(a, _), (b, _)| a.total_cmp(b));
        Self::for_rounds(&pools, best.map_or(shortest, |(_, rounds)| rounds))
    }

    /// Returns the plan in which every pool has its whole budget as a limit of its own.
    fn with_full_budgets(pools: &[(&'a PoolName, &'a PoolConfig)], rounds: usize) -> Self {
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

    /// Returns the plan with the limits that a number of rounds needs.
    fn for_rounds(pools: &[(&'a PoolName, &'a PoolConfig)], rounds: usize) -> Self {
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
            uses_shared: (stops as f64) < MIN_OWN_LIMIT_USE * (limit * rounds) as f64,
        }
    }
}

/// Returns the sum of the pools' own limits and the size of the shared part.
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
    // The last stops start together and take one more round, so all stops have to start
    // within the rounds before it.
    let shared = sharing_stops.div_ceil(rounds.saturating_sub(1).max(1));
    (own, shared.min(sharing_limits))
}

/// Returns the number of rounds that a pool needs if it uses its whole budget.
fn pool_rounds(pool: &PoolConfig) -> usize {
    pool.vms.len().div_ceil(pool.budget.max(1) as usize)
}

/// Returns the number of rounds that fit into the maintenance period.
///
/// Each round is taken to last as long as the rules allow, and only the time in which
/// the maintenance windows of the most restricted pool are open counts.
fn max_rounds(config: &FleetConfig, pools: &[(&PoolName, &PoolConfig)]) -> usize {
    let rules = &config.maintenance;
    let open = pools.iter().map(|(_, pool)| open_fraction(&pool.windows));
    let open = open.fold(1.0, f64::min);
    let stop_s = rules.drain_limit_s + rules.return_limit_s;
    (rules.period_s as f64 * open / stop_s as f64) as usize
}

/// Returns the fraction of the week in which a window is open; the time in which
/// windows overlap counts once for each of them.
fn open_fraction(windows: &[MaintenanceWindow]) -> f64 {
    if windows.is_empty() {
        return 1.0;
    }
    let minutes = windows.iter();
    let minutes = minutes.map(|window| window.days.len() as u64 * u64::from(window.minutes));
    (minutes.sum::<u64>() as f64 / WEEK_MINUTES as f64).min(1.0)
}
