#!/usr/bin/env bash
# Kills, freezes and restarts agents under requests with keys and compares what
# callers were told with what the backend servers ran.
set -euo pipefail
# shellcheck source=demo/lib.sh
. "$(dirname "$0")/../demo/lib.sh"
trap 'stop_all' EXIT
controls 1
work=20ms

secrets
control_settings 1
start control-1 "$bin/control" run --config "$run/control-1.yaml"
balancer_settings 1 8443
start balancer-1 "$bin/balancer" run --config "$run/balancer-1.yaml"
for n in 1 2 3 4; do start_agent $n reservas; done
start fabric "$bin/standin" fabric --route 127.0.0.1:8443=127.0.1.1:8443
echo "rule reservas to 127.0.0.1:8443 from 0.0.0.0/0 # Rosa, all day" >"$run/rules.txt"
check "members announce themselves" eventually 10 in_force 0 5
check "the rule file is accepted" operate submit "$run/rules.txt"
check "it is in force everywhere" eventually 10 in_force 1 5

start callers "$bin/standin" caller --ca "$run/cert.pem" --keyed --method POST --callers 40 --count 60 --timeout 3s \
  --body hold --ledger "$run/caller.ledger" https://127.0.0.1:8443/holds
sleep 2
stop agent-1 KILL
sleep 3
kill -STOP "${pids[agent-2]}"
sleep 7
kill -CONT "${pids[agent-2]}"
stop backend-1 KILL
start_agent 1 reservas
sleep 2
stop agent-3 TERM
check "all callers are told an outcome" wait "${pids[callers]}"
unset "pids[callers]"

awk '{print $4}' "$run/backend.ledger" | sort >"$run/ran"
told() { awk -v o="$1" '$1 == o {print $2}' "$run/caller.ledger" | sort; }
once() { ! uniq -d "$run/ran" | grep .; }
answered_ran() { ! comm -23 <(told answered) "$run/ran" | grep .; }
not_run() { ! comm -12 <(told notRun) "$run/ran" | grep .; }
check "none of them ran twice" once
check "all that were answered ran" answered_ran
check "none that was refused as not run ran" not_run
for o in answered notRun unknown; do echo "      $o: $(told $o | wc -l)"; done
echo "      reasons of unknown:"
awk '$1 == "unknown" {print $3}' "$run/caller.ledger" | sort | uniq -c
echo "      of which ran: $(comm -12 <(told unknown) "$run/ran" | wc -l)"
finish
