# What is checked against the ledgers at the end.
# shellcheck shell=bash

none() { local out; out=$("$@"); [ -z "$out" ] || { echo "$out" | head -20; return 1; }; }
at_least() { local n=$1 got; shift; got=$("$@"); [ "$got" -ge "$n" ] || { echo "only $got"; return 1; }; }
ledger() { awk "$1" "$run/caller.ledger"; }

# Control.
two_winners() { accepted | awk '{ print $2 }' | uniq -d; }
skipped_revisions() { accepted | awk '$1 != NR || $2 != NR - 1'; }
unanswered() { comm -23 <(ls "$submissions" | sort) <(awk '{ print $4 }' "$submission_ledger" | sort); }
changed_answers() {
  local n was got
  # Those that were resent under faults, and some others.
  for n in $( (cd "$submissions" && ls -d */ | shuf --random-source=<(yes "$seed") -n 20; ls -d */resent) | sed 's,/.*,,' | sort -u); do
    was=$(cat "$submissions/$n/answer")
    got=$(send_submission "$n" || echo none)
    [ "$was" = "$got" ] || echo "$n: first $was, then $got"
  done
}
newest_is_in_force() {
  local r n
  read -r r _ n < <(accepted | tail -1)
  operate rules -o "$run/final.txt" | grep -q ": revision $r\$" && cmp "$run/final.txt" "$submissions/$n/rules.txt"
}
fell_back() { awk '$3 == "true" { if ($4 < r[$1] || $5 < e[$1]) print; if ($4 > r[$1]) r[$1] = $4; if ($5 > e[$1]) e[$1] = $5 }' "$run/members.ledger"; }
stale() { cat "$run/stale" 2>/dev/null; }

# replays prints how many entries a restarted instance replays.
replays() { # N
  tail -n 50 "$run/control-$1.out" | tr -d '"' | sed -n 's/.*snapshot:[0-9]*,entries:\([0-9]*\).*/\1/p' | tail -1
}
replays_few() { local n; n=$(replays "$1"); echo "replays $n entries"; [ -n "$n" ] && [ "$n" -lt 200 ]; }

# Requests.
keys_run() { awk '$4 != "-" { print $4 }' "$run/backend.ledger" | sort; }
run_twice() { keys_run | uniq -d | while read -r k; do grep -h "$k" "$run/backend.ledger" "$run/caller.ledger"; done; }
not_run_that_ran() { comm -12 <(ledger '$1 == "notRun" && $2 != "-" { print $2 }' | sort -u) <(keys_run | uniq); }
answered_not_run() { comm -23 <(ledger '$1 == "answered" && $2 != "-" { print $2 }' | sort -u) <(keys_run | uniq); }
crossed() {
  awk '($2 == "reservas" && $NF !~ /^\/(holds|stream)/) || ($2 == "galeria" && $NF !~ /^\/photo/)' "$run/backend.ledger"
  ledger '$1 == "wrong"'
}
not_honest() { ledger '$2 != "-" && $1 !~ /^(answered|notRun|unknown)$/'; }
# cut_streams prints those whose server was not killed while they lasted; the
# second allowed for is the resolution of the times.
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
