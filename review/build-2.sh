#!/bin/sh
# Builds the stand-ins of the cases 6 to 10; needs only the compiler.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review-2
rustc --edition 2024 -O --crate-name bed_2 -o target/review-2/bed-2 review/bed-2-main.rs
