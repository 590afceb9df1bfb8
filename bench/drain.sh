#!/usr/bin/env bash
# Rolling replacement of all backend servers of a service and of all entries under load: servers
# leave by declaration, by their own signal, by the platform's list and by an operator's word, two
# of them at once; entries are stopped by SIGTERM and started again.
set -eu
home=$(cd "$(dirname "$0")/.." && pwd)
name=drain
. "$home/bench/lib.sh"
entries=6
kinds='[{"name": "book", "method": "POST", "pathPrefix": "/book", "execution": "AT_MOST_ONCE", "harmWeight": 10, "deadlineMillis": 4000}, {"name": "read", "method": "GET", "pathPrefix": "/", "execution": "IDEMPOTENT", "harmWeight": 1, "deadlineMillis": 2000}]'
hedging=true profile "$run_dir/d/profiles/bookings.json" bookings "$fresh_load" "$kinds"
service "$run_dir/d/services/booking.json" booking /booking bookings 8 8200
secret_files
export MAGNOLIA_UNREADY_MILLIS=1500
start_platform
start_backends "$run_dir/d" --service-ms 30 --spread 0.5 --queue 100
start_entries $entries
apply "$run_dir/d" $entries
control="http://127.0.0.1:$standin_port"
scenario() {
  echo "{\"phases\": [{\"seconds\": $1, \"fromRate\": 400, \"toRate\": 400}], \"kinds\": [{\"name\": \"read\", \"method\": \"GET\", \"path\": \"/booking/slots?size=400\", \"share\": 0.7, \"keys\": \"NONE\", \"deadlineMillis\": 2000, \"size\": 400, \"weight\": 1, \"tries\": 1}, {\"name\": \"book\", \"method\": \"POST\", \"path\": \"/booking/book\", \"share\": 0.3, \"keys\": \"ISSUED\", \"deadlineMillis\": 4000, \"size\": 256, \"weight\": 10, \"tries\": 6}], \"seed\": 3}"
}
load warm-up "$(scenario 5)" "$(entry_list $entries)"
load rolling "$(scenario "${RUN_SECONDS:-100}")" "$(entry_list $entries)" --standin-control "$control" &
loading=$!
held() { curl -fsS "$control/statistics" | grep -o "\"id\":\"$1\"[^}]*" | sed 's/.*"held":\([0-9]*\).*/\1/'; }
leave() { # SERVER WAY
  echo "$1 $2 $(date +%s%3N)" >>"$out/left.txt"
  case $2 in
    declared) ctl drain "$1" --rebase --yes >/dev/null ;;
    signal) faults "$1" '{"draining": true}' ;;
    list) curl -fsS -o /dev/null -d "[{\"id\": \"$1\", \"leaving\": true}]" "http://127.0.0.1:$platform_port/standin/instances" ;;
    word) ctl drain "$1" --now >/dev/null ;;
  esac
}
come_back() { # SERVER WAY
  case $2 in
    declared) ctl activate "$1" --rebase >/dev/null ;;
    signal) faults "$1" '{"draining": false}' ;;
    list) curl -fsS -o /dev/null -d '[]' "http://127.0.0.1:$platform_port/standin/instances" ;;
  esac
}
last_work() { curl -fsS "$control/last-work" | grep -o "\"$1\":[0-9]*" | cut -d: -f2; }
replace_server() { # SERVER WAY
  leave "$1" "$2"
  sleep 4
  until [ "$(held "$1")" = 0 ]; do sleep 0.1; done
  echo "$1 $2 $(last_work "$1")" >>"$out/last-work.txt"
  faults "$1" '{"stopped": true}'
  sleep 1
  faults "$1" '{"stopped": false}'
  come_back "$1" "$2"
}
ways=(declared signal list word)
for n in 1 3 5 7; do
  replace_server "booking-$n" "${ways[$((n / 2))]}" &
  first=$!
  replace_server "booking-$((n + 1))" "${ways[$(((n / 2 + 1) % 4))]}"
  wait $first
done
for ((n = 0; n < entries; n++)); do
  signal "entry-$n" TERM
  code=0
  await_end "entry-$n" || code=$?
  echo "entry-$n $code" >>"$out/entry-exits.txt"
  start_entry "$n" "dc-$((n % 3 + 1))"
  await_entry "$n" ready
done
wait $loading
report drain
