#!/usr/bin/env bash
# Runs the case. TROUBLE=0 leaves the disruption out. Exits with 0, 1 or 2 as review/standin/main.rs says.
set -u
cd "$(dirname "$0")/../.." || exit 2
for program in target/release/bluebellferry-edge target/review/review-standin; do
  [ -x "$program" ] || { echo "not built: $program" >&2; exit 2; }
done
exec target/review/review-standin older-store review/5/record.txt
