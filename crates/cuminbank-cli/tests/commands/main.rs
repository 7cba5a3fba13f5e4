//! Commands as an operator runs them, against servers in the process of the test.

mod common;
mod pool;
mod profiles;
mod work;
