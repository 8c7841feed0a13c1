#!/usr/bin/env bash
# Measures with real processes which part of the requests of one class is served
# while another class gets ten times the capacity of the servers, and prints one
# line for each measure. Both rates, with and without the flood, come from the
# same run.
set -euo pipefail
# shellcheck source=demo/lib.sh
. "$(dirname "$0")/../demo/lib.sh"
trap 'stop_all' EXIT
set_control_addresses 1
work=20ms
span=${SPAN:-8s}
bound=0.95

create_secrets
control_settings 1
start control-1 "$bin/control" run --config "$run/control-1.yaml"
for n in 1 2; do
  balancer_settings $n 8443
  start balancer-$n "$bin/balancer" run --config "$run/balancer-$n.yaml"
done
for n in 1 2; do start_agent $n reservas; done
start fabric "$bin/standin" fabric --route 127.0.0.1:8443=127.0.1.1:8443,127.0.1.2:8443
echo "rule reservas to 127.0.0.1:8443 from 0.0.0.0/0 # Rosa, all day" >"$run/rules.txt"
check "all members register" eventually 10 in_force 0 4
check "the rule file is accepted" operate submit "$run/rules.txt"
check "the rule file is in force everywhere" eventually 10 in_force 1 4

# Two servers with 5 slots each and 20 ms of work serve 500 requests a second.
# Holds come at 160 a second, half of their share; photos at 100, two thirds of
# theirs.
holds() { call --keyed --resends 0 --method POST --body hold --for "$span" --ledger "$run/$1" "${@:2}" https://127.0.0.1:8443/holds; }
photos() { call --for "$span" --ledger "$run/$1" "${@:2}" https://127.0.0.1:8443/photo; }
answered() { grep -c '^answered' "$run/$1" || true; }
measure() { # NAME LEDGER_WITH_FLOOD LEDGER_WITHOUT_FLOOD
  awk -v n="$1" -v a="$(answered "$2")" -v b="$(answered "$3")" -v m=$bound 'BEGIN {
    printf "measure=%s value=%.3f bound=%s ok=%s answered=%d withoutFlood=%d\n", n, a / b, m, (a / b >= m ? "true" : "false"), a, b }'
}

report_flood() { # LEDGER
  echo "      the flood: $(wc -l <"$run/$1") requests, $(answered "$1") answered, $(grep -c '^notRun' "$run/$1" || true) refused as not run, $(grep -c '^unknown' "$run/$1" || true) unknown"
}

holds holds.calm --callers 32 --every 200ms
start flood "$bin/standin" caller --ca "$run/cert.pem" --for "$span" --callers 100 --overlap 90 --every 20ms --ledger "$run/photos.flood" https://127.0.0.1:8443/photo
holds holds.flooded --callers 32 --every 200ms
wait "${pids[flood]}" || true
unset "pids[flood]"
report_flood photos.flood
measure floodOfPhotos.holds holds.flooded holds.calm

photos photos.calm --callers 20 --every 200ms
start flood "$bin/standin" caller --ca "$run/cert.pem" --for "$span" --callers 100 --overlap 90 --every 20ms --keyed --resends 0 \
  --method POST --body flood --ledger "$run/holds.flood" https://127.0.0.1:8443/holds
photos photos.flooded --callers 20 --every 200ms
wait "${pids[flood]}" || true
unset "pids[flood]"
report_flood holds.flood
measure floodOfHolds.photos photos.flooded photos.calm
finish
