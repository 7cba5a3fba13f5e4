#!/usr/bin/env bash
# Builds every stand-in that the scripts of the second review start. Needs no network.
set -euo pipefail
cd "$(dirname "$0")/.."
cargo build --release --offline --manifest-path review/standin-2/Cargo.toml --target-dir target/review-2
