#!/bin/sh
# Exits with 1 if the rule was broken, 0 if it held, and 2 if the case could not run.
# TROUBLE=0 leaves out the disruption.
here=$(cd "$(dirname "$0")" && pwd)
root=$(cd "$here/../.." && pwd)
[ -x "$root/target/review-rig" ] || { echo "run review/build-2.sh first"; exit 2; }
exec "$root/target/review-rig" kind "$root" "$here/record-kind.txt"
