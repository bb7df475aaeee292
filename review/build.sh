#!/bin/sh
# Builds the stand-ins that the scripts of the cases start.
set -eu
cd "$(dirname "$0")/.."
cargo build --release --locked --offline --manifest-path review/harness/Cargo.toml --target-dir target/review
