#!/usr/bin/env bash
# Runs all programs on loopback as separate processes, goes through the main use
# cases and checks each result.
set -euo pipefail
# shellcheck source=demo/lib.sh
. "$(dirname "$0")/lib.sh"
trap 'stop_all' EXIT
set_control_addresses 3

echo "starting three control instances, two balancers, four agents and the stand-ins"
create_secrets
for n in 1 2 3; do
  control_settings $n
  start control-$n "$bin/control" run --config "$run/control-$n.yaml"
done
for n in 1 2; do
  balancer_settings $n 8443 8444 8445
  start balancer-$n "$bin/balancer" run --config "$run/balancer-$n.yaml"
done
start_agent 1 reservas
start_agent 2 reservas
start_agent 3 galeria
start_agent 4 galeria
cold_until=$((SECONDS + 12)) # Servers get equal shares after their warm-up of 10 s.
routes=()
for p in 8443 8444 8445; do routes+=(--route "127.0.0.1:$p=127.0.1.1:$p,127.0.1.2:$p"); done
start fabric "$bin/standin" fabric "${routes[@]}"

cat >"$run/rules.txt" <<'RULES'
rule reservas to 127.0.0.1:8443 from 0.0.0.0/0 daily 00:00-24:00 America/Lima class urgent # Rosa, all day
rule galeria to 127.0.0.1:8444 from 0.0.0.0/0 # Rosa, photos
clock America/Lima at 2027-03-14T02:00 offset -04:00 # decree of 2027-02-20
RULES
check "all members register" eventually 10 in_force 0 6
check "the rule file is accepted" operate submit "$run/rules.txt"
check "the rule file is in force on every balancer and agent" eventually 10 in_force 1 6
# sees_agents N COUNT succeeds if the view of balancer N has COUNT agents: rules
# and views come into force one after the other.
sees_agents() { operate dump "http://127.0.1.$1:7100" | grep -q "\"agents\": $2,"; }
all_see_agents() { sees_agents 1 4 && sees_agents 2 4; }
check "every balancer has all agents in its view" eventually 10 all_see_agents

