#!/usr/bin/env bash
# Runs the former case 10: exit code 1 if the rule was broken, 0 if it held, 2 if it couldn't run.
cd "$(dirname "$0")/../../.." || exit 2
[ -x target/fescuebankd ] && [ -x target/review-2/split ] || exit 2
exec target/review-2/split
