//! Settings of an entry VM that takes jobs.

use std::net::IpAddr;
use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::time::Duration;

use crate::jobs::engine::SchedulerSettings;
use crate::ports::PortAddresses;

/// Settings of an entry VM.
#[derive(Clone, Debug, PartialEq)]
pub struct NodeSettings {
    /// Name.
    pub name: String,
    /// Data centre.
    pub dc: String,
    /// Where callers reach it.
    pub front: SocketAddr,
    /// Where the balancer asks whether it is ready.
    pub ready: SocketAddr,
    /// Where other entry VMs reach it.
    pub control: SocketAddr,
    /// Where metrics are served.
    pub metrics: Option<SocketAddr>,
    /// Addresses of some other entry VMs; they may be stale.
    pub seeds: Vec<SocketAddr>,
    /// Services of the platform.
    pub addresses: PortAddresses,
    /// Share of a core that it may use; larger ones bid for shards first.
    pub cpu_share: f64,
    /// Time between SIGTERM and the end.
    pub grace: Duration,
    /// Time to live of an owner's lease. Shorter ends a dead ownership sooner,
    /// longer survives longer hiccups of the store.
    pub owner_ttl: Duration,
    /// Bounds and periods of the scheduler.
    pub scheduler: SchedulerSettings,
}

impl Default for NodeSettings {
    fn default() -> Self {
        let local = SocketAddr::new(IpAddr::V4(Ipv4Addr::LOCALHOST), 0);
        Self {
            name: "entry".to_owned(),
            dc: "dc".to_owned(),
            front: local,
            ready: local,
            control: local,
            metrics: None,
            seeds: Vec::new(),
            addresses: PortAddresses {
                store: local,
                fleet: None,
                advice: None,
            },
            cpu_share: 0.25,
            grace: Duration::from_secs(6),
            owner_ttl: Duration::from_millis(2000),
            scheduler: SchedulerSettings::default(),
        }
    }
}

impl NodeSettings {
    /// Returns the share of a core in thousandths.
    #[must_use]
    pub fn share_millicores(&self) -> u64 {
        (self.cpu_share.clamp(0.0, 1.0) * 1000.0) as u64
    }
}
