#!/bin/sh
# Builds the stand-ins of the third review, which play the store, the servers and the clients of its scripts.
set -eu
cd "$(dirname "$0")/standins-3"
exec env CARGO_TARGET_DIR=../../target/review-3 cargo build --release --offline --locked
