//! Names the build after the version and the commit, for `cuminbank pool` and the logs.

use std::{path::Path, process::Command};

fn main() {
    let commit = git(&["rev-parse", "--short=7", "HEAD"]);
    // The log of HEAD changes with every commit and checkout.
    if let Some(path) = git(&["rev-parse", "--git-path", "logs/HEAD"]) {
        if Path::new(&path).exists() {
            println!("cargo::rerun-if-changed={path}");
        }
    }
    println!("cargo::rerun-if-changed=build.rs");
    let version = env!("CARGO_PKG_VERSION");
    let build = commit.map_or_else(|| version.to_owned(), |commit| format!("{version}+{commit}"));
    println!("cargo::rustc-env=CUMINBANK_BUILD={build}");
}

/// Returns the output of git, or `None` outside of a repository.
fn git(arguments: &[&str]) -> Option<String> {
    let output = Command::new("git").args(arguments).output().ok()?;
    let text = String::from_utf8(output.stdout).ok()?;
    output.status.success().then(|| text.trim().to_owned())
}
