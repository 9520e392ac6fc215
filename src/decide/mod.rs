//! Decisions: pure state machines and functions over borrowed views.
//!
//! They hold no socket, no clock and no randomness: the time is an argument, as
//! a [`std::time::Duration`] since the start of the process, and what is to be
//! done is returned as actions.

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
