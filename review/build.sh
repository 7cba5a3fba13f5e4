#!/usr/bin/env bash
# Builds the stand-in of the scripts. It needs no network once the deploy file has been built.
set -euo pipefail
cd "$(dirname "$0")/standin"
exec cargo build --release --locked
