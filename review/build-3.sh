#!/bin/sh
# Builds the stand-ins that the scripts of the cases 11 to 15 start. Needs no network.
set -eu
root=$(CDPATH= cd -- "$(dirname -- "$0")/.." && pwd)
cargo build --release --offline --quiet \
    --manifest-path "$root/review/stand-ins-3/Cargo.toml" \
    --target-dir "$root/target/review-3"
