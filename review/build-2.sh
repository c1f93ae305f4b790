#!/bin/sh
# Builds the stand-ins and clients of the cases in review/6 and later. They use the standard library
# only, so that the build needs no network.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review-2
rustc --edition 2024 -O -D warnings -o target/review-2/rig review/rig-2/main.rs
