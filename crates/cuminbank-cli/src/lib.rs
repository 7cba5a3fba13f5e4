//! Operators' command line and evening report of cuminbank.

pub mod report;
