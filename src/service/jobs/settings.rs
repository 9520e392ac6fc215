//! Settings of an entry VM that accepts jobs.

use std::net::IpAddr;
use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::time::Duration;

use crate::jobs::confirmation::RevocationPolicy;
use crate::jobs::engine::SchedulerSettings;
use crate::ports::PortAddresses;
use crate::service::ingress::limits::VmLimits;
use crate::service::jobs::watch::WATCH_WAIT;

/// Settings of an entry VM, as its settings file gives them.
#[derive(Clone, Debug, PartialEq)]
pub struct NodeSettings {
    /// Name of this entry VM; must be unique in the deployment.
    pub name: String,
    /// Data centre, for the log only.
    pub dc: String,
    /// Address on which callers are served.
    pub front: SocketAddr,
    /// Address of the readiness check of the load balancer.
    pub ready: SocketAddr,
    /// Address on which other entry VMs are served.
    pub control: SocketAddr,
    /// Address on which metrics are served, if they are.
    pub metrics: Option<SocketAddr>,
    /// Control addresses of some other entry VMs; they may be out of date.
    pub seeds: Vec<SocketAddr>,
    /// Addresses of the platform's services.
    pub addresses: PortAddresses,
    /// Share of a core that this process may use, 0 to 1. Entry VMs with a larger
    /// share claim the shard first.
    pub cpu_share: f64,
    /// Time allowed between SIGTERM and the end of the process.
    pub grace: Duration,
    /// Time to live of the owner's lease. A shorter one replaces a dead owner sooner;
    /// with a longer one an owner survives longer store outages.
    pub owner_ttl: Duration,
    /// Whether the deployment has client accounts.
    pub needs_accounts: bool,
    /// Whether API keys need a configuration that was confirmed recently.
    pub revocation: RevocationPolicy,
    /// Limits and periods of the scheduler.
    pub scheduler: SchedulerSettings,
    /// Memory and descriptors of the VM, from which the limits on clients follow.
    pub vm: VmLimits,
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
            needs_accounts: false,
            revocation: RevocationPolicy::default(),
            scheduler: SchedulerSettings::default(),
            vm: VmLimits::default(),
        }
    }
}

impl NodeSettings {
    /// Returns the longest wait of a watch of the operator's keys. Where they include API
    /// keys, its answers confirm the configuration.
    #[must_use]
    pub fn operator_wait(&self) -> Duration {
        if self.needs_accounts || self.revocation.strict {
            Duration::from_millis(self.revocation.watch_wait_ms())
        } else {
            WATCH_WAIT
        }
    }

    /// Returns the CPU share in millicores.
    #[must_use]
    pub fn share_millicores(&self) -> u64 {
        (self.cpu_share.clamp(0.0, 1.0) * 1000.0) as u64
    }
}
