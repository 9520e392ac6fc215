//! The operators' configuration: pools, budgets, maintenance windows, quotas, and
//! requests for waves and drains.
//!
//! Operators submit JSON merge patches against a numbered version. A patch that
//! passes validation yields the next version. The JSON document is what is stored;
//! [`FleetConfig`] is its validated form.

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

/// The whole configuration in its validated form.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct FleetConfig {
    /// Pools by name.
    pub pools: BTreeMap<PoolName, PoolConfig>,
    /// Pool whose VMs may be lent to other pools; no VMs are lent without one.
    pub spare_pool: Option<PoolName>,
    /// Teams by name.
    pub teams: BTreeMap<TeamName, TeamQuota>,
    /// Time limits and the failure limit of maintenance.
    pub maintenance: MaintenanceRules,
    /// Weights of the costs that planning and lending trade off against each other.
    pub weights: MeasureWeights,
    /// The maintenance wave that operators request.
    pub wave: Option<WaveRequest>,
    /// VMs that operators want out of service, with the reason.
    pub drains: BTreeMap<VmName, String>,
    /// Entry VMs that operators declare gone, with the reason; they are removed from the
    /// roster without waiting for them. The key in the document is `without`.
    pub excluded_entries: BTreeMap<EntryName, String>,
}

/// One pool of VMs.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct PoolConfig {
    /// Maximum number of VMs that may be out of service at once.
    pub budget: u32,
    /// VMs whose home pool this is.
    pub vms: BTreeSet<VmName>,
    /// When planned stops may start; at any time if empty.
    pub windows: Vec<MaintenanceWindow>,
    /// Maximum number of requests waiting for the pool at one entry VM.
    pub queue_limit: u32,
    /// Maximum number of requests that one VM runs at once.
    pub slots: u32,
    /// Jobs that run on the pool's workers.
    pub jobs: Vec<JobConfig>,
}

/// A span of the week, in UTC, in which planned stops may start.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct MaintenanceWindow {
    /// Days on which the window opens; Monday is 0.
    pub days: BTreeSet<u8>,
    /// Minute of the day at which it opens.
    pub start_minute: u16,
    /// Length in minutes; the window may extend past midnight.
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
    /// Resources that one task requests.
    pub need: ResourceAmount,
    /// Whether its tasks start before those of other jobs.
    pub urgent: bool,
}

/// An amount of each resource.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ResourceAmount {
    /// CPU, in millicores.
    pub cpu_millis: u64,
    /// Memory, in MB.
    pub memory_mb: u64,
    /// Number of accelerators.
    pub accelerators: u32,
}

/// Resources that a team may use at once.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct TeamQuota {
    /// Limit on the sum over all pools.
    pub limit: ResourceAmount,
}

/// Limits that apply to all maintenance waves.
#[derive(Clone, Debug, PartialEq)]
pub struct MaintenanceRules {
    /// Period in which every VM must be maintained once, in seconds.
    pub period_s: u64,
    /// Time after which a stopped VM that has not returned to service counts as
    /// failed, in seconds.
    pub return_limit_s: u64,
    /// Time after which an unfinished drain is postponed, in seconds: the VM serves
    /// again, and another VM is tried.
    pub drain_limit_s: u64,
    /// Share of a wave's stopped VMs, 0 to 1, that may fail to return to service
    /// before the wave stops itself.
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

/// Weights of the three costs that decisions trade off; only their ratios matter.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct MeasureWeights {
    /// Weight of the spare capacity kept in reserve.
    pub buffer: f64,
    /// Weight of the duration of waves and changes.
    pub rollout: f64,
    /// Weight of moving VMs between pools.
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

/// A maintenance wave that operators request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct WaveRequest {
    /// Identifier chosen by the operator's command.
    pub id: String,
    /// Pools to maintain; all if empty.
    pub pools: BTreeSet<PoolName>,
    /// Whether the wave may start planned stops.
    pub running: bool,
    /// When it was requested to start, in milliseconds since the Unix epoch; only VMs
    /// last maintained before this time are maintained.
    pub started_ms: u64,
}
