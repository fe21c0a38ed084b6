#!/usr/bin/env bash
# Plays the case "offboarded"; see claim.txt. TROUBLE=0 leaves the disruption out.
cd "$(dirname "$0")/../.." || exit 2
exec target/review/standin-2 offboarded review/9/record.txt
