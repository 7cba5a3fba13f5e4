//! Fake store, fake executors and a simulated pool in virtual time in which several instances share
//! them.

#![allow(dead_code, reason = "each test file uses a part")]

pub mod checks;
pub mod jobs;
pub mod ownership;
pub mod simulation;
