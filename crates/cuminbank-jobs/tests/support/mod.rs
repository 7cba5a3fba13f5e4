//! Small fakes of the store and of executors, and a world in virtual time in which several
//! instances share them.

#![allow(dead_code, reason = "each test file uses a part")]

pub mod checks;
pub mod jobs;
pub mod ownership;
pub mod world;
