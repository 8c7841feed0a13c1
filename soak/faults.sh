# Faults; each one ends with the system as it was before.
# shellcheck shell=bash

leader() { operate status 2>/dev/null | sed -n 's/.*leader control-//p'; }
follower() { local l; l=$(leader); echo $((l % 3 + 1)); }
led_by_other() { local l; l=$(leader); [ -n "$l" ] && [ "$l" != "$1" ]; }
led() { [ -n "$(leader)" ]; }
start_control() { start "control-$1" "$bin/control" run --config "$run/control-$1.yaml"; }
start_balancer() { start "balancer-$1" "$bin/balancer" run --config "$run/balancer-$1.yaml"; }
freeze() { kill -STOP "${pids[$1]}"; }
thaw() { kill -CONT "${pids[$1]}"; }

# note_killed NAME notes when a backend server or its agent was killed.
note_killed() { echo "$1 $(date +%s)" >>"$run/killed"; }

# passes_on NUMBER is true when more submissions were accepted than that.
passes_on() { [ "$(newest)" -gt "$1" ]; }

# control_goes_on checks that control accepts again.
control_goes_on() { check "control goes on: $1" eventually 30 passes_on "$(newest)"; }

is_voter() { # N
  operate dump "http://127.0.3.$1:7100" 2>/dev/null | grep -q '"blank": false' &&
    operate dump "http://127.0.3.$(leader):7100" 2>/dev/null | tr -d ' \n' | grep -q '"learners":\[\],'
}

leader_killed() {
  local l
  l=$(leader)
  stop "control-$l" KILL
  check "another control instance leads" eventually 30 led_by_other "$l"
  control_goes_on "leader killed"
  start_control "$l"
}

# ask_frozen asks an instance that is frozen; the answer must cover all that
# was accepted before the question.
ask_frozen() { # N REVISION
  local got
  got=$("$bin/balsampier" --control "http://127.0.3.$1:7100" --key-file "$run/operator.key" \
    rules -o "$run/frozen-$BASHPID.txt" 2>&1 | sed -n 's/.*: revision //p') || true
  [ -n "$got" ] || return 0
  echo "$got" >>"$run/frozen.answers"
  [ "$got" -ge "$2" ] || echo "control-$1 answered revision $got after $2 was accepted" >>"$run/stale"
}

leader_frozen() {
  local l n p=()
  l=$(leader)
  freeze "control-$l"
  sleep 9
  check "another control instance leads while the leader is frozen" eventually 30 led_by_other "$l"
  control_goes_on "leader frozen"
  for n in 1 2 3; do ask_frozen "$l" "$(newest)" & p+=($!); done
  sleep 0.5
  thaw "control-$l"
  for n in 1 2 3 4 5; do ask_frozen "$l" "$(newest)"; done
  wait "${p[@]}"
  control_goes_on "leader thawed"
}

disk_lost_then_second_killed() {
  local lost second before
  lost=$(follower)
  stop "control-$lost" KILL
  rm -r "$run/control-$lost"
  start_control "$lost"
  check "an instance that lost its disk becomes a voter again" eventually 40 is_voter "$lost"
  before=$(newest)
  second=$(leader)
  stop "control-$second" KILL
  check "a second one killed right after the repair: control leads again" eventually 30 led_by_other "$second"
  covers() { local r; r=$(operate rules -o "$run/repair.txt" 2>&1 | sed -n "s/.*: revision //p") || return 1; [ -n "$r" ] && [ "$r" -ge "$before" ]; }
  check "what was accepted before the second death is still there" eventually 20 covers
  control_goes_on "second instance killed after a repair"
  start_control "$second"
  check "all three instances run again" eventually 30 is_voter "$second"
}

# cut_off_while_balancer_starts starts a balancer that knows only the instance
# that is cut off.
cut_off_while_balancer_starts() {
  local n r
  n=$(follower)
  freeze "control-$n"
  sleep 3
  control_goes_on "follower cut off"
  balancer_settings 3 8443 8444 8445
  sed -i "s/^control: .*/control: [\"127.0.3.$n:7000\"]/" "$run/balancer-3.yaml"
  start_balancer 3
  sleep 2
  r=$(newest)
  ready() { operate dump http://127.0.1.3:7100 2>/dev/null | grep -q '"ready": true'; }
  check "a fresh balancer is not ready while its control instance is cut off" eval '! ready'
  thaw "control-$n"
  check "it is ready once the instance is back" eventually 30 ready
  operate dump http://127.0.1.3:7100 >"$run/balancer-3.dump" || true
  fresh() { [ "$(sed -n 's/^  "revision": \([0-9]*\),/\1/p' "$run/balancer-3.dump")" -ge "$r" ]; }
  check "its first rules are the newest, not those of before the cut" fresh
  stop balancer-3 TERM
}

balancer_killed() { stop "balancer-$1" KILL; sleep 2; start_balancer "$1"; sleep 2; }
balancer_1_killed() { balancer_killed 1; }
balancer_2_killed() { balancer_killed 2; }
balancer_frozen() { freeze balancer-1; sleep 3; thaw balancer-1; sleep 1; }
balancer_stopped() { stop balancer-2 TERM; start_balancer 2; sleep 2; }
agent_frozen() { freeze agent-1; sleep 2; thaw agent-1; sleep 1; }

# agent_stopped stops an agent as planned while its server knows of nothing.
agent_stopped() {
  stop agent-1 TERM
  start agent-1 "$bin/agent" run --config "$run/agent-1.yaml"
  sleep 2
}

# agent_killed kills the agent alone; its backend server works on.
agent_killed() {
  note_killed backend-2
  stop agent-2 KILL
  sleep 1
  start agent-2 "$bin/agent" run --config "$run/agent-2.yaml"
  sleep 3
}

# backend_killed kills the backend server alone; its agent lives on.
backend_killed() {
  note_killed backend-2
  stop backend-2 KILL
  sleep 2
  start_backend 2 reservas
  sleep 2
}

server_killed() {
  note_killed backend-2
  stop agent-2 KILL
  stop backend-2 KILL
  sleep 1
  start_agent 2 reservas
  sleep 3
}

# server_drained drains a server, then stops its agent as planned.
server_drained() {
  exec 3<>/dev/tcp/127.0.2.1/9000
  printf 'POST /drain HTTP/1.0\r\n\r\n' >&3
  exec 3>&-
  sleep 2
  # What arrives later than a few seconds after the word is new work.
  drained_at=$(grep -c '' "$run/backend.ledger")
  sleep 3
  late() { tail -n "+$((drained_at + 1))" "$run/backend.ledger" | grep '^backend-1 '; }
  check "a drained server gets no new work" eval '! late'
  stop agent-1 TERM
  stop backend-1 TERM
  start_agent 1 reservas
  sleep 2
}

# several_at_once has faults of all kinds at the same moment.
several_at_once() {
  local l
  l=$(leader)
  note_killed backend-2
  freeze "control-$l"
  stop balancer-1 KILL
  stop agent-2 KILL
  stop backend-2 KILL
  freeze balancer-2
  sleep 2
  thaw balancer-2
  start_balancer 1
  start_agent 2 reservas
  check "another control instance leads" eventually 30 led_by_other "$l"
  control_goes_on "several faults at once"
  thaw "control-$l"
  sleep 2
}
