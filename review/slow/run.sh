#!/usr/bin/env bash
# Plays the case after the build of the deploy file and review/build-3.sh. Exit codes: 1 the rule was broken, 0 it held, 2 the
# case couldn't run. With TROUBLE=0 it plays without the disruption.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/review3/slow ] && [ -x target/fescuebankd ] || exit 2
exec target/review3/slow
