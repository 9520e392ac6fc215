//! Synthetic fleets on which the decisions are measured.

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use chicorygauge::config::FleetConfig;
use chicorygauge::config::MeasureWeights;
use chicorygauge::config::PoolConfig;
use chicorygauge::config::WaveRequest;
use chicorygauge::config::wire::DEFAULT_QUEUE_LIMIT;
use chicorygauge::config::wire::DEFAULT_SLOTS;
use chicorygauge::fleet::FleetRecord;
use chicorygauge::fleet::VmRecord;
use chicorygauge::fleet::VmState;
use chicorygauge::names::PoolName;
use chicorygauge::names::VmName;
use rand::SeedableRng;
use rand::rngs::StdRng;
use rand::seq::SliceRandom;

const WORKERS_PER_RACK: usize = 4;
/// Maximum number of data centres over which a pool is spread.
const MAX_POOL_DCS: usize = 3;
/// Time at which waves start, in milliseconds since the Unix epoch.
pub const START_MS: u64 = 1_000_000_000;

/// Sizes from which a synthetic fleet is built.
#[derive(Clone, Debug)]
pub struct FleetShape {
    /// Number of data centres.
    pub dcs: usize,
    /// Number of workers and disruption budget of each pool.
    pub pools: Vec<(usize, u32)>,
    /// Seed of the order of the VMs in each data centre.
    pub seed: u64,
}

/// A configuration and the fleet record of each data centre.
#[derive(Clone, Debug, Default)]
pub struct SyntheticFleet {
    pub config: FleetConfig,
    pub dcs: Vec<FleetRecord>,
}

pub fn pool_name(pool: usize) -> PoolName {
    PoolName::new(&format!("pool-{pool:03}")).expect("name")
}

/// Builds a fleet of the given shape; the last pool is the spare pool. VMs are
/// shuffled within their data centre, so that a rack holds VMs of several pools.
pub fn make_fleet(shape: &FleetShape, weights: MeasureWeights) -> SyntheticFleet {
    let mut rng = StdRng::seed_from_u64(shape.seed);
    let mut pools_by_dc: Vec<Vec<usize>> = vec![Vec::new(); shape.dcs];
    let mut pools = BTreeMap::new();
    for (pool, (size, budget)) in shape.pools.iter().enumerate() {
        for vm in 0..*size {
            pools_by_dc[(pool + vm % MAX_POOL_DCS) % shape.dcs].push(pool);
        }
        let config = PoolConfig {
            budget: *budget,
            queue_limit: DEFAULT_QUEUE_LIMIT,
            slots: DEFAULT_SLOTS,
            ..PoolConfig::default()
        };
        pools.insert(pool_name(pool), config);
    }
    let mut dcs = Vec::new();
    for (dc, vms) in pools_by_dc.iter_mut().enumerate() {
        vms.shuffle(&mut rng);
        let mut record = FleetRecord::default();
        for (index, pool) in vms.iter().enumerate() {
            let name = VmName::new(&format!("vm-{dc:02}-{index:04}")).expect("name");
            let pool = pool_name(*pool);
            let config = pools.get_mut(&pool).expect("pool");
            config.vms.insert(name.clone());
            record.vms.insert(name, make_vm(pool, dc, index));
        }
        dcs.push(record);
    }
    let config = FleetConfig {
        spare_pool: Some(pool_name(shape.pools.len() - 1)),
        pools,
        weights,
        wave: Some(WaveRequest {
            id: "wave-1".to_owned(),
            pools: BTreeSet::new(),
            running: true,
            started_ms: START_MS,
        }),
        ..FleetConfig::default()
    };
    SyntheticFleet { config, dcs }
}

fn make_vm(pool: PoolName, dc: usize, index: usize) -> VmRecord {
    let host = index as u32 + 1;
    let address = 0x0a00_0000 + ((dc as u32) << 16) + host;
    VmRecord {
        pool,
        address: (address.to_be_bytes(), 8080).into(),
        rack: format!("rack-{:03}", index / WORKERS_PER_RACK)
            .parse()
            .expect("name"),
        state: VmState::Serving,
        since_ms: START_MS - 1,
        maintained_ms: 0,
    }
}
