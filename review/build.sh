#!/usr/bin/env bash
# Builds the stand-ins of the scripts, with the standard library only.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review
rustc --edition 2021 -O -o target/review/review-standin review/standin/main.rs
