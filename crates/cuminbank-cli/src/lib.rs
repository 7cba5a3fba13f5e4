//! Command line for operators of cuminbank, with the daily report.

pub mod apply;
pub mod exit;
pub mod flags;
pub mod operate_commands;
pub mod pool_commands;
pub mod profile_commands;
pub mod profile_file;
pub mod report;
pub mod run;
pub mod session;
pub mod work_commands;
