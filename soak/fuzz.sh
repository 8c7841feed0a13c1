#!/usr/bin/env bash
# Runs each fuzz target for TIME, by default 20s. Usage: fuzz.sh [TIME]
set -euo pipefail
cd "$(dirname "$0")/.."
found=$(grep -rno --include='*_test.go' '^func Fuzz[A-Za-z0-9]*' . | sed 's/^\(.*\)\/[^/]*:[0-9]*:func /\1 /')
[ -n "$found" ] || { echo "no fuzz targets found"; exit 1; }
while read -r package target; do
  echo "fuzz $target in $package"
  go test -run '^$' -fuzz "^$target\$" -fuzztime "${1:-20s}" -parallel 2 "$package"
done <<<"$found"
