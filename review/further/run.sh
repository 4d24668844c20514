#!/usr/bin/env bash
# Plays a fault that is no case: run.sh restarted | joined-versions | stale-server. Exits as the cases
# do; the record is written to the folder's record-NAME.txt.
set -u
case_name="${1:?restarted, joined-versions or stale-server}"
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
timeout --foreground 118 "$stand_ins" "$case_name" "$folder/record-$case_name.txt" &
group=$!
trap 'kill -KILL -- "-$group" 2>/dev/null; rm -rf "$CASE_TMP"' EXIT
trap 'exit 2' INT TERM
wait "$group"
code=$?
[ "$code" -le 2 ] || code=2
exit "$code"
