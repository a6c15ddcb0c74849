#!/usr/bin/env bash
# Builds the stand-ins of the review cases into target/review. Needs rustc only, and no package.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review
rustc --edition 2021 -C opt-level=2 -o target/review/standin review/standin/main.rs
