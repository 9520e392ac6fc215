//! Validation of a whole configuration before it is accepted.
//!
//! All faults are collected, so that an operator can fix them at once.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::fmt;
use std::str::FromStr;

use crate::config::FleetConfig;
use crate::config::JobConfig;
use crate::config::MaintenanceRules;
use crate::config::MaintenanceWindow;
use crate::config::MeasureWeights;
use crate::config::PoolConfig;
use crate::config::ResourceAmount;
use crate::config::TeamQuota;
use crate::config::WaveRequest;
use crate::config::wire::ConfigWire;
use crate::config::wire::JobWire;
use crate::config::wire::MaintenanceWire;
use crate::config::wire::PoolWire;
use crate::config::wire::ResourceWire;
use crate::config::wire::WaveWire;
use crate::config::wire::WeightsWire;
use crate::config::wire::WindowWire;
use crate::names::VmName;
use crate::names::is_valid;

/// Maximum number of pools in a configuration.
pub const MAX_POOLS: usize = 1024;
/// Maximum number of VMs in a configuration.
pub const MAX_VMS: usize = 20_000;
/// Maximum number of slots of one VM.
pub const MAX_SLOTS: u32 = 4096;
/// Maximum queue limit of a pool, in requests at one entry VM.
pub const MAX_QUEUE_LIMIT: u32 = 65_536;
/// Maximum number of maintenance windows of one pool.
pub const MAX_WINDOWS: usize = 64;
/// Maximum number of jobs of one pool.
pub const MAX_JOBS: usize = 1024;
/// Maximum length of the reason of a drain, in bytes.
pub const MAX_DRAIN_REASON_BYTES: usize = 2048;
/// Maximum length of the path and of the problem of a fault, in characters.
const MAX_FAULT_CHARS: usize = 256;
const DAY_MINUTES: u16 = 24 * 60;

/// One reason why a configuration is not accepted.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ConfigFault {
    /// Path in the document, such as `pools.billing.budget`.
    pub path: String,
    /// What is wrong and what is accepted.
    pub problem: String,
}

impl fmt::Display for ConfigFault {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}: {}", self.path, self.problem)
    }
}

/// The faults found so far while a document is validated.
#[derive(Default)]
struct FaultList {
    faults: Vec<ConfigFault>,
}

impl FaultList {
    fn add(&mut self, path: impl Into<String>, problem: impl fmt::Display) {
        let shorten = |text: String| text.chars().take(MAX_FAULT_CHARS).collect();
        self.faults.push(ConfigFault {
            path: shorten(path.into()),
            problem: shorten(problem.to_string()),
        });
    }

    /// Adds a fault unless the value at `path` is accepted.
    fn check(&mut self, accepted: bool, path: impl Into<String>, problem: impl fmt::Display) {
        if !accepted {
            self.add(path, problem);
        }
    }

    /// Parses the text at `path`; adds a fault and returns `None` if it is invalid.
    fn parse<T: FromStr<Err: fmt::Display>>(&mut self, path: &str, text: &str) -> Option<T> {
        match text.parse() {
            Ok(value) => Some(value),
            Err(error) => {
                self.add(path, error);
                None
            }
        }
    }
}

impl TryFrom<ConfigWire> for FleetConfig {
    type Error = Vec<ConfigFault>;

    fn try_from(wire: ConfigWire) -> Result<Self, Self::Error> {
        let mut faults = FaultList::default();
        let mut pools = BTreeMap::new();
        for (name, pool) in &wire.pools {
            let path = format!("pools.{name}");
            let pool = parse_pool(&mut faults, &path, pool);
            if let Some(name) = faults.parse(&path, name) {
                pools.insert(name, pool);
            }
        }
        let mut teams = BTreeMap::new();
        for (name, limit) in &wire.teams {
            if let Some(name) = faults.parse(&format!("teams.{name}"), name) {
                let limit = (*limit).into();
                teams.insert(name, TeamQuota { limit });
            }
        }
        let mut drains = BTreeMap::new();
        for (vm, reason) in &wire.drains {
            let path = format!("drains.{vm}");
            let max = MAX_DRAIN_REASON_BYTES;
            let problem = format!("accepted is a reason of at most {max} bytes");
            faults.check(reason.len() <= max, &path, problem);
            if let Some(vm) = faults.parse(&path, vm) {
                drains.insert(vm, reason.clone());
            }
        }
        let mut excluded_entries = BTreeMap::new();
        for (entry, reason) in &wire.without {
            if let Some(entry) = faults.parse(&format!("without.{entry}"), entry) {
                excluded_entries.insert(entry, reason.clone());
            }
        }
        let spare_pool = wire.spare_pool.as_deref();
        let config = Self {
            pools,
            spare_pool: spare_pool.and_then(|name| faults.parse("spare_pool", name)),
            teams,
            maintenance: parse_maintenance(&mut faults, &wire.maintenance),
            weights: parse_weights(&mut faults, wire.weights),
            wave: wire.wave.as_ref().map(|wave| parse_wave(&mut faults, wave)),
            drains,
            excluded_entries,
        };
        check_references(&mut faults, &config);
        if faults.faults.is_empty() {
            Ok(config)
        } else {
            Err(faults.faults)
        }
    }
}

