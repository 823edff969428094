#!/bin/bash
# Builds the test rig of the third review, with all stand-ins that its scripts start.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review-3
rustc --edition 2024 -O review/rig-3/main.rs -o target/review-3/rig
