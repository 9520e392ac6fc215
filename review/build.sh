#!/bin/sh
# Builds the stand-ins of the scripts; they need no library and no network.
set -eu
root=$(cd "$(dirname "$0")/.." && pwd)
cargo build --release --offline --locked \
    --manifest-path "$root/review/standins/Cargo.toml" \
    --target-dir "$root/target/review"
