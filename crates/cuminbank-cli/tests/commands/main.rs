//! Commands as an operator runs them, against servers in the process of the test.

mod common;
mod profiles;
mod work;
