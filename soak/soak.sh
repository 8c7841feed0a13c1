#!/usr/bin/env bash
# Runs the system as separate processes under load and faults, then compares the
# ledgers of operators, members, callers and backend servers. The checks at the
# end are on guarantees, never on durations. The seed sets the order of the
# faults.
# Usage: soak.sh [SEED] [FAULT...]
set -euo pipefail
seed=${1:-1}
shift || true
work=50ms
# shellcheck source=demo/lib.sh
. "$(dirname "$0")/../demo/lib.sh"
# shellcheck source=soak/load.sh
. "$top/soak/load.sh"
# shellcheck source=soak/faults.sh
. "$top/soak/faults.sh"
# shellcheck source=soak/promises.sh
. "$top/soak/promises.sh"
trap 'code=$?; stop_all; [ $code = 0 ] || echo "ended with code $code; logs are in $run"' EXIT
set_control_addresses 3

faults=("$@")
if [ ${#faults[@]} = 0 ]; then
  mapfile -t faults < <(printf '%s\n' leader_killed leader_frozen disk_lost_then_second_killed \
    cut_off_while_balancer_starts balancer_1_killed balancer_2_killed balancer_frozen balancer_stopped \
    agent_frozen agent_stopped agent_killed backend_killed server_killed server_drained several_at_once | shuf --random-source=<(yes "$seed"))
fi

echo "seed $seed: three control instances, two balancers, four agents; faults: ${faults[*]}"
create_secrets
for n in 1 2 3; do control_settings $n; start_control $n; done
for n in 1 2; do balancer_settings $n 8443 8444 8445; start_balancer $n; done
for n in 1 2; do start_agent $n reservas; done
for n in 3 4; do start_agent $n galeria; done
routes=()
for p in 8443 8444 8445; do routes+=(--route "127.0.0.1:$p=127.0.1.1:$p,127.0.1.2:$p"); done
start fabric "$bin/standin" fabric "${routes[@]}"
check "all members register" eventually 20 in_force 0 6
new_submission first 0
submit_until_answered first
check "the first rule file is in force everywhere" eventually 20 in_force 1 6

# The load lasts an hour at most; it is stopped after the last fault.
load 3600
sleep 2
for f in "${faults[@]}"; do
  echo "      fault: $f"
  "$f"
done
sleep 3
served() { call --service galeria --timeout 5s https://127.0.0.1:8444/photo; }
check "requests are served after all faults" eventually 20 served
touch "$run/ended"
for n in streams flood holds once uploads; do stop $n TERM; done
for n in operator-a operator-b; do wait "${pids[$n]}" || true; unset "pids[$n]"; done

echo "      comparing ledgers: $(accepted | wc -l) accepted of $(ls "$submissions" | wc -l) submissions," \
  "$(count '1') outcomes at callers, $(grep -c '' "$run/backend.ledger") runs at backend servers"
check "the load included enough submissions, holds, uploads, refusals and complete streams" eval '
  at_least 20 newest && at_least 100 count "\$1 == \"answered\" && /\"hold/" && at_least 10 count "/\"upload/" &&
  at_least 1 count "\$1 == \"notRun\" && \$2 != \"-\"" && at_least 6 count "\$1 == \"whole\""'
check "at most one submission is accepted on each base" prints_nothing two_winners
check "every accepted revision is based on the one before it" prints_nothing skipped_revisions
check "every submission has an answer" prints_nothing unanswered
check "every resend gets the first answer again" prints_nothing changed_answers
check "the newest accepted rule file is in force" newest_is_in_force
check "the revision and the epoch of a ready member never decrease" prints_nothing regressions
check "no frozen instance returned a stale revision" prints_nothing stale_reads
check "no request ran twice" prints_nothing run_twice
check "no request or answer reached the wrong service" prints_nothing crossed_services
check "no request refused as not run ran" prints_nothing not_run_that_ran
check "every answered request ran" prints_nothing answered_not_run
check "every keyed request was answered or refused as not run or unknown" prints_nothing unexpected_outcomes
check "no stream was cut, except those of killed servers" prints_nothing cut_streams

n=$(follower)
stop "control-$n" KILL
start_control "$n"
check "the restarted instance is a voter again" eventually 20 is_voter "$n"
check "after $(newest) revisions a restarted instance replays fewer than 200 entries" replays_under_200 "$n"
finish
