# The faults that soak.sh injects. Each function undoes its fault before it
# returns: every process runs again.
# shellcheck shell=bash

leader() { operate status 2>/dev/null | sed -n 's/.*leader control-//p'; }
follower() { local l; l=$(leader); echo $((l % 3 + 1)); }
other_leads() { local l; l=$(leader); [ -n "$l" ] && [ "$l" != "$1" ]; }
led() { [ -n "$(leader)" ]; }
start_control() { start "control-$1" "$bin/control" run --config "$run/control-$1.yaml"; }
start_balancer() { start "balancer-$1" "$bin/balancer" run --config "$run/balancer-$1.yaml"; }
freeze() { kill -STOP "${pids[$1]}"; }
thaw() { kill -CONT "${pids[$1]}"; }

# record_kill NAME records the time at which a backend server or its agent was
# killed.
record_kill() { echo "$1 $(date +%s)" >>"$run/killed"; }

# accepted_beyond REVISION succeeds if a newer revision has been accepted.
accepted_beyond() { [ "$(newest)" -gt "$1" ]; }

# check_control_accepts TEXT checks that control accepts another submission.
check_control_accepts() { check "control accepts submissions: $1" eventually 30 accepted_beyond "$(newest)"; }

# is_voter N succeeds if instance N has its state again and the leader has no
# learners.
is_voter() { # N
  operate dump "http://127.0.3.$1:7100" 2>/dev/null | grep -q '"blank": false' &&
    operate dump "http://127.0.3.$(leader):7100" 2>/dev/null | tr -d ' \n' | grep -q '"learners":\[\],'
}

leader_killed() {
  local l
  l=$(leader)
  stop "control-$l" KILL
  check "another control instance leads" eventually 30 other_leads "$l"
  check_control_accepts "leader killed"
  start_control "$l"
}

# read_from_frozen reads the rules from a frozen instance. The response must not
# be older than REVISION, the newest one accepted before the query.
read_from_frozen() { # N REVISION
  local got
  got=$("$bin/balsampier" --control "http://127.0.3.$1:7100" --key-file "$run/operator.key" \
    rules -o "$run/frozen-$BASHPID.txt" 2>&1 | sed -n 's/.*: revision //p') || true
  [ -n "$got" ] || return 0
  echo "$got" >>"$run/frozen.answers"
  [ "$got" -ge "$2" ] || echo "control-$1 returned revision $got after $2 was accepted" >>"$run/stale"
}

leader_frozen() {
  local l n p=()
  l=$(leader)
  freeze "control-$l"
  sleep 9
  check "another control instance leads while the leader is frozen" eventually 30 other_leads "$l"
  check_control_accepts "leader frozen"
  for n in 1 2 3; do read_from_frozen "$l" "$(newest)" & p+=($!); done
  sleep 0.5
  thaw "control-$l"
  for n in 1 2 3 4 5; do read_from_frozen "$l" "$(newest)"; done
  wait "${p[@]}"
  check_control_accepts "leader thawed"
}

disk_lost_then_second_killed() {
  local lost second before
  lost=$(follower)
  stop "control-$lost" KILL
  rm -r "$run/control-$lost"
  start_control "$lost"
  check "an instance becomes a voter again after it restarts with an empty disk" eventually 40 is_voter "$lost"
  before=$(newest)
  second=$(leader)
  stop "control-$second" KILL
  check "control has a leader after a second instance was killed right after the repair" eventually 30 other_leads "$second"
  has_revision_before_kill() { local r; r=$(operate rules -o "$run/repair.txt" 2>&1 | sed -n "s/.*: revision //p") || return 1; [ -n "$r" ] && [ "$r" -ge "$before" ]; }
  check "control has all revisions accepted before the second kill" eventually 20 has_revision_before_kill
  check_control_accepts "second instance killed after a repair"
  start_control "$second"
  check "all three instances run again" eventually 30 is_voter "$second"
}

