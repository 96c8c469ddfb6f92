#!/usr/bin/env bash
# Case 8: see claim.txt. Exit status: 1 the rule was broken, 0 it held, 2 the case could not run.
# TROUBLE=0: without the disruption. Build before with the command of the deploy file and review/build-2.sh.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/release/hookway ] && [ -x target/review-2/release/case-8 ] || exit 2
exec timeout --kill-after=5 115 target/review-2/release/case-8
