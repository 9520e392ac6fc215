//! Service `peers`: exchanges state with the other entry VMs.
//!
//! [`owner`] holds the state of the peers and publishes it. [`rounds`] runs at the
//! controller of the data centre: it pushes the state to the members, collects their
//! acknowledgements and writes the roster. [`recover`] reads the state from the
//! platform or from peers while no controller pushes it. [`remote`] polls the other
//! data centres. [`leave`] removes this entry VM from the roster at shutdown.
//! [`exchange`] handles the requests that peers send to [`routes`].

mod client;
mod exchange;
mod leave;
mod members;
mod owner;
mod recover;
mod remote;
mod roster;
mod rounds;
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
/// Name of the task that leaves the roster at shutdown; it ends before the others.
pub const LEAVE: ServiceName = "peers_leave";
/// Capacity of each task's inbox, in messages.
const INBOX_LIMIT: usize = 64;

/// View of the state of the other entry VMs.
pub type PeerView = watch::Receiver<Arc<PeerState>>;

/// Identity of this entry VM, as sent to peers.
#[derive(Clone, Debug)]
struct EntryIdentity {
    name: EntryName,
    dc: DcName,
    entry_address: SocketAddr,
    control_address: SocketAddr,
    /// Random number that identifies this process; a restarted one has another.
    incarnation: u64,
}

/// Settings, clients, inboxes and views that the tasks of the service share.
#[derive(Clone)]
struct PeerContext {
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
    rounds: mpsc::Sender<rounds::RoundMessage>,
    view: PeerView,
    sync_status: watch::Receiver<owner::SyncStatus>,
    roster: watch::Receiver<Arc<EntryRoster>>,
}

/// Addresses on which this entry VM listens.
#[derive(Clone, Copy, Debug)]
pub struct BoundAddresses {
    /// For callers and forwarding peers.
    pub entry: SocketAddr,
    /// For the control interface, used by peers and operators.
    pub control: SocketAddr,
}

/// Starts the service.
///
/// # Errors
///
/// Fails if the services `config` and `fleet` are not started.
pub fn start(
    kernel: &ServiceKernel,
    settings: &DaemonSettings,
    client: PlatformClient,
    addresses: BoundAddresses,
) -> Result<(), LookupError> {
    let (owner, owner_messages) = mpsc::channel(INBOX_LIMIT);
    let (rounds, round_messages) = mpsc::channel(INBOX_LIMIT);
    let (sender, view) = watch::channel(Arc::new(PeerState::default()));
    let (status_sender, sync_status) = watch::channel(owner::SyncStatus::default());
    let (roster_sender, roster) = watch::channel(Arc::default());
    kernel.register::<PeerView>(NAME, view.clone());
    let context = PeerContext {
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
        rounds,
        view,
        sync_status,
        roster,
    };
    let senders = owner::OwnerSenders {
        state: sender,
        status: status_sender,
        roster: roster_sender,
    };
    kernel.register::<PeerContext>(NAME, context.clone());
    let state = owner::PeerOwner::new(&context, senders, Instant::now());
    let mut phase = kernel.phase();
    let shared = context.clone();
    kernel.spawn(NAME, async move {
        tokio::select! {
            () = owner::run(state, &shared, owner_messages) => {}
            () = rounds::run(&shared, round_messages) => {}
            () = recover::run(&shared) => {}
            () = remote::run(&shared) => {}
            () = wait_for_phase(&mut phase, ShutdownPhase::Stopped) => {}
        }
    });
    let phase = kernel.phase();
    kernel.spawn(LEAVE, async move { leave::run(&context, phase).await });
    Ok(())
}

impl PeerContext {
    /// Returns the control addresses, from the settings, of peers in this data centre.
    fn local_peers(&self) -> impl Iterator<Item = SocketAddr> {
        let peers = self.settings.peers.iter();
        let local = peers.filter(|peer| peer.dc == self.settings.dc);
        local.map(|peer| peer.control)
    }

    /// Returns the control addresses, from the settings, of peers in each other data
    /// centre.
    fn remote_peers(&self) -> BTreeMap<DcName, Vec<SocketAddr>> {
        let mut remote: BTreeMap<_, Vec<_>> = BTreeMap::new();
        let peers = self.settings.peers.iter();
        for peer in peers.filter(|peer| peer.dc != self.settings.dc) {
            remote
                .entry(peer.dc.clone())
                .or_default()
                .push(peer.control);
        }
        remote
    }
}
