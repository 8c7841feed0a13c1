# The checks of soak.sh on the ledgers of its run. A function that prints
# violations prints nothing if the guarantee holds.
# shellcheck shell=bash

# prints_nothing COMMAND... succeeds if the command has no output.
prints_nothing() { local out; out=$("$@"); [ -z "$out" ] || { echo "$out" | head -20; return 1; }; }
# at_least N COMMAND... succeeds if the command prints N or a larger number.
at_least() { local n=$1 got; shift; got=$("$@"); [ "$got" -ge "$n" ] || { echo "only $got"; return 1; }; }
ledger() { awk "$1" "$run/caller.ledger"; }

# Control.
# two_winners prints each base on which more than one submission was accepted.
two_winners() { accepted | awk '{ print $2 }' | uniq -d; }
skipped_revisions() { accepted | awk '$1 != NR || $2 != NR - 1'; }
unanswered() { comm -23 <(ls "$submissions" | sort) <(awk '{ print $4 }' "$submission_ledger" | sort); }
changed_answers() {
  local n was got
  # All submissions that were resent under faults, and a sample of 20.
  for n in $( (cd "$submissions" && ls -d */ | shuf --random-source=<(yes "$seed") -n 20; ls -d */resent) | sed 's,/.*,,' | sort -u); do
    was=$(cat "$submissions/$n/answer")
    got=$(send_submission "$n" || echo none)
    [ "$was" = "$got" ] || echo "$n: first answer $was, later answer $got"
  done
}
newest_is_in_force() {
  local r n
  read -r r _ n < <(accepted | tail -1)
  operate rules -o "$run/final.txt" | grep -q ": revision $r\$" && cmp "$run/final.txt" "$submissions/$n/rules.txt"
}
# regressions prints the records in which the revision or the epoch of a ready
# member is lower than before.
regressions() { awk '$3 == "true" { if ($4 < r[$1] || $5 < e[$1]) print; if ($4 > r[$1]) r[$1] = $4; if ($5 > e[$1]) e[$1] = $5 }' "$run/members.ledger"; }
stale_reads() { cat "$run/stale" 2>/dev/null; }

# replayed_entries prints how many log entries a restarted instance replays.
replayed_entries() { # N
  tail -n 50 "$run/control-$1.out" | tr -d '"' | sed -n 's/.*snapshot:[0-9]*,entries:\([0-9]*\).*/\1/p' | tail -1
}
replays_under_200() { local n; n=$(replayed_entries "$1"); echo "replays $n entries"; [ -n "$n" ] && [ "$n" -lt 200 ]; }

# Requests.
keys_run() { awk '$4 != "-" { print $4 }' "$run/backend.ledger" | sort; }
run_twice() { keys_run | uniq -d | while read -r k; do grep -h "$k" "$run/backend.ledger" "$run/caller.ledger"; done; }
not_run_that_ran() { comm -12 <(ledger '$1 == "notRun" && $2 != "-" { print $2 }' | sort -u) <(keys_run | uniq); }
answered_not_run() { comm -23 <(ledger '$1 == "answered" && $2 != "-" { print $2 }' | sort -u) <(keys_run | uniq); }
# crossed_services prints requests that ran at a server of another service, and
# answers that callers report as wrong.
crossed_services() {
  awk '($2 == "reservas" && $NF !~ /^\/(holds|stream)/) || ($2 == "galeria" && $NF !~ /^\/photo/)' "$run/backend.ledger"
  ledger '$1 == "wrong"'
}
# unexpected_outcomes prints keyed requests with an outcome other than answered,
# notRun or unknown.
unexpected_outcomes() { ledger '$2 != "-" && $1 !~ /^(answered|notRun|unknown)$/'; }
# cut_streams prints the streams that were cut although their server was not
# killed while they were open. The times have a resolution of 1 s, hence the
# tolerance of 1 s.
cut_streams() {
  touch "$run/killed"
  awk 'FILENAME == ARGV[1] { n++; server[n] = $1; at[n] = $2; next }
    $1 == "cut" {
      sub(/"/, "", $NF)
      for (i = 1; i <= n; i++) if (server[i] == $3 && at[i] >= $(NF - 2) - 1 && at[i] <= $NF) next
      print
    }' "$run/killed" "$run/caller.ledger"
}
count() { ledger "$1" | grep -c '' || true; }
