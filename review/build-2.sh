#!/usr/bin/env bash
# Builds what the scripts in review/6 to review/10 start: the project's stand-ins, the client programs
# in review/lib-2, which use the standard library only, and the stand-ins of review/lib, which are
# Python programs and are read through.
set -euo pipefail
cd "$(dirname "$0")/.."
cargo build --release --locked --package standin --bin standin
mkdir -p target/review-2
rustc --edition 2024 -O -o target/review-2/tool review/lib-2/tests/tool.rs
for file in review/lib/*.py review/6/*.py; do
  python3 -c 'import ast, sys; ast.parse(open(sys.argv[1]).read(), sys.argv[1])' "$file"
done
