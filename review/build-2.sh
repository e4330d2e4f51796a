#!/bin/sh
# Builds the stand-ins of the second review's scripts, without a network. Run from any folder, after the build of the
# deploy file.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review-2
rustc -O --edition 2024 -o target/review-2/harness-2 review/harness-2.rs
