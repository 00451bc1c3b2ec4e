#!/usr/bin/env bash
# Builds the stand-ins of the second review's script cases, beside what the deploy file builds.
set -euo pipefail
cd "$(dirname "$0")/.."
cargo build --release --locked --offline --manifest-path review/harness-2/Cargo.toml --target-dir target
