#!/usr/bin/env bash
# Builds the stand-in of the review's scripts. It needs the standard library only.
set -euo pipefail
cd "$(dirname "$0")/standin"
GOWORK=off go build -buildvcs=false -o ../bin/standin .
