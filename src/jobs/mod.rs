//! Durable jobs on pools of workers: their types, stored records and scheduler.
//!
//! [`types`] holds what callers submit, [`record`] what is stored, and [`engine`] the
//! scheduler of a shard, whose parts are the other modules. Nothing here does I/O or
//! reads a clock: the service passes events and times to the scheduler and executes the
//! actions that it returns.

pub mod account;
pub mod account_lanes;
pub mod account_rates;
pub mod account_status;
pub mod actions;
pub mod admit;
pub mod advice;
pub mod advice_calls;
pub mod advice_gang;
pub mod advice_requests;
pub mod callers;
pub mod candidates;
pub(crate) mod capability;
pub mod choose;
pub mod codec;
pub mod config;
pub mod confirmation;
pub mod copies;
pub mod dirty;
pub mod ending;
pub mod engine;
pub mod entries;
pub mod fleet;
pub mod gang;
pub mod holds;
pub mod incarnations;
pub mod isolation;
pub mod job;
pub mod lanes;
pub mod ledger;
pub mod lend;
pub mod limits;
pub mod listed_workers;
pub mod load;
pub mod loss_record;
pub mod losses;
pub mod lost_workers;
pub mod machines;
pub mod moves;
pub mod orders;
pub mod outlook;
pub mod pace;
pub mod passes;
pub mod period;
pub mod permits;
pub mod place;
pub mod place_shares;
pub mod price;
pub mod price_input;
pub mod quarantine;
pub mod rate;
pub mod record;
pub mod rest;
pub mod restore;
pub mod returns;
pub mod shapes;
pub mod share;
pub mod size_guard;
pub mod stable_map;
pub mod stops;
pub mod task;
pub mod terms;
pub mod turns;
pub mod types;
pub mod unplaceable;
pub mod unresponsive;
pub mod vm_list;
pub mod waiting;
pub mod wave;
pub mod worker;
pub mod writes;
