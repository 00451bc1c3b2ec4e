#!/usr/bin/env bash
# Builds the stand-ins of all cases into the target folder of the repository, without a network.
set -euo pipefail
cd "$(dirname "$0")/harness"
cargo build --release --locked --offline --target-dir ../../target
