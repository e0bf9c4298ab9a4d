#!/usr/bin/env bash
# Builds the stand-ins of the cases 11 to 15: one program with the standard library only.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review-3
rustc --edition 2024 -O -o target/review-3/standin review/standin-3/main.rs