fn parse_pool(faults: &mut FaultList, path: &str, wire: &PoolWire) -> PoolConfig {
    let mut vms = BTreeSet::new();
    for vm in &wire.vms {
        let path = format!("{path}.vms");
        if let Some(name) = faults.parse::<VmName>(&path, vm) {
            faults.check(vms.insert(name), path, format!("VM {vm} stands twice"));
        }
    }
    let size = u32::try_from(vms.len()).unwrap_or(u32::MAX);
    faults.check(
        wire.budget <= size,
        format!("{path}.budget"),
        format!(
            "budget {} is larger than the pool of {size} VMs",
            wire.budget
        ),
    );
    faults.check(
        (1..=MAX_SLOTS).contains(&wire.slots),
        format!("{path}.slots"),
        format!("accepted is 1 to {MAX_SLOTS}"),
    );
    faults.check(
        (1..=MAX_QUEUE_LIMIT).contains(&wire.queue_limit),
        format!("{path}.queue_limit"),
        format!("accepted is 1 to {MAX_QUEUE_LIMIT}"),
    );
    faults.check(
        wire.windows.len() <= MAX_WINDOWS,
        format!("{path}.windows"),
        format!("at most {MAX_WINDOWS} windows are accepted"),
    );
    let windows = wire.windows.iter().enumerate().map(|(index, window)| {
        let path = format!("{path}.windows[{index}]");
        parse_window(faults, &path, window)
    });
    let windows = windows.collect();
    let jobs = parse_jobs(faults, &format!("{path}.jobs"), &wire.jobs);
    PoolConfig {
        budget: wire.budget,
        vms,
        windows,
        queue_limit: wire.queue_limit,
        slots: wire.slots,
        jobs,
    }
}

fn parse_window(faults: &mut FaultList, path: &str, wire: &WindowWire) -> MaintenanceWindow {
    faults.check(
        !wire.days.is_empty() && wire.days.iter().all(|day| *day < 7),
        format!("{path}.days"),
        "a window without days can never open: accepted are 0 (Monday) to 6",
    );
    faults.check(
        wire.start_minute < DAY_MINUTES,
        format!("{path}.start_minute"),
        "accepted is 0 to 1439",
    );
    faults.check(
        (1..=DAY_MINUTES).contains(&wire.minutes),
        format!("{path}.minutes"),
        "a window without length can never open: accepted is 1 to 1440",
    );
    MaintenanceWindow {
        days: wire.days.clone(),
        start_minute: wire.start_minute,
        minutes: wire.minutes,
    }
}

fn parse_jobs(faults: &mut FaultList, path: &str, wires: &[JobWire]) -> Vec<JobConfig> {
    let problem = format!("at most {MAX_JOBS} jobs are accepted");
    faults.check(wires.len() <= MAX_JOBS, path, problem);
    let mut names = BTreeSet::new();
    let jobs = wires.iter().map(|job| {
        let path = format!("{path}.{}", job.name);
        faults.check(names.insert(&job.name), &path, "the job stands twice");
        faults.check(is_valid(&job.name), &path, "accepted is a name");
        parse_job(faults, &path, job)
    });
    jobs.collect()
}

fn parse_job(faults: &mut FaultList, path: &str, wire: &JobWire) -> JobConfig {
    faults.check(
        wire.tasks >= 1,
        format!("{path}.tasks"),
        "accepted is 1 or more",
    );
    let team = wire.team.as_deref();
    JobConfig {
        name: wire.name.clone(),
        team: team.and_then(|team| faults.parse(&format!("{path}.team"), team)),
        tasks: wire.tasks,
        need: wire.need.into(),
        urgent: wire.urgent,
    }
}

fn parse_maintenance(faults: &mut FaultList, wire: &MaintenanceWire) -> MaintenanceRules {
    let defaults = MaintenanceRules::default();
    let rules = MaintenanceRules {
        period_s: wire.period_s.unwrap_or(defaults.period_s),
        return_limit_s: wire.return_limit_s.unwrap_or(defaults.return_limit_s),
        drain_limit_s: wire.drain_limit_s.unwrap_or(defaults.drain_limit_s),
        failure_stop_share: wire
            .failure_stop_share
            .unwrap_or(defaults.failure_stop_share),
    };
    let seconds = [
        ("period_s", rules.period_s),
        ("return_limit_s", rules.return_limit_s),
        ("drain_limit_s", rules.drain_limit_s),
    ];
    for (key, value) in seconds {
        let path = format!("maintenance.{key}");
        faults.check(value >= 1, path, "accepted is 1 or more seconds");
    }
    faults.check(
        (0.0..=1.0).contains(&rules.failure_stop_share),
        "maintenance.failure_stop_share",
        "accepted is 0 to 1",
    );
    rules
}

