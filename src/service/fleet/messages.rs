//! What the service offers to others: its inbox and its views.

use std::collections::BTreeMap;
use std::sync::Arc;

use tokio::sync::mpsc;
use tokio::sync::watch;
use tokio::time::Instant;

use crate::fleet::FleetRecord;
use crate::names::EntryName;
use crate::names::VmName;

/// View of the fleet record in force; none before the first.
pub type FleetView = watch::Receiver<Option<Arc<FleetRecord>>>;

/// View of this entry VM's term as controller of its data centre.
pub type ControllerView = watch::Receiver<ControllerTerm>;

/// View of what the controller waits for; empty at other entry VMs.
pub type ReportView = watch::Receiver<Arc<ControllerReport>>;

/// Sender of messages to the service.
pub type FleetInbox = mpsc::Sender<FleetMessage>;

/// Most messages that wait for the service.
pub(super) const INBOX_LIMIT: usize = 64;

/// Message to the service.
#[derive(Clone, Debug)]
pub enum FleetMessage {
    /// Offers a record, as pushed by the controller; an older one is ignored.
    Offer(Arc<FleetRecord>),
    /// Switches the watch on the record at the platform on or off; it is on at first.
    Watch(bool),
}

/// A term as controller.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ControllerTerm {
    /// Fencing number claimed in the record; 0 before the first claim.
    pub epoch: u64,
    /// When the lease lapses unless it is renewed; none without a lease.
    pub expires_at: Option<Instant>,
}

impl ControllerTerm {
    /// Tells whether this entry VM is the controller at `now`.
    #[must_use]
    pub fn is_controller(&self, now: Instant) -> bool {
        self.epoch > 0 && self.expires_at.is_some_and(|expires_at| now < expires_at)
    }
}

/// What the controller waits for.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct ControllerReport {
    /// Draining VMs, each with the entry VMs that still use it or do not answer.
    pub draining: BTreeMap<VmName, Vec<EntryName>>,
    /// VMs whose planned stop was postponed, each with the entry VMs named then.
    pub postponed: BTreeMap<VmName, Vec<EntryName>>,
}
