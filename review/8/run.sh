#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run. TROUBLE=0 leaves the disruption out.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/review-2/rig3 ] && [ -x target/fescuebankd ] || exit 2
exec target/review-2/rig3 nested target/fescuebankd review/8/record.txt
