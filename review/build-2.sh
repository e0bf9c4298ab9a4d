#!/usr/bin/env bash
# Builds the stand-ins of the cases of the second review, with the standard library alone.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-2
for case in review/standin-2/*.rs; do
  name=$(basename "$case" .rs)
  [ "$name" = world ] && continue
  rustc --edition 2024 -O -A dead_code -o "target/review-2/$name" "$case"
done
