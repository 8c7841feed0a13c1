# Functions shared by the scripts that run the system on loopback.
# shellcheck shell=bash

top=$(cd "$(dirname "${BASH_SOURCE[0]}")/.." && pwd)
bin=$top/bin
run=$(mktemp -d "${TMPDIR:-/tmp}/balsampier.XXXXXX")
declare -A pids=()
failed=0

# start NAME COMMAND... runs a process in the background and notes its id.
start() {
  local name=$1
  shift
  "$@" >"$run/$name.out" 2>"$run/$name.log" &
  pids[$name]=$!
}

# stop NAME SIGNAL ends one process that start began and waits for it.
stop() {
  kill "-$2" "${pids[$1]}" 2>/dev/null || true
  wait "${pids[$1]}" 2>/dev/null || true
  unset "pids[$1]"
}

stop_all() {
  local name
  for name in "${!pids[@]}"; do kill -KILL "${pids[$name]}" 2>/dev/null || true; done
  wait 2>/dev/null || true
}

# known_red TEXT is true when KNOWN-RED.txt lists the check with that text.
known_red() { grep -qF "check: $1 |" "$top/KNOWN-RED.txt"; }

# check TEXT COMMAND... prints whether the command succeeded. The failure of a
# check that KNOWN-RED.txt lists is printed and does not count.
check() {
  local text=$1
  shift
  if "$@" >"$run/check.out" 2>&1; then
    echo "ok    $text"
  else
    if known_red "$text"; then
      echo "known $text"
    else
      echo "FAIL  $text"
      failed=1
    fi
    sed 's/^/      /' "$run/check.out"
  fi
}

# eventually SECONDS COMMAND... repeats the command until it succeeds.
eventually() {
  local end=$((SECONDS + $1))
  shift
  until "$@"; do
    [ "$SECONDS" -lt "$end" ] || return 1
    sleep 0.1
  done
}

finish() {
  stop_all
  if [ "$failed" = 0 ]; then
    rm -rf "$run"
    echo "all results are right"
  else
    echo "some results are wrong; logs are in $run"
  fi
  exit "$failed"
}

common() { # NAME DATACENTRE ADDRESS PORT
  cat <<YAML
name: $1
dataCentre: $2
operatorAddress: $3:$4
operatorKeyFile: $run/operator.key
peerKeyFile: $run/peer.key
YAML
}

secrets() {
  "$bin/balsampier" key "$run/operator.key"
  "$bin/balsampier" key "$run/peer.key"
  "$bin/balsampier" cert "$run/cert.pem" "$run/key.pem" --host 127.0.0.1
}

# controls N names N control instances in the variables that settings use.
controls() {
  local n
  control_peers='[' control_instances='[' control_urls=
  for n in $(seq "$1"); do
    control_peers+="\"127.0.3.$n:7000\","
    control_instances+="{name: control-$n, peerAddress: \"127.0.3.$n:7000\"},"
    control_urls+="http://127.0.3.$n:7100,"
  done
  control_peers=${control_peers%,}] control_instances=${control_instances%,}] control_urls=${control_urls%,}
}

control_settings() { # N
  { common "control-$1" lima-1 "127.0.3.$1" 7100; cat <<YAML
peerAddress: 127.0.3.$1:7000
dataFolder: $run/control-$1
instances: $control_instances
YAML
  } >"$run/control-$1.yaml"
}

balancer_settings() { # N, then the service ports
  local n=$1 p
  shift
  { common "balancer-$n" lima-1 "127.0.1.$n" 7100; cat <<YAML
peerAddress: 127.0.1.$n:7000
control: $control_peers
services:
YAML
    for p in "$@"; do
      printf '  - address: 127.0.0.1:%s\n    bind: 127.0.1.%s:%s\n' "$p" "$n" "$p"
    done
  } >"$run/balancer-$n.yaml"
}

agent_settings() { # N
  { common "agent-$1" lima-1 "127.0.2.$1" 7100; cat <<YAML
peerAddress: 127.0.2.$1:7000
control: $control_peers
backendAddress: 127.0.2.$1:7200
certFile: $run/cert.pem
keyFile: $run/key.pem
requests:
  - {method: POST, class: urgent}
  - {method: GET, pathPrefix: /stream, stream: true}
YAML
  } >"$run/agent-$1.yaml"
}

start_agent() { # N SERVICE
  agent_settings "$1"
  start "agent-$1" "$bin/agent" run --config "$run/agent-$1.yaml"
  start_backend "$1" "$2"
}

start_backend() { # N SERVICE
  start "backend-$1" "$bin/standin" backend --name "backend-$1" --service "$2" --address "127.0.2.$1:9000" \
    --agent "127.0.2.$1:7200" --slots 5 --ledger "$run/backend.ledger" --work "${work:-2ms}"
}

operate() { "$bin/balsampier" --control "$control_urls" --key-file "$run/operator.key" "$@"; }
call() { "$bin/standin" caller --ca "$run/cert.pem" "$@"; }

# in_force REVISION COUNT is true when COUNT members have the revision.
in_force() { [ "$(operate status 2>/dev/null | grep -c " $1 *up to date")" = "$2" ]; }
