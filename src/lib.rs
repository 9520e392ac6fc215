//! Coordination parts of a fleet capacity and maintenance manager.
//!
//! Decisions are pure functions and state machines over plain structs: they take
//! the state and the time and return actions. Services own sockets and state, run
//! as tasks under a small service kernel and exchange typed messages. The daemons
//! only connect the two.

pub mod audit;
pub mod clock;
pub mod config;
pub mod decide;
pub mod fleet;
pub mod http;
pub mod jobs;
pub mod keep_alive;
pub mod kernel;
pub mod logs;
pub mod metrics;
pub mod names;
pub mod peer;
pub mod platform;
pub mod ports;
pub mod report;
pub mod request;
pub mod service;
pub mod settings;
