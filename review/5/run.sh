#!/usr/bin/env bash
# Runs case 5; see claim.txt. Needs the build of the deploy file and review/build.sh.
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run.
set -u
here="$(cd "$(dirname "$0")" && pwd)"
cd "$here/../.." || exit 2
[ -x review/bin/standin ] && [ -x target/control ] && [ -x target/balancer ] && [ -x target/agent ] || {
	echo "build first: the command in deploy/system.toml, then review/build.sh" >&2
	exit 2
}
RECORD="$here/record.txt" TROUBLE="${TROUBLE:-1}" exec review/bin/standin seeds
