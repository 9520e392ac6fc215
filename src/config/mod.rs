//! The operators' configuration: pools, budgets, windows, quotas and wishes.
//!
//! Operators submit JSON merge patches against a numbered version. A patch that
//! passes validation yields the next version. The JSON document is what is kept;
//! [`FleetConfig`] is its checked form.

pub mod document;
pub mod head;
pub mod patch;
pub mod store;
pub mod submit;
pub mod validate;
pub mod wire;

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use crate::names::EntryName;
use crate::names::PoolName;
use crate::names::TeamName;
use crate::names::VmName;

pub use document::ConfigVersion;
pub use document::VersionedConfig;

/// The whole configuration in its checked form.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct FleetConfig {
    /// Pools by name.
    pub pools: BTreeMap<PoolName, PoolConfig>,
    /// Pool whose VMs may be lent to others.
    pub spare_pool: Option<PoolName>,
    /// Teams by name.
    pub teams: BTreeMap<TeamName, TeamQuota>,
    /// Rules of maintenance.
    pub maintenance: MaintenanceRules,
    /// What the planner weighs.
    pub weights: MeasureWeights,
    /// The maintenance wave that operators ask for.
    pub wave: Option<WaveRequest>,
    /// VMs that operators want out of service, with the reason.
    pub drains: BTreeMap<VmName, String>,
    /// Entry VMs that operators say to go on without, with the reason.
    pub without: BTreeMap<EntryName, String>,
}

/// One pool of VMs.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct PoolConfig {
    /// Most VMs that may be out of service at once.
    pub budget: u32,
    /// VMs whose home this pool is.
    pub vms: BTreeSet<VmName>,
    /// When planned stops may start; at any time if empty.
    pub windows: Vec<MaintenanceWindow>,
    /// Most requests waiting for the pool at one entry VM.
    pub queue_limit: u32,
    /// Requests that one VM runs at once.
    pub slots: u32,
    /// Jobs that the pool's workers carry.
    pub jobs: Vec<JobConfig>,
}

/// A span of the week, in UTC, in which planned stops may start.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct MaintenanceWindow {
    /// Days on which the window opens, Monday is 0.
    pub days: BTreeSet<u8>,
    /// Minute of the day at which it opens.
    pub start_minute: u16,
    /// Length in minutes; it may pass midnight.
    pub minutes: u16,
}

/// A job of a pool, as its operators declare it.
#[derive(Clone, Debug, PartialEq)]
pub struct JobConfig {
    /// Name, unique within the pool.
    pub name: String,
    /// Team whose quota it counts against.
    pub team: Option<TeamName>,
    /// Number of tasks.
    pub tasks: u32,
    /// Declared need of one task.
    pub need: ResourceAmount,
    /// Whether it starts before others.
    pub urgent: bool,
}

/// An amount of each resource.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ResourceAmount {
    /// Processor time, in thousandths of a core.
    pub cpu_millis: u64,
    /// Memory, in MB.
    pub memory_mb: u64,
    /// Whole accelerators.
    pub accelerators: u32,
}

/// What a team may use at once.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct TeamQuota {
    /// Limit over all pools.
    pub limit: ResourceAmount,
}

/// Rules that all maintenance waves follow.
#[derive(Clone, Debug, PartialEq)]
pub struct MaintenanceRules {
    /// Every VM is maintained once in this period, in seconds.
    pub period_s: u64,
    /// A VM that is not back after this time counts as failed, in seconds.
    pub return_limit_s: u64,
    /// Longest time a drain may take before another VM is tried, in seconds.
    pub drain_limit_s: u64,
    /// Share of a wave's stops that may fail to return before the wave stops itself.
    pub failure_stop_share: f64,
}

impl Default for MaintenanceRules {
    fn default() -> Self {
        Self {
            period_s: 21 * 24 * 3600,
            return_limit_s: 600,
            drain_limit_s: 600,
            failure_stop_share: 0.1,
        }
    }
}

/// Weights of the three measures; only their ratios count.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct MeasureWeights {
    /// Weight of spare capacity held back.
    pub buffer: f64,
    /// Weight of the time that waves and changes take.
    pub rollout: f64,
    /// Weight of VMs changing pool.
    pub moves: f64,
}

impl Default for MeasureWeights {
    fn default() -> Self {
        Self {
            buffer: 1.0,
            rollout: 1.0,
            moves: 1.0,
        }
    }
}

/// A wave that operators ask for.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct WaveRequest {
    /// Identifier chosen by the operator's command.
    pub id: String,
    /// Pools to maintain; all if empty.
    pub pools: BTreeSet<PoolName>,
    /// Whether the wave may start planned stops.
    pub running: bool,
    /// Time of its start, in milliseconds since the Unix epoch.
    pub started_ms: u64,
}
