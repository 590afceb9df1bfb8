#!/usr/bin/env bash
# Bookings with retries through all faults at once: every 10 s an entry is killed and replaced, one
# is paused past every timeout, the table is down, slow, loses answers or lands writes late, and
# backend servers cut, delay and silence their answers. Then a short run with the protection off,
# which must show double executions.
set -eu
home=$(cd "$(dirname "$0")/.." && pwd)
name=once
. "$home/bench/lib.sh"
seconds=${RUN_SECONDS:-300}
rate=${RATE:-360}
entries=${ENTRIES:-12}
kinds='[{"name": "book", "method": "POST", "pathPrefix": "/book", "execution": "AT_MOST_ONCE", "harmWeight": 10, "deadlineMillis": 4000}, {"name": "read", "method": "GET", "pathPrefix": "/", "execution": "IDEMPOTENT", "harmWeight": 1, "deadlineMillis": 2000}]'
for protection in true false; do
  protection=$protection profile "$run_dir/$protection/profiles/bookings.json" bookings "$fresh_load" "$kinds"
  service "$run_dir/$protection/services/booking.json" booking /booking bookings 8 8200
done
secret_files
export MAGNOLIA_PLATFORM_TIMEOUT=400 MAGNOLIA_BALANCER_RESENDS=false
start_platform
start_backends "$run_dir/true" --service-ms 10 --spread 0.5 --queue 100
start_entries $entries
apply "$run_dir/true" $entries
scenario() {
  echo "{\"phases\": [{\"seconds\": $1, \"fromRate\": $rate, \"toRate\": $rate}], \"kinds\": [{\"name\": \"book-issued\", \"method\": \"POST\", \"path\": \"/booking/book?a=1\", \"share\": ${ISSUED_SHARE:-0.7}, \"keys\": \"ISSUED\", \"deadlineMillis\": 4000, \"size\": 256, \"weight\": 10, \"tries\": 10}, {\"name\": \"book-own\", \"method\": \"POST\", \"path\": \"/booking/book?b=1\", \"share\": ${OWN_SHARE:-0.3}, \"keys\": \"OWN\", \"deadlineMillis\": 4000, \"size\": 256, \"weight\": 10, \"tries\": 10}], \"seed\": $2}"
}
control="http://127.0.0.1:$standin_port"
RANDOM=7
trouble() {
  local round=0 victim paused
  while [ -e "$run_dir/going" ]; do
    round=$((round + 1))
    case $((round % 5)) in
      0) platform_faults '{"lostShare": 0.3}' ;;
      1) platform_faults '{"lateShare": 0.2, "lateMillis": 1500}' ;;
      2) platform_faults '{"slowMillis": 150}' ;;
      3) platform_faults '{}' ;;
      4) platform_faults '{"down": true}' ;;
    esac
    faults all "{\"cutShare\": 0.002, \"lateShare\": 0.0005, \"rejectShare\": 0.01, \"silentBefore\": $(($(date +%s%3N) - 3000))}"
    victim=$((RANDOM % entries))
    echo "$(date +%s%3N) kill entry-$victim" >>"$out/events.txt"
    kill -KILL "$(cat "$run_dir/pid-$victim")"
    # A replacement under the same address is another instance.
    "$home/bin/magnolia-entry" --settings "$run_dir/entry-$victim.json" >/dev/null 2>>"$run_dir/entry-$victim.log" &
    echo $! >"$run_dir/pid-$victim"
    paused=$(((victim + 1 + RANDOM % (entries - 1)) % entries))
    echo "$(date +%s%3N) pause entry-$paused" >>"$out/events.txt"
    kill -STOP "$(cat "$run_dir/pid-$paused")"
    sleep 5
    kill -CONT "$(cat "$run_dir/pid-$paused")"
    if [ $((round % 5)) = 4 ]; then platform_faults '{}'; fi
    sleep 5
  done
  platform_faults '{}'
  faults all '{"cutShare": 0, "lateShare": 0, "rejectShare": 0, "silentBefore": 0}'
}
for ((n = 0; n < entries; n++)); do echo "${pids[entry-$n]}" >"$run_dir/pid-$n"; done
end_replacements() {
  local n
  for ((n = 0; n < entries; n++)); do kill -KILL "$(cat "$run_dir/pid-$n")" 2>/dev/null || true; done
  end_all
}
trap end_replacements EXIT
load warm-up "$(scenario 6 1)" "$(entry_list $entries)"
run() { # LABEL SECONDS
  curl -fsS -o /dev/null "$control/clear"
  curl -fsS "http://127.0.0.1:$platform_port/standin/counts" >"$out/before-$1.json"
  touch "$run_dir/going"
  trouble &
  local troubling=$!
  load_options="-Xmx3g" load "$1" "$(scenario "$2" 2)" "$(entry_list $entries)" --standin-control "$control" --fresh-keys \
    --plot "$out/$1.png"
  rm "$run_dir/going"
  wait $troubling
  curl -fsS "http://127.0.0.1:$platform_port/standin/counts" >"$out/after-$1.json"
}
run protected "$seconds"
for ((n = 0; n < entries; n++)); do await_entry "$n" ready; done
ctl_entry=0 apply "$run_dir/false" $entries
run unprotected $((seconds / 8 + 15))
report once
