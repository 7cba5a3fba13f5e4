//! Scheduler for colocated latency-critical and batch work.
//!
//! The core is a reducer: [`reducer::EntryReducer::apply`] takes an event with the time at which it
//! happened and returns effects as data. It reads no clock and does no I/O, and all its randomness
//! comes from a seed, so that any run can be reproduced exactly.

pub mod admission;
pub mod effect;
pub mod event;
pub mod guards;
pub mod health;
pub mod histogram;
pub mod ids;
pub mod interference;
pub mod ledger;
pub mod log;
pub mod membership;
pub mod message;
pub mod ownership;
pub mod placement;
pub mod profile;
pub mod profile_set;
pub mod quota;
pub mod record;
pub mod reducer;
pub mod runtimes;
pub mod settings;
pub mod store;
pub mod worker;
