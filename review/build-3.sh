#!/usr/bin/env bash
# Builds the stand-ins that the scripts of the third review start. Run after the build of the deploy file.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-3
rustc --edition 2024 -O review/harness-3.rs -o target/review-3/harness-3
