#!/usr/bin/env bash
# Builds the stand-ins that the scripts of review/11 to review/15 start. The daemons are built by the
# deploy file.
set -euo pipefail
cd "$(dirname "$0")/.."
cargo build --release --locked --offline --manifest-path review/standin-3/Cargo.toml \
  --target-dir target/review-3
