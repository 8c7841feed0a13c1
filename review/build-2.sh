#!/usr/bin/env bash
# Builds the stand-in that the scripts of cases 6 to 10 start. It uses the
# standard library only, so that no network is needed.
set -euo pipefail
cd "$(dirname "$0")/standin-2"
mkdir -p bin
GOWORK=off GOPROXY=off GOTOOLCHAIN=local go build -buildvcs=false -o bin/standin-2 .
