#!/bin/sh
# Builds the stand-ins of the cases review/6 to review/10, into target/review-2.
set -eu
cd "$(dirname "$0")/.."
CARGO_TARGET_DIR=target/review-2 cargo build --release --locked --offline \
    --manifest-path review/stand-ins-2/Cargo.toml
