#!/usr/bin/env bash
# Builds the stand-ins that the cases start. They need the standard library only.
set -euo pipefail
cd "$(dirname "$0")/.."
cargo build --release --offline --manifest-path review/stand-ins/Cargo.toml --target-dir target/review
