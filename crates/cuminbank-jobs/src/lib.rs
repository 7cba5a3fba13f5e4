//! Multi-step jobs on a shared pool of executors.
//!
//! [`scheduler::JobScheduler`] makes the decisions of a cell's owner. It turns events into effects
//! and uses neither clock nor network nor randomness. [`ownership::OwnershipState`] decides which
//! instance is the owner. [`acceptance`] decides how an instance answers the submissions that it
//! receives. All durable state is in the platform's store, under the keys of [`keys`].

pub mod acceptance;
pub mod admission;
pub mod backfill;
pub mod calm_placement;
pub mod cells;
pub mod colocation;
pub mod config;
pub mod division;
pub mod evacuation;
pub mod formats;
pub mod guards;
pub mod ids;
pub mod instances;
pub mod job;
pub mod keys;
pub mod lease_bounds;
pub mod lease_handover;
pub mod order;
pub mod ownership;
pub mod pace;
pub mod peer;
pub mod placement;
pub mod priority;
pub mod progress;
pub mod relay;
pub mod roster;
pub mod scheduler;
pub mod settings;
pub mod slack;
pub mod store;
pub mod work_limit;
