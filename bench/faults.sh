#!/usr/bin/env bash
# Each fault alone for every policy, and each pair of faults for the product's own policy. A fault
# begins 1.4 s into a run, strikes 2 of 20 backend servers (or the platform) and ends at 3.4 s.
set -eu
home=$(cd "$(dirname "$0")/.." && pwd)
name=faults
. "$home/bench/lib.sh"
entries=${ENTRIES:-9}

for policy in round_robin least_requests fresh_load; do
  hedging=false
  if [ "$policy" = fresh_load ]; then hedging=true; fi
  profile "$run_dir/$policy/profiles/reads.json" reads "${!policy}" "$read_kind"
  service "$run_dir/$policy/services/logbook.json" logbook /logbook reads 20 8200
done
secret_files
start_platform
start_backends "$run_dir/fresh_load" --service-ms 40 --spread 0.5 --queue 100
start_entries $entries
apply "$run_dir/fresh_load" $entries
scenario() {
  echo "{\"phases\": [{\"seconds\": 5, \"fromRate\": 1200, \"toRate\": 1200}], \"kinds\": [{\"name\": \"read\", \"method\": \"GET\", \"path\": \"/logbook/aircraft?size=400\", \"share\": 1, \"keys\": \"NONE\", \"deadlineMillis\": 1000, \"size\": 400, \"weight\": 1, \"tries\": 1}], \"seed\": 3}"
}
all="straggler reject silent cut late drain store-down store-slow"
strike() { # FAULT SERVERS
  case $1 in
    straggler) faults "$2" '{"slowdown": 8}' ;;
    reject) faults "$2" '{"rejectShare": 1}' ;;
    silent) faults "$2" "{\"silentBefore\": $(date +%s%3N)}" ;;
    cut) faults "$2" '{"cutShare": 0.5}' ;;
    late) faults "$2" '{"lateShare": 0.5}' ;;
    drain) faults "$2" '{"draining": true}' ;;
    store-down) platform_faults '{"down": true}' ;;
    store-slow) platform_faults '{"slowMillis": 3000}' ;;
  esac
}
heal() {
  faults all '{"slowdown": 1, "rejectShare": 0, "cutShare": 0, "lateShare": 0, "draining": false}'
  platform_faults '{}'
}
case_run() { # POLICY LABEL FAULT [FAULT]
  (
    sleep 2.1
    strike "$3" logbook-3,logbook-4
    if [ $# -gt 3 ]; then strike "$4" logbook-4,logbook-5; fi
    sleep 2
    heal
  ) &
  local striker=$!
  load "$1-$2" "$(scenario)" "$(entry_list $entries)"
  wait $striker
  echo "faults: $1 $2 $(grep -o 'goodput=[^ ]*' "$out/$1-$2.txt")" >&2
}
load warm-up "$(scenario)" "$(entry_list $entries)"
for policy in round_robin least_requests fresh_load; do
  apply "$run_dir/$policy" $entries
  load "$policy-none" "$(scenario)" "$(entry_list $entries)"
  for fault in $all; do case_run "$policy" "$fault" "$fault"; done
done
if [ "${PAIRS:-yes}" = yes ]; then
  set -- $all
  while [ $# -gt 1 ]; do
    first=$1
    shift
    for second in "$@"; do case_run fresh_load "$first+$second" "$first" "$second"; done
  done
fi
report faults
