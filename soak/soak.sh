#!/usr/bin/env bash
# Runs the system under load and faults with separate processes, then compares
# the ledgers of operators, members, callers and backend servers. The verdict
# is on promises, never on durations. The seed picks the order of the faults.
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
controls 3

faults=("$@")
if [ ${#faults[@]} = 0 ]; then
  mapfile -t faults < <(printf '%s\n' leader_killed leader_frozen disk_lost_then_second_killed \
    cut_off_while_balancer_starts balancer_1_killed balancer_2_killed balancer_frozen balancer_stopped \
    agent_frozen agent_stopped agent_killed backend_killed server_killed server_drained several_at_once | shuf --random-source=<(yes "$seed"))
fi

echo "seed $seed: three control instances, two balancers, four agents; faults: ${faults[*]}"
secrets
for n in 1 2 3; do control_settings $n; start_control $n; done
for n in 1 2; do balancer_settings $n 8443 8444 8445; start_balancer $n; done
for n in 1 2; do start_agent $n reservas; done
for n in 3 4; do start_agent $n galeria; done
routes=()
for p in 8443 8444 8445; do routes+=(--route "127.0.0.1:$p=127.0.1.1:$p,127.0.1.2:$p"); done
start fabric "$bin/standin" fabric "${routes[@]}"
check "members announce themselves" eventually 20 in_force 0 6
new_submission first 0
submit_until_answered first
check "the first rule file is in force everywhere" eventually 20 in_force 1 6

# The load ends by itself, some time after the last fault.
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
check "the load was real: submissions, holds, uploads, refusals, whole streams" eval '
  at_least 20 newest && at_least 100 count "\$1 == \"answered\" && /\"hold/" && at_least 10 count "/\"upload/" &&
  at_least 1 count "\$1 == \"notRun\" && \$2 != \"-\"" && at_least 6 count "\$1 == \"whole\""'
check "exactly one submission wins on each base" none two_winners
check "every accepted revision stands on the one before it" none skipped_revisions
check "every submission has an answer" none unanswered
check "every resend gets its first answer" none changed_answers
check "the newest accepted file is the one in force" newest_is_in_force
check "no ready member's revision or epoch ever fell" none fell_back
check "no frozen instance served anything stale" none stale
check "nothing ran twice" none run_twice
check "nothing crossed between services" none crossed
check "no request refused as not run ran" none not_run_that_ran
check "every answered request ran" none answered_not_run
check "every keyed request was answered or refused as not run or unknown" none not_honest
check "no stream was cut but those of killed servers" none cut_streams

n=$(follower)
stop "control-$n" KILL
start_control "$n"
check "the restarted instance follows" eventually 20 is_voter "$n"
check "after $(newest) revisions a restarted instance replays under 200 entries" replays_few "$n"
finish
