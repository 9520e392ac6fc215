//! Decision logic: pure state machines and functions over borrowed views.
//!
//! Nothing here does I/O, reads a clock or draws random numbers. The time is an
//! argument, usually a [`std::time::Duration`] since the start of the process, and
//! the result is a list of actions for a service to carry out.

pub mod connections;
pub mod controller;
pub mod dispatch;
pub mod forward;
pub mod health;
pub mod lending;
pub mod membership;
pub mod placement;
pub mod planner;
pub mod queue;
pub mod reserve;
pub mod resources;
pub mod retry;
pub mod slots;
