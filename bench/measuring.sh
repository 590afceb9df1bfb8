#!/usr/bin/env bash
# Cost of measuring: a budget of 5 probes/s per backend server over all instances together, with at
# most 40 instances declared. Steady, surge, instances doubled, and the platform's list out; then the
# same load with a budget that in effect does not bind.
set -eu
home=$(cd "$(dirname "$0")/.." && pwd)
name=measuring
. "$home/bench/lib.sh"
seconds=${RUN_SECONDS:-20}
repeats=${REPEATS:-3}

probes=5 max_instances=40 profile "$run_dir/budget/profiles/reads.json" reads "$fresh_load" "$read_kind"
probes=1000 max_instances=40 profile "$run_dir/unlimited/profiles/reads.json" reads "$fresh_load" "$read_kind"
for kind in budget unlimited; do
  service "$run_dir/$kind/services/queue.json" queue /queue reads 20 8200
done
echo "5 40" >"$out/budget.txt"
secret_files
start_platform
start_backends "$run_dir/budget" --service-ms 40 --spread 0.6 --queue 100
start_entries 18
apply "$run_dir/budget" 18
scenario() {
  echo "{\"phases\": [$1], \"kinds\": [{\"name\": \"read\", \"method\": \"GET\", \"path\": \"/queue/position?size=300\", \"share\": 1, \"keys\": \"NONE\", \"deadlineMillis\": 2000, \"size\": 300, \"weight\": 1, \"tries\": 1}], \"seed\": ${2:-1}}"
}
steady="{\"seconds\": $seconds, \"fromRate\": 40, \"toRate\": 40}"
surge="{\"seconds\": 5, \"fromRate\": 40, \"toRate\": 40}, {\"seconds\": $((seconds / 2)), \"fromRate\": 40, \"toRate\": 2200}, {\"seconds\": 5, \"fromRate\": 40, \"toRate\": 40}"
control="http://127.0.0.1:$standin_port"
phase() {
  curl -fsS -o /dev/null "$control/clear"
  curl -fsS "$control/statistics" >"$out/before-$1.json"
  load "$1" "$(scenario "$2")" "$(entry_list "$3")"
  curl -fsS "$control/statistics" >"$out/after-$1.json"
  curl -fsS "$control/probes" >"$out/probes-$1.json"
  echo "measuring: $1 done" >&2
}
load warm-up "$(scenario '{"seconds": 6, "fromRate": 800, "toRate": 800}')" "$(entry_list 18)"
phase steady "$steady" 18
phase surge "$surge" 18
start_entries 18 18
await_entries 36
phase doubled "$steady" 36
platform_faults '{"down": true}'
phase list-out "$surge" 36
platform_faults '{}'
for n in $(seq 18 35); do kill_now "entry-$n"; done
moderate='{"seconds": 7, "fromRate": 1500, "toRate": 1500}'
faults all '{"noise": true}'
for ((r = 1; r <= repeats; r++)); do
  for kind in budget unlimited; do
    apply "$run_dir/$kind" 18
    load "$kind-50-$r" "$(scenario "$moderate" "$r")" "$(entry_list 18)" --warm-up 2
  done
done
report measuring
