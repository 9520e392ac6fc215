//! Small stand-ins of the platform, backend servers and callers.
//!
//! Each runs as a separate process or as tasks of a test.

pub mod backend;
pub mod call;
pub mod demo;
pub mod deployment;
pub mod platform;
pub mod relay;
pub mod server;