expect() { # TEXT COMMAND... succeeds when the output is TEXT
  local want=$1 got
  shift
  got=$("$@") || return 1
  [ "$got" = "$want" ] || { echo "got: $got"; return 1; }
}
check "GET reaches reservas" expect "reservas GET /slots " call https://127.0.0.1:8443/slots
check "POST reaches reservas" expect "reservas POST /holds bench 4" call --method POST --body "bench 4" https://127.0.0.1:8443/holds
check "GET reaches galeria" expect "galeria GET /photo/1 " call https://127.0.0.1:8444/photo/1
check "200 holds by 20 callers run once each" call --keyed --method POST --callers 20 --count 10 --body hold --ledger "$run/caller.ledger" https://127.0.0.1:8443/holds
holds_ran_once() { [ "$(grep -c '"hold' "$run/backend.ledger")" = 200 ] && [ -z "$(grep '"hold' "$run/backend.ledger" | awk '{print $4}' | sort | uniq -d)" ]; }
check "the ledger of the backend servers shows 200 holds without a duplicate" holds_ran_once
key=$("$bin/standin" key)
call_with_same_key() { call --key "$key" --method POST --body "once" https://127.0.0.1:8443/holds; }
check "a request with a key is answered" expect "reservas POST /holds once" call_with_same_key
resends() { local n; for n in 1 2 3 4 5 6; do expect "reservas POST /holds once" call_with_same_key || return 1; done; }
check "six resends with the same key get the same answer" resends
ran() { [ "$(grep -c "$1" "$run/backend.ledger")" = "$2" ]; }
check "the request with the key ran once" ran '"once"' 1
reuse_key() { { call --key "$key" --method POST --body "twice" https://127.0.0.1:8443/holds 2>&1 || true; } | grep keyOfOtherRequest; }
check "a different request with the same key is refused" reuse_key
check "the refused request did not run" ran '"twice"' 0

ran_at() { awk -v s="$1" -v b="\"$2" '$1 == s && index($5, b) == 1' "$run/backend.ledger" | wc -l; } # SERVER BODY
warm() { [ "$SECONDS" -ge "$cold_until" ]; }
check "the backend servers are warm" eventually 15 warm
check "200 callers call reservas at once" call --keyed --method POST --callers 200 --body even --ledger "$run/caller.ledger" https://127.0.0.1:8443/holds
balanced() { local a b; a=$(ran_at backend-1 even) b=$(ran_at backend-2 even); echo "$a and $b"; [ $((a + b)) = 200 ] && [ "$a" -le 110 ] && [ "$b" -le 110 ]; }
check "neither server gets more than 1.1 times the mean" balanced

announce_drain() { exec 3<>/dev/tcp/127.0.2.2/9000; printf 'POST /drain%s HTTP/1.0\r\n\r\n' "$1" >&3; grep -q 204 <&3; exec 3>&-; }
start drained "$bin/standin" caller --ca "$run/cert.pem" --stream --callers 10 "https://127.0.0.1:8443/stream?lines=70"
sleep 1
check "a server starts to drain" announce_drain ''
sleep 2
check "50 callers are served 2 s after the start of the drain" call --keyed --method POST --callers 50 --body drained --ledger "$run/caller.ledger" https://127.0.0.1:8443/holds
check "none of the 50 requests ran at the draining server" expect "0 50" eval 'echo "$(ran_at backend-2 drained) $(ran_at backend-1 drained)"'
check "10 streams over both servers complete" wait "${pids[drained]}"
unset "pids[drained]"
check "the server ends its drain" announce_drain '?end=1'
gets_requests_after_drain() { call --keyed --method POST --callers 10 --body again --ledger "$run/caller.ledger" https://127.0.0.1:8443/holds && [ "$(ran_at backend-2 again)" -gt 0 ]; }
check "the server gets new requests after its drain" eventually 10 gets_requests_after_drain
stop backend-2 KILL
check "50 callers are served after a server was killed" call --keyed --method POST --callers 50 --count 2 --body dead --ledger "$run/caller.ledger" https://127.0.0.1:8443/holds
check "each of the 100 requests ran once, at the other server" expect "0 100" eval 'echo "$(ran_at backend-2 dead) $(ran_at backend-1 dead)"'
start_backend 2 reservas
gets_requests_after_restart() { call --keyed --method POST --callers 10 --body alive --ledger "$run/caller.ledger" https://127.0.0.1:8443/holds && [ "$(ran_at backend-2 alive)" -gt 0 ]; }
check "the killed server gets requests after its restart" eventually 10 gets_requests_after_restart
refused() { { call --timeout 3s https://127.0.0.1:8445/ 2>&1 || true; } | grep CONNECTION_REFUSED; }
check "a connection to a service without a rule is refused" refused

start stream "$bin/standin" caller --ca "$run/cert.pem" --stream --callers 5 "https://127.0.0.1:8443/stream?lines=80"
sleep 2
stop balancer-1 KILL
sleep 2
start balancer-1 "$bin/balancer" run --config "$run/balancer-1.yaml"
sleep 1
stop balancer-2 KILL
start balancer-2 "$bin/balancer" run --config "$run/balancer-2.yaml"
check "5 streams complete while both balancers are killed and restarted in turn" wait "${pids[stream]}"
unset "pids[stream]"

echo "rule reservas to 127.0.0.1" >"$run/bad.txt"
submit_malformed() { local code=0; operate submit "$run/bad.txt" || code=$?; [ "$code" = 2 ]; }
check "a malformed rule file is refused with exit code 2" submit_malformed
sed -i 's/photos/photos, asked again/' "$run/rules.txt"
check "an edited rule file is accepted" operate submit "$run/rules.txt"
check "revision 2 is in force everywhere" eventually 10 in_force 2 6
leader() { operate status 2>/dev/null | sed -n 's/.*leader control-//p'; }
old=$(leader)
stop control-"$old" KILL
another_leads() { local l; l=$(leader); [ -n "$l" ] && [ "$l" != "$old" ]; }
check "another control instance leads after the leader was killed" eventually 15 another_leads
check "revision 2 is still in force everywhere" eventually 15 in_force 2 6
rm -r "$run/control-$old"
start control-"$old" "$bin/control" run --config "$run/control-$old.yaml"
no_learners() { operate dump "http://127.0.3.$(leader):7100" | tr -d ' \n' | grep -q '"learners":\[\],'; }
is_voter() { operate dump "http://127.0.3.$old:7100" | grep -q '"blank": false' && no_learners; }
check "the killed instance becomes a voter again after it restarts with an empty disk" eventually 15 is_voter
sed -i 's/asked again/asked a third time/' "$run/rules.txt"
check "an edited rule file is accepted" operate submit "$run/rules.txt"
check "revision 3 is in force everywhere" eventually 10 in_force 3 6
check "requests are served after the restart" expect "galeria GET /photo/2 " call https://127.0.0.1:8444/photo/2
stop agent-4 TERM
check "after one agent of galeria was stopped, the other serves requests" expect "galeria GET /photo/3 " call https://127.0.0.1:8444/photo/3
finish
