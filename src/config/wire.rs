//! JSON form of the configuration.
//!
//! Absent keys take their defaults, and unknown keys are errors. Ranges of values and
//! references between keys are checked by [`crate::config::validate`].

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use serde::Deserialize;
use serde::Serialize;

/// Number of slots of each VM in a pool that does not set it.
pub const DEFAULT_SLOTS: u32 = 8;
/// Queue limit of a pool that does not set it, in requests at one entry VM.
pub const DEFAULT_QUEUE_LIMIT: u32 = 1024;

/// JSON form of [`crate::config::FleetConfig`].
#[derive(Clone, Debug, Default)]
#[derive(Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct ConfigWire {
    pub pools: BTreeMap<String, PoolWire>,
    pub spare_pool: Option<String>,
    pub teams: BTreeMap<String, ResourceWire>,
    pub maintenance: MaintenanceWire,
    pub weights: WeightsWire,
    pub wave: Option<WaveWire>,
    pub drains: BTreeMap<String, String>,
    pub without: BTreeMap<String, String>,
}

/// JSON form of [`crate::config::PoolConfig`].
#[derive(Clone, Debug)]
#[derive(Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct PoolWire {
    pub budget: u32,
    pub vms: Vec<String>,
    pub windows: Vec<WindowWire>,
    pub queue_limit: u32,
    pub slots: u32,
    pub jobs: Vec<JobWire>,
}

impl Default for PoolWire {
    fn default() -> Self {
        Self {
            budget: 0,
            vms: Vec::new(),
            windows: Vec::new(),
            queue_limit: DEFAULT_QUEUE_LIMIT,
            slots: DEFAULT_SLOTS,
            jobs: Vec::new(),
        }
    }
}

/// JSON form of [`crate::config::MaintenanceWindow`].
#[derive(Clone, Debug)]
#[derive(Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct WindowWire {
    pub days: BTreeSet<u8>,
    pub start_minute: u16,
    pub minutes: u16,
}

/// JSON form of [`crate::config::JobConfig`].
#[derive(Clone, Debug)]
#[derive(Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct JobWire {
    pub name: String,
    #[serde(default)]
    pub team: Option<String>,
    pub tasks: u32,
    pub need: ResourceWire,
    #[serde(default)]
    pub urgent: bool,
}

/// JSON form of [`crate::config::ResourceAmount`].
#[derive(Clone, Copy, Debug, Default)]
#[derive(Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct ResourceWire {
    pub cpu_millis: u64,
    pub memory_mb: u64,
    pub accelerators: u32,
}

/// JSON form of [`crate::config::MaintenanceRules`].
#[derive(Clone, Debug, Default)]
#[derive(Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct MaintenanceWire {
    pub period_s: Option<u64>,
    pub return_limit_s: Option<u64>,
    pub drain_limit_s: Option<u64>,
    pub failure_stop_share: Option<f64>,
}

/// JSON form of [`crate::config::MeasureWeights`].
#[derive(Clone, Copy, Debug, Default)]
#[derive(Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct WeightsWire {
    pub buffer: Option<f64>,
    pub rollout: Option<f64>,
    pub moves: Option<f64>,
}

/// JSON form of [`crate::config::WaveRequest`].
#[derive(Clone, Debug)]
#[derive(Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct WaveWire {
    pub id: String,
    #[serde(default)]
    pub pools: BTreeSet<String>,
    pub running: bool,
    #[serde(default)]
    pub started_ms: u64,
}
