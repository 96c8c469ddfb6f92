#!/usr/bin/env bash
# Builds the stand-ins that the scripts of the cases from 4 on start. It needs no network: their only dependency is a
# crate that the workspace uses as well, in the version of the workspace's lock file.
set -euo pipefail
cd "$(dirname "$0")/.."
cargo build --release --offline --manifest-path review/rig-2/Cargo.toml --target-dir target/review-2
