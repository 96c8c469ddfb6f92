#!/bin/sh
# Case 1. Exit status: 0 if the rule held, 1 if it was broken, 2 if the case could not run.
# TROUBLE=0 leaves the disruption out. Build before: the command of deploy/service.toml, then review/build.sh.
here=$(cd "$(dirname "$0")" && pwd) || exit 2
cd "$here/../.." || exit 2
[ -x target/review/release/review-rig ] && [ -x target/release/hookway ] || exit 2
exec target/review/release/review-rig flapping "$here/record.txt"
