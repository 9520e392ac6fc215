//! Services of the daemons: tasks that own sockets and state.

pub mod audit;
pub mod config;
pub mod control;
pub mod daemon;
pub mod entry;
pub mod evidence;
pub mod fleet;
pub mod ingress;
pub mod jobs;
pub mod peers;

pub use crate::clock::unix_ms;
