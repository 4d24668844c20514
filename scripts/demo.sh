#!/usr/bin/env bash
# Builds, starts stand-ins and three daemons, publishes a contract, streams a generation, kills the
# daemon that streams it, and shows that the reader misses nothing. Everything ends with it.
set -euo pipefail
cd "$(dirname "$0")/.."

cargo build --workspace --locked
exec target/debug/comfreymast-load demo
