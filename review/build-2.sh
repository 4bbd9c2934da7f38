#!/bin/sh
# Builds what the scripts of review/6 to review/10 start, beside the program of the deploy file.
set -eu
cd "$(dirname "$0")/.."
cargo build --release --offline --locked --manifest-path review/standins-2/Cargo.toml --target-dir target/review-2
