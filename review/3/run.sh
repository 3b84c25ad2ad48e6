#!/bin/sh
# Plays case 3 (see claim.txt). TROUBLE=0 plays it without the freezes. Exit status: 0 the rule held, 1 it was broken,
# 2 the case could not run.
here=$(cd "$(dirname "$0")" && pwd) || exit 2
cd "$here/../.." || exit 2
[ -x target/pulleyring ] && [ -x target/review-standin ] || { echo "build first: deploy/system.toml and review/build.sh"; exit 2; }
exec timeout -s KILL 118 target/review-standin freeze "$here/record.txt"
