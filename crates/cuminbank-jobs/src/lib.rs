//! Jobs of several steps on a shared pool of executors.
//!
//! [`scheduler::JobScheduler`] decides for the owner of a pool: it takes events and returns effects,
//! without clock, network or randomness. [`ownership::OwnershipState`] decides who the owner is.
//! [`acceptance`] decides how an entry instance answers submissions. Everything durable is in the
//! platform's store, below the keys of [`keys`].

pub mod acceptance;
pub mod cells;
pub mod colocation;
pub mod config;
pub mod guards;
pub mod ids;
pub mod job;
pub mod keys;
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
