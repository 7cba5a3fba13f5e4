//! Fake store, fake executors and a simulated pool in virtual time in which several instances share
//! them.

#![allow(dead_code, reason = "each test binary uses only some of the helpers")]

pub mod checks;
pub mod jobs;
pub mod ownership;
pub mod simulation;
