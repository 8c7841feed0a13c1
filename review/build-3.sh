#!/usr/bin/env bash
# Builds the stand-in of the scripts of the third review.
set -euo pipefail
cd "$(dirname "$0")/standin-3"
mkdir -p ../../target
GOWORK=off go build -o ../../target/standin-3 .
