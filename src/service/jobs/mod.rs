//! Services of an entry VM that accepts jobs: the HTTP API for callers, ownership of
//! the shard, the scheduler, and the calls that the scheduler requests.
//!
//! Every entry VM runs the same services. One entry VM at a time owns the shard and
//! runs its scheduler; the others relay callers' requests to the owner.

pub mod attempts;
pub mod claim;
pub mod commit;
mod election;
pub mod exchange;
pub mod execute;
pub mod front;
pub mod load;
pub mod member;
pub mod messages;
pub mod node;
pub mod operator;
pub mod owner;
pub mod peer;
mod reclaim;
pub mod relay;
pub mod settings;
pub mod shard;
pub mod status;
pub mod store;
pub mod watch;
