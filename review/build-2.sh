#!/bin/sh
# Builds the stand-ins of the cases 6 to 10: one program, from the standard library alone.
set -e
cd "$(dirname "$0")/.."
mkdir -p target/review-2
rustc --edition 2021 -O -o target/review-2/review-2 review/standin-2/main.rs
