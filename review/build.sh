#!/bin/sh
# Builds the stand-ins and scenarios of the cases, after the build of the deploy file. Needs no network.
cd "$(dirname "$0")/.." || exit 2
exec cargo build --release --offline --manifest-path review/rig/Cargo.toml --target-dir target/review
