#!/bin/sh
# Plays the case of this folder; TROUBLE=0 leaves the disruption out. Exit code 0: held, 1: broken, 2: could not run.
here=$(cd "$(dirname "$0")" && pwd) && root=$(cd "$here/../.." && pwd) || exit 2
stand=$root/target/review-2/stand
for program in "$stand" "$root/target/release/hollypaddle"; do
    [ -x "$program" ] || { echo "$program is missing: build first, see claim.txt" >&2; exit 2; }
done
"$stand" foreign-end "$root" "$here/record.txt" &
trap 'kill $! 2>/dev/null; exit 2' INT TERM HUP
wait $!
