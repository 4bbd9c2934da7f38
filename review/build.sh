#!/usr/bin/env bash
# Builds the stand-ins that the scripts of the review start. Needs no network.
cd "$(dirname "$0")/.." || exit 2
exec cargo build --release --offline --locked --manifest-path review/cases/Cargo.toml --target-dir target/review
