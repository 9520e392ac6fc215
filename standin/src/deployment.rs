//! Topologies of the first users' deployments, and how to run one as tasks of a process.

use std::collections::BTreeMap;
use std::io;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::time::Duration;

use chicorygauge::platform::PlatformSettings;
use chicorygauge::service::daemon;
use chicorygauge::service::daemon::RunningDaemon;
use chicorygauge::settings::ControlPeriods;
use chicorygauge::settings::DaemonSettings;
use chicorygauge::settings::EntryLimits;
use chicorygauge::settings::PeerAddress;
use serde_json::Value;
use serde_json::json;

use crate::backend;
use crate::backend::BackendRecord;
use crate::backend::BackendSettings;
use crate::backend::RunningBackend;
use crate::platform;
use crate::platform::RunningPlatform;

/// Workers in a rack.
const RACK_WORKERS: usize = 4;

/// Topology and weights of a deployment.
#[derive(Clone, Copy, Debug)]
pub struct DeploymentShape {
    /// Name on the command line.
    pub name: &'static str,
    /// Data centres, each with its number of entry VMs.
    pub dcs: [(&'static str, usize); 3],
    /// Pools, each with its number of workers; the last is the spare pool.
    pub pools: [(&'static str, usize); 5],
    /// Weights of buffer cost, roll-out time and moves, in this order.
    pub weights: [f64; 3],
}

/// Deployment of a packed lunch delivery in Finland.
pub const EVASAPU: DeploymentShape = DeploymentShape {
    name: "evasapu",
    dcs: [("fi-south-1", 3), ("fi-south-2", 3), ("fi-south-3", 2)],
    pools: [
        ("order-intake", 9),
        ("route-planning", 9),
        ("dietary-and-allergen", 11),
        ("billing", 12),
        ("shared-services", 8),
    ],
    weights: [1.0, 4.0, 4.0],
};

/// Deployment for workshop bookings in Egypt.
pub const NILEBENCH: DeploymentShape = DeploymentShape {
    name: "nilebench",
    dcs: [
        ("egypt-north-1", 3),
        ("egypt-north-2", 3),
        ("egypt-north-3", 2),
    ],
    pools: [
        ("bookings", 9),
        ("safety", 9),
        ("supplies", 11),
        ("projects", 12),
        ("commons", 8),
    ],
    weights: [4.0, 1.0, 1.0],
};

impl DeploymentShape {
    /// Returns the shape of this name, if there is one.
    #[must_use]
    pub fn find(name: &str) -> Option<Self> {
        [EVASAPU, NILEBENCH]
            .into_iter()
            .find(|shape| shape.name == name)
    }

    /// Returns the VMs of a pool, each with its data centre (assigned round-robin).
    #[must_use]
    pub fn vms(&self, pool: &str) -> Vec<(String, &'static str)> {
        let mut first = 0;
        for (name, workers) in self.pools {
            if name == pool {
                let vms = (first..first + workers).zip(1..);
                let dc = |index: usize| self.dcs[index % self.dcs.len()].0;
                return vms
                    .map(|(index, number)| (format!("{name}-{number}"), dc(index)))
                    .collect();
            }
            first += workers;
        }
        Vec::new()
    }

    /// Returns the initial configuration patch: each pool with a budget of a fifth of its
    /// VMs, at least 1.
    #[must_use]
    pub fn first_patch(&self) -> Value {
        let pools = self.pools.iter().map(|(pool, workers)| {
            let vms: Vec<_> = self.vms(pool).into_iter().map(|(vm, _)| vm).collect();
            let budget = (workers / 5).max(1);
            ((*pool).to_owned(), json!({"budget": budget, "vms": vms}))
        });
        let pools: BTreeMap<_, _> = pools.collect();
        let [buffer, rollout, moves] = self.weights;
        json!({
            "pools": pools,
            "spare_pool": self.pools[self.pools.len() - 1].0,
            "weights": {"buffer": buffer, "rollout": rollout, "moves": moves},
        })
    }
}

/// A deployment that runs as tasks of this process.
pub struct RunningDeployment {
    /// Stand-in of the platform.
    pub platform: RunningPlatform,
    /// Backend servers by VM name.
    pub backends: BTreeMap<String, RunningBackend>,
    /// Entry VMs, each with its data centre.
    pub daemons: Vec<(&'static str, RunningDaemon)>,
}

/// Returns a loopback address with a port that is free at the time of the call.
///
/// # Errors
///
/// Fails if no port can be bound.
pub fn free_address() -> io::Result<SocketAddr> {
    TcpListener::bind((std::net::Ipv4Addr::LOCALHOST, 0))?.local_addr()
}

/// Starts the platform, the backend servers and the entry VMs; `service` is the service
/// time of a request that states none.
///
/// # Errors
///
/// Fails if a socket cannot be bound or a daemon does not start.
pub async fn start(shape: &DeploymentShape, service: Duration) -> io::Result<RunningDeployment> {
    let platform = platform::start(SocketAddr::from(([127, 0, 0, 1], 0))).await?;
    let mut backends = BTreeMap::new();
    for (pool, _) in shape.pools {
        for (index, (vm, dc)) in shape.vms(pool).into_iter().enumerate() {
            let settings = BackendSettings {
                vm: vm.clone(),
                dc: dc.to_owned(),
                rack: format!("{dc}-rack-{}", index / RACK_WORKERS),
                service,
                platform: Some(platform.server.address),
                ..BackendSettings::default()
            };
            backends.insert(vm, backend::start(settings).await?);
        }
    }
    let mut daemons = Vec::new();
    for (dc, settings) in entry_settings(shape, platform.server.address)? {
        let daemon = daemon::start(&settings).await.map_err(io::Error::other)?;
        daemons.push((dc, daemon));
    }
    Ok(RunningDeployment {
        platform,
        backends,
        daemons,
    })
}

fn entry_settings(
    shape: &DeploymentShape,
    platform: SocketAddr,
) -> io::Result<Vec<(&'static str, DaemonSettings)>> {
    let mut plans = Vec::new();
    for (dc, entries) in shape.dcs {
        for number in 1..=entries {
            plans.push((
                dc,
                format!("{dc}-e{number}"),
                free_address()?,
                free_address()?,
            ));
        }
    }
    let dc_name = |dc: &str| dc.parse().map_err(io::Error::other);
    let mut settings = Vec::new();
    for (dc, name, entry_listen, control_listen) in &plans {
        let others = plans.iter().filter(|(_, other, _, _)| other != name);
        let peers = others.map(|(dc, _, _, control)| {
            Ok(PeerAddress {
                dc: dc_name(dc)?,
                control: *control,
            })
        });
        settings.push((
            *dc,
            DaemonSettings {
                name: name.parse().map_err(io::Error::other)?,
                dc: dc_name(dc)?,
                entry_listen: *entry_listen,
                control_listen: *control_listen,
                peers: peers.collect::<io::Result<_>>()?,
                platform: PlatformSettings {
                    address: platform,
                    ..PlatformSettings::default()
                },
                limits: EntryLimits {
                    announce: Duration::from_millis(200),
                    ..EntryLimits::default()
                },
                control: ControlPeriods {
                    sync: Duration::from_millis(200),
                    list: Duration::from_millis(500),
                    list_lag: Duration::from_secs(1),
                    ..ControlPeriods::default()
                },
            },
        ));
    }
    Ok(settings)
}

impl RunningDeployment {
    /// Returns the entry VMs' addresses for callers.
    #[must_use]
    pub fn entries(&self) -> Vec<SocketAddr> {
        let daemons = self.daemons.iter();
        daemons.map(|(_, daemon)| daemon.entry_address).collect()
    }

    /// Returns the entry VMs' control addresses.
    #[must_use]
    pub fn controls(&self) -> Vec<SocketAddr> {
        let daemons = self.daemons.iter();
        daemons.map(|(_, daemon)| daemon.control_address).collect()
    }

    /// Returns the records of the backend servers.
    #[must_use]
    pub fn records(&self) -> Vec<BackendRecord> {
        let backends = self.backends.values();
        backends.map(|backend| backend.state.record()).collect()
    }

    /// Stops all entry VMs gracefully.
    pub async fn stop(self) {
        for (_, daemon) in self.daemons {
            daemon.stop().await;
        }
    }
}
