#!/usr/bin/env bash
# Builds the stand-ins that the scripts in 6 to 10 start. Needs no network: they use no library.
set -euo pipefail
cd "$(dirname "$0")/.."
cargo build --release --offline --locked --manifest-path review/stand-ins-2/Cargo.toml --target-dir target/review-2
