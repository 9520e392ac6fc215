//! The parts of the project's test harness that the cases use.

/// Host name in the requests of clients.
pub const HOST: &str = "jobs.example";

#[allow(dead_code)]
#[path = "../../../platform/tests/harness/store.rs"]
pub mod store;
