//! Services of an entry VM that takes jobs: callers' requests, ownership of shards,
//! the scheduler and what it calls.
//!
//! Every entry VM runs the same services. One of them owns the shard at a time; the
//! others relay callers' requests to it.

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
pub mod relay;
pub mod serve;
pub mod settings;
mod shard;
pub mod store;
pub mod watch;
