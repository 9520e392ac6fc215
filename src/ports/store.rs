//! Messages of the platform's store.

/// Identifier of a lease; 0 stands for none.
pub type LeaseId = u64;

/// A stored item.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct StoreItem {
    /// Key.
    pub key: String,
    /// Value.
    pub value: Vec<u8>,
    /// Revision of the last change.
    pub revision: u64,
}

/// A change that a watch saw.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum StoreEvent {
    /// The item as it was written.
    Written(StoreItem),
    /// The key was removed.
    Removed {
        /// Key.
        key: String,
        /// Revision of the removal.
        revision: u64,
    },
}

/// A key that is to be written.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct StoreWrite {
    /// Key.
    pub key: String,
    /// Value.
    pub value: Vec<u8>,
    /// Lease with which the key goes; 0 for none.
    pub lease: LeaseId,
}

/// A change under conditions, all or nothing.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct StoreCommit {
    /// Keys and the revisions that they must have; 0 stands for no such key.
    pub expected: Vec<(String, u64)>,
    /// Keys to write.
    pub writes: Vec<StoreWrite>,
    /// Keys to remove.
    pub removals: Vec<String>,
}

/// A call to the store.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum StoreCall {
    /// Reads a key.
    Get {
        /// Key.
        key: String,
    },
    /// Reads a page of the keys that start with a prefix.
    Range {
        /// Prefix.
        prefix: String,
        /// Last key of the page before; empty for the first.
        after: String,
    },
    /// Waits for changes.
    Watch {
        /// Prefix.
        prefix: String,
        /// Revision after which changes count.
        after: u64,
        /// Longest wait, in milliseconds.
        wait_ms: u64,
    },
    /// Changes keys.
    Commit(StoreCommit),
    /// Creates a lease.
    Grant {
        /// Time to live, in milliseconds.
        ttl_ms: u64,
    },
    /// Renews a lease.
    Renew(LeaseId),
    /// Ends a lease.
    Revoke(LeaseId),
}

/// A reply of the store.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum StoreReply {
    /// The item, if there is one.
    Item(Option<StoreItem>),
    /// A page of items.
    Page {
        /// Items in the order of their keys.
        items: Vec<StoreItem>,
        /// Whether there are more.
        more: bool,
        /// Revision of the store at the reading.
        revision: u64,
    },
    /// Changes.
    Events {
        /// Changes in order.
        events: Vec<StoreEvent>,
        /// Revision to continue from.
        revision: u64,
    },
    /// The history that was asked for is gone.
    Compacted,
    /// The commit took effect with this revision.
    Committed(u64),
    /// The commit did not take effect; the expected keys as they are.
    Conflict(Vec<StoreItem>),
    /// No such lease.
    NoLease,
    /// A lease and its time to live, in milliseconds.
    Lease {
        /// Identifier.
        id: LeaseId,
        /// Time to live, in milliseconds.
        ttl_ms: u64,
    },
    /// Renewed or ended.
    Done,
    /// Nothing was done.
    Refused {
        /// HTTP status.
        status: u16,
    },
}
