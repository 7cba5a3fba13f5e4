//! Entry daemon.
fn main() {}
