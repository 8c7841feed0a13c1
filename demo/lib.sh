# Functions shared by the demo and the soak scripts, which run the system on
# loopback.
# shellcheck shell=bash

top=$(cd "$(dirname "${BASH_SOURCE[0]}")/.." && pwd)
bin=$top/bin
run=$(mktemp -d "${TMPDIR:-/tmp}/balsampier.XXXXXX")
declare -A pids=()
failed=0

# start NAME COMMAND... runs a process in the background and records its PID in
# pids[NAME]. Its output goes to $run/NAME.out, its log to $run/NAME.log.
start() {
  local name=$1
  shift
  "$@" >"$run/$name.out" 2>"$run/$name.log" &
  pids[$name]=$!
}

# stop NAME SIGNAL sends the signal to the process that start NAME began and
# waits for its exit.
stop() {
  kill "-$2" "${pids[$1]}" 2>/dev/null || true
  wait "${pids[$1]}" 2>/dev/null || true
  unset "pids[$1]"
}

# stop_all kills every process that start began and waits for all of them.
stop_all() {
  local name
  for name in "${!pids[@]}"; do kill -KILL "${pids[$name]}" 2>/dev/null || true; done
  wait 2>/dev/null || true
}

# known_red TEXT succeeds if KNOWN-RED.txt lists the check with that text.
known_red() { grep -qF "check: $1 |" "$top/KNOWN-RED.txt"; }

# check TEXT COMMAND... runs the command and prints whether it succeeded, with
# the output of a command that failed. A failure makes the script exit with 1,
# unless KNOWN-RED.txt lists the check.
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

# eventually SECONDS COMMAND... retries the command every 100 ms until it
# succeeds; it fails after the given time.
eventually() {
  local end=$((SECONDS + $1))
  shift
  until "$@"; do
    [ "$SECONDS" -lt "$end" ] || return 1
    sleep 0.1
  done
}

# finish stops all processes and exits with the result of the checks. It deletes
# the folder of the run only if no check failed.
finish() {
  stop_all
  if [ "$failed" = 0 ]; then
    rm -rf "$run"
    echo "all results are right"
  else
    echo "some checks failed; logs are in $run"
  fi
  exit "$failed"
}

# common_settings prints the settings that all programs have.
common_settings() { # NAME DATACENTRE ADDRESS PORT
  cat <<YAML
name: $1
dataCentre: $2
operatorAddress: $3:$4
operatorKeyFile: $run/operator.key
peerKeyFile: $run/peer.key
YAML
}

# create_secrets generates the keys of operators and peers, and the certificate
# of the agents.
create_secrets() {
  "$bin/balsampier" key "$run/operator.key"
  "$bin/balsampier" key "$run/peer.key"
  "$bin/balsampier" cert "$run/cert.pem" "$run/key.pem" --host 127.0.0.1
}

# set_control_addresses N sets control_peers, control_instances and control_urls
# for N control instances.
set_control_addresses() {
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
  { common_settings "control-$1" lima-1 "127.0.3.$1" 7100; cat <<YAML
peerAddress: 127.0.3.$1:7000
dataFolder: $run/control-$1
instances: $control_instances
YAML
  } >"$run/control-$1.yaml"
}

balancer_settings() { # N SERVICE_PORT...
  local n=$1 p
  shift
  { common_settings "balancer-$n" lima-1 "127.0.1.$n" 7100; cat <<YAML
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
  { common_settings "agent-$1" lima-1 "127.0.2.$1" 7100; cat <<YAML
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

# operate runs the command-line tool with the addresses of control and the key.
operate() { "$bin/balsampier" --control "$control_urls" --key-file "$run/operator.key" "$@"; }
call() { "$bin/standin" caller --ca "$run/cert.pem" "$@"; }

# in_force REVISION COUNT succeeds if exactly COUNT members have the revision in
# force.
in_force() { [ "$(operate status 2>/dev/null | grep -c " $1 *up to date")" = "$2" ]; }
