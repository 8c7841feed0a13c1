#!/usr/bin/env bash
# Kills, freezes and restarts agents under keyed requests, then compares the
# outcomes that callers received with the requests that backend servers ran.
set -euo pipefail
# shellcheck source=demo/lib.sh
. "$(dirname "$0")/../demo/lib.sh"
trap 'stop_all' EXIT
set_control_addresses 1
work=20ms

create_secrets
control_settings 1
start control-1 "$bin/control" run --config "$run/control-1.yaml"
balancer_settings 1 8443
start balancer-1 "$bin/balancer" run --config "$run/balancer-1.yaml"
for n in 1 2 3 4; do start_agent $n reservas; done
start fabric "$bin/standin" fabric --route 127.0.0.1:8443=127.0.1.1:8443
echo "rule reservas to 127.0.0.1:8443 from 0.0.0.0/0 # Rosa, all day" >"$run/rules.txt"
check "all members register" eventually 10 in_force 0 5
check "the rule file is accepted" operate submit "$run/rules.txt"
check "the rule file is in force everywhere" eventually 10 in_force 1 5

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
check "all callers receive an outcome" wait "${pids[callers]}"
unset "pids[callers]"

awk '{print $4}' "$run/backend.ledger" | sort >"$run/ran"
keys_with_outcome() { awk -v o="$1" '$1 == o {print $2}' "$run/caller.ledger" | sort; }
none_twice() { ! uniq -d "$run/ran" | grep .; }
all_answered_ran() { ! comm -23 <(keys_with_outcome answered) "$run/ran" | grep .; }
no_not_run_ran() { ! comm -12 <(keys_with_outcome notRun) "$run/ran" | grep .; }
check "no request ran twice" none_twice
check "every answered request ran" all_answered_ran
check "no request refused as not run ran" no_not_run_ran
for o in answered notRun unknown; do echo "      $o: $(keys_with_outcome $o | wc -l)"; done
echo "      reasons of unknown outcomes:"
awk '$1 == "unknown" {print $3}' "$run/caller.ledger" | sort | uniq -c
echo "      of which ran: $(comm -12 <(keys_with_outcome unknown) "$run/ran" | wc -l)"
finish
