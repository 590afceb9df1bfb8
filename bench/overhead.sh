#!/usr/bin/env bash
# What passing through one entry adds, direct and through it interleaved, at several rates.
# The entry is bound to two cores; its heap is 256 MB.
set -eu
home=$(cd "$(dirname "$0")/.." && pwd)
name=overhead
. "$home/bench/lib.sh"
repeats=${REPEATS:-3}
seconds=${RUN_SECONDS:-4}
rates=${RATES:-"1000 2500 5000 7000 9000"}

profile "$run_dir/d/profiles/echo.json" echo "$fresh_load" "$read_kind"
service "$run_dir/d/services/echo.json" echo /echo echo 4 8200 500
secret_files
start_platform
start_backends "$run_dir/d" --service-ms 0.2 --spread 0.1 --queue 2000
write_entry_settings 0 dc-1
start entry-0 env MAGNOLIA_JAVA_OPTIONS="-XX:+UseSerialGC -Xmx256m -XX:ActiveProcessorCount=2" \
  taskset -c 0,1 "$home/bin/magnolia-entry" --settings "$run_dir/entry-0.json"
await_entry 0 health
apply "$run_dir/d" 1

direct=127.0.0.1:8200,127.0.0.1:8201,127.0.0.1:8202,127.0.0.1:8203
scenario() {
  echo "{\"phases\": [{\"seconds\": $2, \"fromRate\": $1, \"toRate\": $1}], \"kinds\": [{\"name\": \"read\", \"method\": \"GET\", \"path\": \"/echo?size=500\", \"share\": 1, \"keys\": \"NONE\", \"deadlineMillis\": 2000, \"size\": 500, \"weight\": 1, \"tries\": 1}], \"seed\": 5}"
}
load warm-up "$(scenario 3000 12)" "$(entry_list 1)"
for ((r = 1; r <= repeats; r++)); do
  for rate in $rates; do
    load "direct-$rate-$r" "$(scenario "$rate" "$seconds")" "$direct" --direct --warm-up 3
    before=$(cpu_ticks entry-0)
    load "through-$rate-$r" "$(scenario "$rate" "$seconds")" "$(entry_list 1)" --warm-up 3
    echo "$rate $r $(($(cpu_ticks entry-0) - before))" >>"$out/cpu.txt"
    echo "overhead: rate=$rate repeat=$r done" >&2
  done
done
report overhead
