//! Interface to other services: the inbox and the views.

use std::collections::BTreeMap;
use std::sync::Arc;

use tokio::sync::mpsc;
use tokio::sync::watch;
use tokio::time::Instant;

use crate::fleet::FleetRecord;
use crate::names::EntryName;
use crate::names::VmName;

/// View of the fleet record in force; none until the first one has been read.
pub type FleetView = watch::Receiver<Option<Arc<FleetRecord>>>;

/// View of this entry VM's term as controller of its data centre.
pub type ControllerView = watch::Receiver<ControllerTerm>;

/// View of the controller's report; empty at entry VMs that are not the controller.
pub type ReportView = watch::Receiver<Arc<ControllerReport>>;

/// Sender of messages to the service.
pub type FleetInbox = mpsc::Sender<FleetMessage>;

/// Maximum number of messages queued for the service.
pub(super) const INBOX_LIMIT: usize = 64;

/// Message to the service.
#[derive(Clone, Debug)]
pub enum FleetMessage {
    /// Offers a record that the controller has pushed; it is ignored unless it is newer
    /// than the one in force.
    Offer(Arc<FleetRecord>),
    /// Enables or disables the watch on the record at the platform; initially enabled.
    Watch(bool),
}

/// This entry VM's term as controller.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ControllerTerm {
    /// Fencing token that the term has claimed in the fleet record; 0 without a claim.
    pub epoch: u64,
    /// When the lease expires unless it is renewed; none without a lease.
    pub expires_at: Option<Instant>,
}

impl ControllerTerm {
    /// Tells whether this entry VM is the controller at `now`.
    #[must_use]
    pub fn is_controller(&self, now: Instant) -> bool {
        self.epoch > 0 && self.expires_at.is_some_and(|expires_at| now < expires_at)
    }
}

/// Drains and postponed stops that operators can see in the status.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct ControllerReport {
    /// Draining VMs, each with the entry VMs that still use it or do not answer.
    pub draining: BTreeMap<VmName, Vec<EntryName>>,
    /// VMs whose planned stop was postponed, each with the entry VMs that blocked it.
    pub postponed: BTreeMap<VmName, Vec<EntryName>>,
}
