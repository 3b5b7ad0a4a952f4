#!/bin/sh
# Builds the stand-in that the scripts start. It needs the Rust toolchain and no package.
set -e
cd "$(dirname "$0")/.."
mkdir -p target/review
rustc --edition 2024 -O -o target/review/standin review/standin/main.rs
