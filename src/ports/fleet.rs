//! Messages of the platform's VM list service, which also moves and maintains VMs.

/// State of a VM as the platform reports it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum MachineState {
    /// In service.
    Up,
    /// Being moved to another pool.
    Moving,
    /// In maintenance.
    Maintenance,
    /// Out of service, or in a state that is not known.
    Down,
}

/// A VM as the platform lists it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct MachineRow {
    /// Name of the VM.
    pub machine: String,
    /// Pool that it belongs to.
    pub pool: String,
    /// State of the VM.
    pub state: MachineState,
    /// Labels such as kind and rack.
    pub labels: Vec<String>,
    /// Identifier of the worker that runs on it; empty if there is none.
    pub worker: String,
}

/// A call to the VM list service.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum FleetCall {
    /// Reads one page of the list.
    List {
        /// Continuation token; empty for the first page.
        page: String,
    },
    /// Moves a VM to another pool.
    Move {
        /// Name of the VM.
        machine: String,
        /// Pool to move it to.
        pool: String,
        /// Name of the permit holder that sends the order.
        holder: String,
        /// Epoch of the sender's ownership, as a fencing token.
        epoch: u64,
    },
    /// Starts a VM's maintenance.
    Maintain {
        /// Name of the VM.
        machine: String,
        /// Number of the maintenance wave.
        wave: u64,
        /// Name of the permit holder that sends the order.
        holder: String,
        /// Epoch of the sender's ownership, as a fencing token.
        epoch: u64,
    },
}

/// A reply of the VM list service.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum FleetReply {
    /// One page of the list.
    Page {
        /// VMs of the page.
        rows: Vec<MachineRow>,
        /// Continuation token of the next page; empty if this is the last one.
        next: String,
    },
    /// The order was executed, by this call or an earlier one.
    Done,
    /// The order was rejected and had no effect.
    Refused {
        /// HTTP status.
        status: u16,
        /// Reason as the platform gives it, for the log.
        reason: String,
    },
}
