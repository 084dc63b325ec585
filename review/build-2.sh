#!/usr/bin/env bash
# Builds what the scripts in review/6 to review/10 start: the project's stand-ins, and the client
# programs in review/lib-2, which use the standard library only.
set -euo pipefail
cd "$(dirname "$0")/.."
cargo build --release --locked --package standin --bin standin
mkdir -p target/review-2
rustc --edition 2024 -O -o target/review-2/tool review/lib-2/tests/tool.rs