# cut_off_while_balancer_starts starts a balancer that has only the address of a
# frozen control instance.
cut_off_while_balancer_starts() {
  local n r
  n=$(follower)
  freeze "control-$n"
  sleep 3
  check_control_accepts "follower frozen"
  balancer_settings 3 8443 8444 8445
  sed -i "s/^control: .*/control: [\"127.0.3.$n:7000\"]/" "$run/balancer-3.yaml"
  start_balancer 3
  sleep 2
  r=$(newest)
  ready() { operate dump http://127.0.1.3:7100 2>/dev/null | grep -q '"ready": true'; }
  check "a new balancer is not ready while its control instance is frozen" eval '! ready'
  thaw "control-$n"
  check "the new balancer is ready after the instance is thawed" eventually 30 ready
  operate dump http://127.0.1.3:7100 >"$run/balancer-3.dump" || true
  has_newest_rules() { [ "$(sed -n 's/^  "revision": \([0-9]*\),/\1/p' "$run/balancer-3.dump")" -ge "$r" ]; }
  check "the first rules of the new balancer are the newest, not those from before the freeze" has_newest_rules
  stop balancer-3 TERM
}

balancer_killed() { stop "balancer-$1" KILL; sleep 2; start_balancer "$1"; sleep 2; }
balancer_1_killed() { balancer_killed 1; }
balancer_2_killed() { balancer_killed 2; }
balancer_frozen() { freeze balancer-1; sleep 3; thaw balancer-1; sleep 1; }
balancer_stopped() { stop balancer-2 TERM; start_balancer 2; sleep 2; }
agent_frozen() { freeze agent-1; sleep 2; thaw agent-1; sleep 1; }

# agent_stopped shuts an agent down gracefully and starts it again. Its backend
# server is not notified and keeps running.
agent_stopped() {
  stop agent-1 TERM
  start agent-1 "$bin/agent" run --config "$run/agent-1.yaml"
  sleep 2
}

# agent_killed kills only the agent; its backend server keeps running.
agent_killed() {
  record_kill backend-2
  stop agent-2 KILL
  sleep 1
  start agent-2 "$bin/agent" run --config "$run/agent-2.yaml"
  sleep 3
}

# backend_killed kills only the backend server; its agent keeps running.
backend_killed() {
  record_kill backend-2
  stop backend-2 KILL
  sleep 2
  start_backend 2 reservas
  sleep 2
}

# server_killed kills an agent and its backend server.
server_killed() {
  record_kill backend-2
  stop agent-2 KILL
  stop backend-2 KILL
  sleep 1
  start_agent 2 reservas
  sleep 3
}

# server_drained drains a backend server, then shuts its agent and the server
# down gracefully.
server_drained() {
  exec 3<>/dev/tcp/127.0.2.1/9000
  printf 'POST /drain HTTP/1.0\r\n\r\n' >&3
  exec 3>&-
  sleep 2
  # Two seconds after the drain began, every request at the server is a new one.
  drained_at=$(grep -c '' "$run/backend.ledger")
  sleep 3
  ran_after_drain() { tail -n "+$((drained_at + 1))" "$run/backend.ledger" | grep '^backend-1 '; }
  check "a draining server gets no new requests" eval '! ran_after_drain'
  stop agent-1 TERM
  stop backend-1 TERM
  start_agent 1 reservas
  sleep 2
}

# several_at_once injects faults into control, both balancers, an agent and a
# backend server at the same time.
several_at_once() {
  local l
  l=$(leader)
  record_kill backend-2
  freeze "control-$l"
  stop balancer-1 KILL
  stop agent-2 KILL
  stop backend-2 KILL
  freeze balancer-2
  sleep 2
  thaw balancer-2
  start_balancer 1
  start_agent 2 reservas
  check "another control instance leads" eventually 30 other_leads "$l"
  check_control_accepts "several faults at once"
  thaw "control-$l"
  sleep 2
}
