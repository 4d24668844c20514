#!/usr/bin/env bash
# Runs every check: format, lints, all tests. Tests listed in KNOWN-RED.txt are passed over and
# printed at the end.
set -euo pipefail
cd "$(dirname "$0")/.."

known_red=()
if [ -f KNOWN-RED.txt ]; then
    while read -r test; do
        known_red+=(--skip "$test")
    done < <(sed -n 's/^test: *//p' KNOWN-RED.txt)
fi

cargo fmt --all --check
cargo clippy --workspace --all-targets --locked -- -D warnings
# Proofs start the programs of this workspace, so those are built first.
cargo build --workspace --locked
cargo test --workspace --locked -- "${known_red[@]+"${known_red[@]}"}"

if [ -f KNOWN-RED.txt ]; then
    echo "Known red, passed over:"
    cat KNOWN-RED.txt
fi
