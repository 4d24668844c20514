#!/usr/bin/env bash
# Plays the case against the built daemon. Exits with 1 if the rule was broken, 0 if it held, and 2
# if the case could not run. TROUBLE=0 leaves the disruption out.
set -u
folder="$(cd "$(dirname "$0")" && pwd)"
root="$(cd "$folder/../.." && pwd)"
export COMFREYMAST="$root/target/release/comfreymast"
stand_ins="$root/target/review/release/review-stand-ins"
if [ ! -x "$COMFREYMAST" ] || [ ! -x "$stand_ins" ]; then
    echo "build the daemon as deploy/system.toml says, then review/build.sh"
    exit 2
fi
CASE_TMP="$(mktemp -d)"
export CASE_TMP
# The stand-ins and the daemons that they start are one process group, which ends with this script.
set -m
timeout --foreground 118 "$stand_ins" split-route "$folder/record.txt" &
group=$!
trap 'kill -KILL -- "-$group" 2>/dev/null; rm -rf "$CASE_TMP"' EXIT
trap 'exit 2' INT TERM
wait "$group"
code=$?
[ "$code" -le 2 ] || code=2
exit "$code"
