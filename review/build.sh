#!/bin/sh
# Builds the stand-ins of the scripts, without a network. Run from any folder, after the build of the deploy file.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review
rustc -O --edition 2021 -o target/review/harness review/harness.rs
