//! Tests of complete command lines against servers in the test process.

mod common;
mod pool;
mod profiles;
mod work;
