# The load of soak.sh, and the ledgers that it checks at the end.
# shellcheck shell=bash

# submissions is a folder with one folder for each submission: its text, its
# state before the first attempt, and its answer. submission_ledger has a line
# "OUTCOME REVISION BASE NAME" for each answer.
submissions=$run/submissions
submission_ledger=$run/submission.ledger
mkdir -p "$submissions"
touch "$submission_ledger"

# running succeeds until soak.sh ends the load.
running() { [ ! -e "$run/ended" ]; }

rules_text() { # MARKER
  cat <<RULES
# $1
rule reservas to 127.0.0.1:8443 from 0.0.0.0/0 daily 00:00-24:00 America/Lima class urgent # Rosa, all day
rule galeria to 127.0.0.1:8444 from 0.0.0.0/0 # Rosa, photos
RULES
}

# new_submission NAME BASE writes a submission with a new ID.
new_submission() {
  local d=$submissions/$1
  mkdir -p "$d"
  rules_text "$1" >"$d/rules.txt"
  printf '{"base":%s,"pending":{"id":"%s","base":%s,"text":"%s"}}' \
    "$2" "$(cat /proc/sys/kernel/random/uuid)" "$2" "$(sed ':a;N;$!ba;s/\n/\\n/g' "$d/rules.txt")\\n" >"$d/state"
}

# send_submission NAME sends the submission as first written and prints
# "accepted REVISION" or "lost REVISION". It fails if there is no answer.
send_submission() {
  local d=$submissions/$1 out t
  t=$(mktemp -d "$d/send.XXXXXX")
  cp "$d/rules.txt" "$t/rules.txt"
  cp "$d/state" "$t/rules.txt.state"
  out=$(operate submit "$t/rules.txt" 2>&1) || true
  rm -r "$t"
  echo "$out" >>"$d/log"
  sed -n 's/.*accepted as revision \([0-9]*\).*/accepted \1/p; s/.*revision \([0-9]*\) won.*/lost \1/p' <<<"$out" | grep .
}

# submit_until_answered NAME retries a submission until it is answered, at most
# 100 times.
submit_until_answered() {
  local d=$submissions/$1 sends=0
  until send_submission "$1" >"$d/answer.new"; do
    echo resent >>"$d/resent"
    sends=$((sends + 1))
    [ "$sends" -lt 100 ] || return 0
    sleep 0.1
  done
  mv "$d/answer.new" "$d/answer"
  echo "$(cat "$d/answer") $(sed 's/{"base":\([0-9]*\).*/\1/' "$d/state") $1" >>"$submission_ledger"
}

# operator NAME submits one edit after another, each based on the revision in
# its last answer.
operator() {
  local n=0 base=0
  while running; do
    n=$((n + 1))
    new_submission "$1-$n" "$base"
    submit_until_answered "$1-$n"
    [ -e "$submissions/$1-$n/answer" ] && read -r _ base <"$submissions/$1-$n/answer"
  done
}

# accepted prints "REVISION BASE NAME" for every accepted submission.
accepted() { sed -n 's/^accepted //p' "$submission_ledger" | sort -n; }
# newest prints the newest accepted revision, 0 if there is none.
newest() { accepted | awk '{ n = $1 } END { print n + 0 }'; }

# poll NAME URL appends "NAME INCARNATION READY REVISION EPOCH" to the ledger of
# members every 300 ms.
poll() {
  while running; do
    operate dump "$2" 2>/dev/null | awk -v n="$1" -F'[:, ]+' '
      { gsub(/"/, "") }
      $2 == "incarnation" && !i { i = $3 }
      $2 == "ready" { r = $3 }
      $2 == "revision" && !v { v = $3 }
      $2 == "epoch" && !e { e = $3 }
      END { if (i) print n, i, r, v + 0, e + 0 }' >>"$run/members.ledger"
    sleep 0.3
  done
}

# load starts the operators, the polls of the members and the callers.
load() { # SECONDS
  local n
  start operator-a operator a
  start operator-b operator b
  for n in 1 2 3; do start "poll-balancer-$n" poll "balancer-$n" "http://127.0.1.$n:7100"; done
  for n in 1 2 3 4; do start "poll-agent-$n" poll "agent-$n" "http://127.0.2.$n:7100"; done
  # Streams, a flood of normal requests, holds with and without resends, and
  # uploads.
  local c=("$bin/standin" caller --ca "$run/cert.pem" --for "$1s" --ledger "$run/caller.ledger")
  start streams "${c[@]}" --stream --callers 6 --service reservas \
    "https://127.0.0.1:8443/stream?lines=120"
  start flood "${c[@]}" --callers 40 --service galeria --timeout 3s https://127.0.0.1:8444/photo
  start holds "${c[@]}" --keyed --method POST --callers 6 --service reservas --body hold --timeout 5s \
    https://127.0.0.1:8443/holds
  start once "${c[@]}" --keyed --resends 0 --method POST --callers 12 --service reservas --body once --timeout 2s \
    https://127.0.0.1:8443/holds
  start uploads "${c[@]}" --keyed --method POST --callers 3 --service reservas --body upload --pad 60000 --timeout 5s \
    https://127.0.0.1:8443/holds
}
