#!/usr/bin/env bash
# Policies side by side: 18 entries, 20 backend servers of 6 slots. Service times are scaled to a
# mean of 40 ms, so that 120 slots bear 3,000 requests/s and 8 cores carry entries, stand-ins and
# load together. Faults: all servers shift, one straggles, one fails fast, one starts cold, one lies,
# three report half a second late.
set -eu
home=$(cd "$(dirname "$0")/.." && pwd)
name=routing
. "$home/bench/lib.sh"
repeats=${REPEATS:-3}
seconds=${RUN_SECONDS:-7}
entries=18

for policy in round_robin least_requests fresh_load; do
  hedging=false
  if [ "$policy" = fresh_load ]; then hedging=true; fi
  profile "$run_dir/$policy/profiles/reads.json" reads "${!policy}" "$read_kind"
  service "$run_dir/$policy/services/logbook.json" logbook /logbook reads 20 8200
done
secret_files
start_platform
start_backends "$run_dir/fresh_load" --service-ms 40 --spread 0.6 --queue 100
start_entries $entries
apply "$run_dir/round_robin" $entries
scenario() {
  echo "{\"phases\": [{\"seconds\": $2, \"fromRate\": $1, \"toRate\": $1}], \"kinds\": [{\"name\": \"read\", \"method\": \"GET\", \"path\": \"/logbook/aircraft?size=400\", \"share\": 1, \"keys\": \"NONE\", \"deadlineMillis\": 2000, \"size\": 400, \"weight\": 1, \"tries\": 1}], \"seed\": $3}"
}
load warm-up "$(scenario 1200 8 1)" "$(entry_list $entries)"
faults all '{"noise": true}'
faults logbook-3 '{"slowdown": 5}'
faults logbook-5 '{"rejectShare": 1}'
faults logbook-7 '{"lie": true}'
faults logbook-9,logbook-10,logbook-11 '{"lagMillis": 500}'
cold_start() {
  faults logbook-13 '{"slowdown": 6}'
  sleep 3
  faults logbook-13 '{"slowdown": 1}'
}
# Noise slows 15% of the time by 4 (mean 1.45), one server is slow and one rejects: what is left
# of 3,000/s is about 18.2 / 20 / 1.45, and the shares below are of that.
for ((r = 1; r <= repeats; r++)); do
  for share in 75 90; do
    rate=$(awk "BEGIN {print int(3000 * 18.2 / 20 / 1.45 * $share / 100)}")
    for policy in round_robin least_requests fresh_load; do
      apply "$run_dir/$policy" $entries
      cold_start &
      load "$policy-$share-$r" "$(scenario "$rate" "$seconds" "$r")" "$(entry_list $entries)" --warm-up 2
      wait $! 2>/dev/null || true
      echo "routing: policy=$policy load=$share% repeat=$r $(grep -o 'p99=[^ ]*' "$out/$policy-$share-$r.txt" | head -1)" >&2
    done
  done
done
report routing
