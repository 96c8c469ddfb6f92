#!/usr/bin/env bash
# Case 8: see claim.txt. Exit status: 1 the rule was broken, 0 it held, 2 the case could not run.
# TROUBLE=0: without the disruption. Build before with the command of the deploy file and review/build-2.sh.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/release/hookway ] && [ -x target/review-2/release/case-8 ] || exit 2
TMPDIR=$(mktemp -d) || exit 2
export TMPDIR
# At the time limit, all processes of the case are ended with it: they share its process group.
timeout --kill-after=3 115 target/review-2/release/case-8
status=$?
rm -rf "$TMPDIR"
case $status in
0 | 1) exit "$status" ;;
*) exit 2 ;;
esac
