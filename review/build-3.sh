#!/bin/bash
# Builds the stand-ins that the cases of the third review start. Run after the build of the deploy file.
set -e
cd "$(dirname "$0")/.."
cargo build --release --locked --offline --manifest-path review/stand-ins-3/Cargo.toml --target-dir target/review-3
