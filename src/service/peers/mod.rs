//! Service `peers`: knows the other entry VMs and exchanges state with them.
//!
//! [`owner`] holds what is known and publishes it. [`lead`] runs at the
//! controller of the data centre: it pushes the state to the members, hears
//! their acknowledgements and writes the roster. [`recover`] reads the state at
//! the platform or at peers while no controller pushes it. [`remote`] asks the
//! other data centres. [`exchange`] answers peers, by way of [`routes`].

mod client;
mod exchange;
mod lead;
mod leave;
mod members;
mod owner;
mod recover;
mod remote;
mod roster;
mod routes;

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;

use tokio::sync::mpsc;
use tokio::sync::watch;
use tokio::time::Instant;

use crate::fleet::EntryRoster;
use crate::kernel::LookupError;
use crate::kernel::ServiceKernel;
use crate::kernel::ServiceName;
use crate::kernel::ShutdownPhase;
use crate::kernel::wait_for_phase;
use crate::names::DcName;
use crate::names::EntryName;
use crate::peer::PeerState;
use crate::platform::PlatformClient;
use crate::service::config::ConfigInbox;
use crate::service::config::ConfigView;
use crate::service::fleet::ControllerView;
use crate::service::fleet::FleetInbox;
use crate::service::fleet::FleetView;
use crate::settings::DaemonSettings;

pub use routes::routes;

/// Name of the service.
pub const NAME: ServiceName = "peers";
/// Name of the task that announces the shutdown; it ends before the others.
pub const LEAVE: ServiceName = "peers_leave";
/// Most messages that wait for a task of the service.
const INBOX_LIMIT: usize = 64;

/// View of what is known of the other entry VMs.
pub type PeerView = watch::Receiver<Arc<PeerState>>;

/// What an entry VM tells of itself.
#[derive(Clone, Debug)]
struct EntryIdentity {
    name: EntryName,
    dc: DcName,
    entry_address: SocketAddr,
    control_address: SocketAddr,
    incarnation: u64,
}

/// What the tasks of the service share.
#[derive(Clone)]
struct PeerTools {
    kernel: ServiceKernel,
    settings: Arc<DaemonSettings>,
    identity: Arc<EntryIdentity>,
    client: PlatformClient,
    config: ConfigView,
    config_inbox: ConfigInbox,
    fleet: FleetView,
    fleet_inbox: FleetInbox,
    term: ControllerView,
    owner: mpsc::Sender<owner::OwnerMessage>,
    lead: mpsc::Sender<lead::LeadMessage>,
    view: PeerView,
    need: watch::Receiver<owner::StateNeed>,
    roster: watch::Receiver<Arc<EntryRoster>>,
}

/// Addresses at which this entry VM is reached.
#[derive(Clone, Copy, Debug)]
pub struct BoundAddresses {
    /// By callers.
    pub entry: SocketAddr,
    /// By peers and operators.
    pub control: SocketAddr,
}

/// Starts the service.
///
/// # Errors
///
/// Fails if the services whose state it exchanges are not started.
pub fn start(
    kernel: &ServiceKernel,
    settings: &DaemonSettings,
    client: PlatformClient,
    addresses: BoundAddresses,
) -> Result<(), LookupError> {
    let (owner, owner_messages) = mpsc::channel(INBOX_LIMIT);
    let (lead, lead_messages) = mpsc::channel(INBOX_LIMIT);
    let (sender, view) = watch::channel(Arc::new(PeerState::default()));
    let (need_sender, need) = watch::channel(owner::StateNeed::default());
    let (roster_sender, roster) = watch::channel(Arc::default());
    kernel.register::<PeerView>(NAME, view.clone());
    let tools = PeerTools {
        kernel: kernel.clone(),
        settings: Arc::new(settings.clone()),
        identity: Arc::new(EntryIdentity {
            name: settings.name.clone(),
            dc: settings.dc.clone(),
            entry_address: addresses.entry,
            control_address: addresses.control,
            incarnation: rand::random(),
        }),
        client,
        config: kernel.find(crate::service::config::NAME)?,
        config_inbox: kernel.find(crate::service::config::NAME)?,
        fleet: kernel.find(crate::service::fleet::NAME)?,
        fleet_inbox: kernel.find(crate::service::fleet::NAME)?,
        term: kernel.find(crate::service::fleet::NAME)?,
        owner,
        lead,
        view,
        need,
        roster,
    };
    let senders = owner::OwnerSenders {
        state: sender,
        need: need_sender,
        roster: roster_sender,
    };
    kernel.register::<PeerTools>(NAME, tools.clone());
    let state = owner::PeerOwner::new(&tools, senders, Instant::now());
    let mut phase = kernel.phase();
    let shared = tools.clone();
    kernel.spawn(NAME, async move {
        tokio::select! {
            () = owner::run(state, &shared, owner_messages) => {}
            () = lead::run(&shared, lead_messages) => {}
            () = recover::run(&shared) => {}
            () = remote::run(&shared) => {}
            () = wait_for_phase(&mut phase, ShutdownPhase::Stopped) => {}
        }
    });
    let phase = kernel.phase();
    kernel.spawn(LEAVE, async move { leave::run(&tools, phase).await });
    Ok(())
}

impl PeerTools {
    /// Returns the addresses of peers of this data centre from the settings.
    fn near(&self) -> impl Iterator<Item = SocketAddr> {
        let peers = self.settings.peers.iter();
        let near = peers.filter(|peer| peer.dc == self.settings.dc);
        near.map(|peer| peer.control)
    }

    /// Returns the addresses of peers of other data centres from the settings.
    fn far(&self) -> BTreeMap<DcName, Vec<SocketAddr>> {
        let mut far: BTreeMap<_, Vec<_>> = BTreeMap::new();
        let peers = self.settings.peers.iter();
        for peer in peers.filter(|peer| peer.dc != self.settings.dc) {
            far.entry(peer.dc.clone()).or_default().push(peer.control);
        }
        far
    }
}