fn parse_weights(faults: &mut FaultList, wire: WeightsWire) -> MeasureWeights {
    let defaults = MeasureWeights::default();
    let weights = MeasureWeights {
        buffer: wire.buffer.unwrap_or(defaults.buffer),
        rollout: wire.rollout.unwrap_or(defaults.rollout),
        moves: wire.moves.unwrap_or(defaults.moves),
    };
    for (key, value) in [
        ("buffer", weights.buffer),
        ("rollout", weights.rollout),
        ("moves", weights.moves),
    ] {
        let accepted = value.is_finite() && value >= 0.0;
        faults.check(accepted, format!("weights.{key}"), "accepted is 0 or more");
    }
    weights
}

fn parse_wave(faults: &mut FaultList, wire: &WaveWire) -> WaveRequest {
    let problem = "accepted is a name";
    faults.check(is_valid(&wire.id), "wave.id", problem);
    let pools = wire.pools.iter();
    let pools = pools.filter_map(|pool| faults.parse("wave.pools", pool));
    WaveRequest {
        id: wire.id.clone(),
        pools: pools.collect(),
        running: wire.running,
        started_ms: wire.started_ms,
    }
}

/// Checks the limits on the whole document and that every reference resolves: each
/// VM is in one pool, and named teams and pools exist.
fn check_references(faults: &mut FaultList, config: &FleetConfig) {
    faults.check(
        config.pools.len() <= MAX_POOLS,
        "pools",
        format!("at most {MAX_POOLS} pools are accepted"),
    );
    let mut home_pools: BTreeMap<&VmName, &str> = BTreeMap::new();
    for (name, pool) in &config.pools {
        for vm in &pool.vms {
            if let Some(other) = home_pools.insert(vm, name.as_str()) {
                let problem = format!("VM {vm} is in pool {other} as well");
                faults.add(format!("pools.{name}.vms"), problem);
            }
        }
        for job in &pool.jobs {
            let known = job.team.as_ref();
            let known = known.is_none_or(|team| config.teams.contains_key(team));
            let path = format!("pools.{name}.jobs.{}.team", job.name);
            faults.check(known, path, "no such team");
        }
    }
    faults.check(
        home_pools.len() <= MAX_VMS,
        "pools",
        format!("at most {MAX_VMS} VMs are accepted"),
    );
    if let Some(pool) = &config.spare_pool {
        let known = config.pools.contains_key(pool);
        faults.check(known, "spare_pool", format!("there is no pool {pool}"));
    }
    check_drains(faults, config, &home_pools);
    check_wave(faults, config);
}

/// Checks that every drained VM is in a pool, and that no pool has more drained VMs
/// than its budget.
fn check_drains(
    faults: &mut FaultList,
    config: &FleetConfig,
    home_pools: &BTreeMap<&VmName, &str>,
) {
    let mut drained_counts: BTreeMap<&str, u32> = BTreeMap::new();
    for vm in config.drains.keys() {
        match home_pools.get(vm) {
            Some(pool) => *drained_counts.entry(pool).or_default() += 1,
            None => faults.add(
                format!("drains.{vm}"),
                "no pool has this VM; a drained VM stays in its pool until it is undrained",
            ),
        }
    }
    for (pool, drained) in drained_counts {
        let budget = config.pools.get(pool).map_or(0, |pool| pool.budget);
        faults.check(
            drained <= budget,
            format!("pools.{pool}.budget"),
            format!("{drained} of its VMs are drained, the budget is {budget}"),
        );
    }
}

/// Checks that the pools of a running wave exist and that their budgets allow planned
/// stops.
fn check_wave(faults: &mut FaultList, config: &FleetConfig) {
    let running = config.wave.as_ref().filter(|wave| wave.running);
    for pool in running.iter().flat_map(|wave| &wave.pools) {
        match config.pools.get(pool) {
            None => faults.add("wave.pools", format!("there is no pool {pool}")),
            Some(pool_config) => faults.check(
                pool_config.budget > 0,
                "wave.pools",
                format!("the budget of pool {pool} is 0, so none of its VMs can be stopped"),
            ),
        }
    }
}

impl From<ResourceWire> for ResourceAmount {
    fn from(wire: ResourceWire) -> Self {
        Self {
            cpu_millis: wire.cpu_millis,
            memory_mb: wire.memory_mb,
            accelerators: wire.accelerators,
        }
    }
}
