#!/bin/sh
# Case 1. Exit status: 0 if the rule held, 1 if it was broken, 2 if the case could not run.
# TROUBLE=0 leaves the disruption out. Build before: the command of deploy/service.toml, then review/build.sh.
here=$(cd "$(dirname "$0")" && pwd) || exit 2
cd "$here/../.." || exit 2
[ -x target/review/release/review-rig ] && [ -x target/release/hookway ] || exit 2
target/review/release/review-rig flapping "$here/record.txt" &
rig=$!
# If the script is ended early, the processes that it started end too; the record names them.
end_all() {
    for pid in "$rig" $(sed -n 's/.* started, pid //p' "$here/record.txt"); do
        kill -9 "$pid" 2>/dev/null
    done
    exit 2
}
trap end_all INT TERM HUP
wait "$rig"
exit $?
