#!/usr/bin/env bash
# Plays the deployments that count now, each in full, and prints its score, its gate and its worth by
# day. The oldest deployment is played as a smoke test only. Large deployments are played alone.
# usage: deploy/regression.sh BENCH SITES    (the bench's program; the folder of the users' site files)
set -euo pipefail
bench=$1
sites=$2
cd "$(dirname "$0")/.."
output=target/regression
mkdir -p "$output"

play() {
  local site=$1
  shift
  local name
  name=$(basename "$site" .toml)
  # A failed gate is printed below, and the other deployments are still played.
  "$bench" score "$sites/$site" --jobs 3 --why "regression run" "$@" > "$output/$name.txt" 2>&1 || true
  echo "== $name"
  grep -E '^(score|quiet|trouble|scale|fresh|GATE)' "$output/$name.txt" || tail -n 3 "$output/$name.txt"
}

play large/foldwise-gw-large.toml
play further-grown/vsw-gateway-grown.toml
play further/vsw-gateway.toml
play sites/foldwise-gw.toml --quick
