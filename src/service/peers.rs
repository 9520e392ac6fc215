//! Service `peers`: knows the other entry VMs and exchanges state with them.

use std::collections::BTreeMap;
use std::sync::Arc;

use tokio::sync::watch;

use crate::kernel::ServiceKernel;
use crate::kernel::ServiceName;
use crate::kernel::ShutdownPhase;
use crate::kernel::reached;
use crate::peer::PeerState;
use crate::peer::SharePlace;
use crate::settings::DaemonSettings;

/// Name of the service.
pub const NAME: ServiceName = "peers";

/// View of what is known of the other entry VMs.
pub type PeerView = watch::Receiver<Arc<PeerState>>;

/// Starts the service.
pub fn start(kernel: &ServiceKernel, settings: &DaemonSettings) {
    let state = PeerState {
        generation: 1,
        place: settings_place(settings),
        next: None,
        stale: None,
        trusted: true,
        members: BTreeMap::new(),
        remotes: BTreeMap::new(),
    };
    let (sender, view) = watch::channel(Arc::new(state));
    kernel.register::<PeerView>(NAME, view);
    let mut phase = kernel.phase();
    kernel.spawn(NAME, async move {
        reached(&mut phase, ShutdownPhase::Stopped).await;
        drop(sender);
    });
}

/// Finds the place of this entry VM among those that its settings name.
fn settings_place(settings: &DaemonSettings) -> SharePlace {
    let peers = settings.peers.iter().filter(|peer| peer.dc == settings.dc);
    let mut addresses: Vec<_> = peers.map(|peer| peer.control).collect();
    addresses.push(settings.control_listen);
    addresses.sort();
    addresses.dedup();
    let index = addresses.binary_search(&settings.control_listen);
    SharePlace {
        entries: addresses.len() as u32,
        index: index.unwrap_or(0) as u32,
    }
}
