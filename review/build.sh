#!/usr/bin/env bash
# Builds the stand-in that the scripts start. It has no dependency but the standard library.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review
rustc --edition 2024 -O --crate-name standin -o target/review/standin review/standin/main.rs
