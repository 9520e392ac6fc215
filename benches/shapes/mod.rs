//! Random fleet shapes of any size.

use rand::RngExt;
use rand::SeedableRng;
use rand::rngs::StdRng;

use crate::support::FleetShape;

/// Draws a fleet shape: pool sizes from a third to five thirds of the mean, budgets
/// of 4 to 12 % of the pool. The first pool takes the difference between the drawn
/// sizes and `workers`, which is also the seed.
pub fn random_shape(workers: usize, pools: usize, dcs: usize) -> FleetShape {
    let mut rng = StdRng::seed_from_u64(workers as u64);
    let mean_size = workers as f64 / pools as f64;
    let mut sizes: Vec<_> = (0..pools)
        .map(|_| (mean_size * rng.random_range(0.34..1.66)) as usize)
        .collect();
    let total: usize = sizes.iter().sum();
    sizes[0] = (sizes[0] + workers).saturating_sub(total).max(3);
    let pools = sizes.into_iter().map(|size| {
        let budget = (size as f64 * rng.random_range(0.04..0.12)).round() as u32;
        (size, budget.max(1))
    });
    FleetShape {
        dcs,
        pools: pools.collect(),
        seed: workers as u64,
    }
}
