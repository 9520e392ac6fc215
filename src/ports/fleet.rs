//! Messages of the platform's list of VMs.

/// State of a VM at the platform.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum MachineState {
    /// In service.
    Up,
    /// On its way to another pool.
    Moving,
    /// In maintenance.
    Maintenance,
    /// Down.
    Down,
}

/// A VM as the platform lists it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct MachineRow {
    /// Name of the VM.
    pub machine: String,
    /// Pool that it belongs to.
    pub pool: String,
    /// State.
    pub state: MachineState,
    /// Kind, rack and other labels.
    pub labels: Vec<String>,
    /// Its current worker; empty if there is none.
    pub worker: String,
}

/// A call to the list of VMs.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum FleetCall {
    /// Reads a page.
    List {
        /// Where to go on; empty for the first page.
        page: String,
    },
    /// Moves a VM to another pool.
    Move {
        /// The VM.
        machine: String,
        /// The pool.
        pool: String,
        /// Who orders.
        holder: String,
        /// Epoch of the sender's ownership.
        epoch: u64,
    },
    /// Starts a VM's maintenance.
    Maintain {
        /// The VM.
        machine: String,
        /// Wave that asks for it.
        wave: u64,
        /// Who orders.
        holder: String,
        /// Epoch of the sender's ownership.
        epoch: u64,
    },
}

/// A reply.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum FleetReply {
    /// A page of VMs.
    Page {
        /// VMs.
        rows: Vec<MachineRow>,
        /// Where to go on; empty if this is the last page.
        next: String,
    },
    /// Carried out, now or before.
    Done,
    /// Nothing was done.
    Refused {
        /// HTTP status.
        status: u16,
        /// Reason in the platform's words, for the log.
        reason: String,
    },
}
