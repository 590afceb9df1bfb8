#!/usr/bin/env bash
# Overload: 8 backend servers of 6 slots at a mean of 40 ms bear 1,200/s; nearly all callers arrive
# within a scaled minute (a ramp of 1 s to 1, 2 or 3 times that, held for 5 s), with harm weights in
# use and, as a baseline, not.
set -eu
home=$(cd "$(dirname "$0")/.." && pwd)
name=overload
. "$home/bench/lib.sh"
repeats=${REPEATS:-3}
entries=18
kinds='[{"name": "urgent", "method": "GET", "pathPrefix": "/urgent", "execution": "IDEMPOTENT", "harmWeight": 10, "deadlineMillis": 1000}, {"name": "usual", "method": "GET", "pathPrefix": "/usual", "execution": "IDEMPOTENT", "harmWeight": 4, "deadlineMillis": 1000}, {"name": "idle", "method": "GET", "pathPrefix": "/", "execution": "IDEMPOTENT", "harmWeight": 1, "deadlineMillis": 1000}]'
for weighted in true false; do
  weighted=$weighted profile "$run_dir/$weighted/profiles/desk.json" desk "$fresh_load" "$kinds"
  service "$run_dir/$weighted/services/booking.json" booking /booking desk 8 8200
done
secret_files
start_platform
start_backends "$run_dir/true" --service-ms 40 --spread 0.5 --queue 100
start_entries $entries
apply "$run_dir/true" $entries
kind() {
  echo "{\"name\": \"$1\", \"method\": \"GET\", \"path\": \"/booking$2?size=300\", \"share\": $3, \"keys\": \"NONE\", \"deadlineMillis\": 1000, \"size\": 300, \"weight\": $4, \"tries\": $5}"
}
scenario() {
  local peak=$((1200 * $1))
  echo "{\"phases\": [{\"seconds\": 2, \"fromRate\": 500, \"toRate\": 500}, {\"seconds\": 1, \"fromRate\": 500, \"toRate\": $peak}, {\"seconds\": 5, \"fromRate\": $peak, \"toRate\": $peak}, {\"seconds\": 3, \"fromRate\": 500, \"toRate\": 500}], \"kinds\": [$(kind urgent /urgent 0.1 10 "$2"), $(kind usual /usual 0.2 4 "$2"), $(kind idle /other 0.7 1 "$2")], \"seed\": $3}"
}
echo 1200 >"$out/capacity.txt"
load warm-up "$(scenario 1 1 9)" "$(entry_list $entries)"
control="http://127.0.0.1:$standin_port"
for ((r = 1; r <= repeats; r++)); do
  for level in 1 2 3; do
    for weighted in true false; do
      apply "$run_dir/$weighted" $entries
      load "$weighted-$level-$r" "$(scenario $level 1 "$r")" "$(entry_list $entries)" --warm-up 1
      echo "overload: weighted=$weighted level=$level repeat=$r $(tail -6 "$out/$weighted-$level-$r.txt" | grep -o 'goodput=[^ ]*')" >&2
    done
  done
  apply "$run_dir/true" $entries
  curl -fsS "$control/statistics" >"$out/before-$r.json"
  load "retrying-2-$r" "$(scenario 2 3 "$r")" "$(entry_list $entries)"
  curl -fsS "$control/statistics" >"$out/after-$r.json"
done
report overload
