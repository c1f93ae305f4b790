#!/usr/bin/env bash
# Builds the programs of the scripts, with the standard library only, into target/review.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review
for main in review/[1-9]*/main.rs; do
  rustc --edition 2024 -O -o "target/review/case-$(basename "$(dirname "$main")")" "$main"
done
