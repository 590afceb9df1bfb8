#!/usr/bin/env bash
# Entries of this build beside entries of another one: OTHER_HOME=DIR bench/two-builds.sh, where
# `bin/build` has run in DIR. First the other build writes configuration, key claims and outcome
# records, and this build starts on them; then one entry of the other build joins, and versions,
# requests with keys and reports of crashed servers cross both ways. Exits with 1 if one is missing.
set -eu
home=$(cd "$(dirname "$0")/.." && pwd)
other=${OTHER_HOME:?directory of the other build}
name=two-builds
. "$home/bench/lib.sh"
control="http://127.0.0.1:$standin_port"
failures=0

# check TEXT COMMAND...: prints whether the command succeeds
check() {
  local text=$1
  shift
  if "$@" >/dev/null 2>&1; then
    echo "two-builds: ok $text"
  else
    echo "two-builds: FAILED $text"
    failures=$((failures + 1))
  fi
}

# await_that SECONDS COMMAND...: repeats the command until it succeeds
await_that() {
  local deadline=$((SECONDS + $1))
  shift
  until "$@"; do
    [ "$SECONDS" -lt "$deadline" ] || return 1
    sleep 0.2
  done
}

# version_at ENTRY VERSION
version_at() {
  curl -fsS --max-time 2 "http://127.0.0.1:$(operator_port "$1")/metrics" | grep -q "^magnolia_version $2.0"
}

# book ENTRY KEY FILE: a booking with an issued key; the answer with its headers goes into FILE
book() {
  curl -sS -i --max-time 5 -X POST -d booking -H "Idempotency-Key: $2" -o "$3" \
    "http://127.0.0.1:$(caller_port "$1")/booking/book?size=300"
}

issue() { curl -fsS "http://127.0.0.1:$(caller_port "$1")/.well-known/magnoliaswitch/keys?count=1"; }

# replayed FILE OTHER_FILE: the second answer was not executed again and has the body of the first
replayed() {
  grep -qi '^Idempotency-Replayed' "$2" && [ "$(sed '1,/^\r$/d' "$1")" = "$(sed '1,/^\r$/d' "$2")" ]
}

outcome_executed() {
  curl -sS -i "http://127.0.0.1:$(caller_port "$1")/.well-known/magnoliaswitch/outcomes?service=booking&key=$2" |
    grep -qi '^Request-Outcome: executed'
}

# timeline ENTRY ARGUMENT...
timeline() {
  local n=$1
  shift
  "$home/bin/magnolia-timeline" --entry "http://127.0.0.1:$(operator_port "$n")" --token-file "$run_dir/token" "$@"
}

# crash_at ENTRY SOURCE: the entry's time line has a suspicion that came from there
crash_at() {
  timeline "$1" --kind crash_standing >"$out/crash-$1.txt" && grep -q "entry-$1 .*source=$2" "$out/crash-$1.txt"
}

read_kind='[{"name": "read", "method": "GET", "pathPrefix": "/", "execution": "IDEMPOTENT", "harmWeight": 1, "deadlineMillis": 8000}]'
book_kind='[{"name": "book", "method": "POST", "pathPrefix": "/book", "execution": "AT_MOST_ONCE", "harmWeight": 10, "deadlineMillis": 4000}]'
all=$run_dir/declarations
attempts=1 profile "$all/profiles/reads.json" reads "$round_robin" "$read_kind"
profile "$all/profiles/bookings.json" bookings "$fresh_load" "$book_kind"
service "$all/services/booking.json" booking /booking bookings 3 8200
service "$all/services/reading.json" reading /reading reads 2 8300
# Its servers are a process of their own, so that they can crash.
mkdir -p "$run_dir/stable/services" "$run_dir/crashing/services"
cp "$all/services/booking.json" "$run_dir/stable/services/"
cp "$all/services/reading.json" "$run_dir/crashing/services/"
cp -r "$all/profiles" "$run_dir/stable/"
cp -r "$all/profiles" "$run_dir/crashing/"

start_crashing() {
  start crashing "$home/bin/magnolia-standin" --declarations "$run_dir/crashing" --control-port 7900 --service-ms 3000
  await_url "http://127.0.0.1:7900/ready"
}

# crash_under_request ENTRY TAG: the servers are killed while one of them runs the request
crash_under_request() {
  curl -sS -o /dev/null --max-time 9 "http://127.0.0.1:$(caller_port "$1")/reading/x?tag=$2" &
  local request=$!
  sleep 1
  kill_now crashing
  wait "$request" || true
  start_crashing
  # Until health checks have closed the connections to the old processes.
  sleep 8
}

# crash_until_known ENTRY TAG OTHER_ENTRY: repeats it until the other entry has heard of two crashes
crash_until_known() {
  local round
  for round in 1 2 3 4 5 6; do
    crash_under_request "$1" "$2"
    if crash_at "$3" peer; then return; fi
  done
  return 1
}

secret_files
start_platform
start_backends "$run_dir/stable" --service-ms 5
start_crashing

echo "two-builds: the other build alone"
for n in 0 1 2; do home=$other start_entry "$n" "dc-$((n + 1))"; done
for n in 0 1 2; do await_entry "$n" health; done
home=$other ctl apply "$all" --note "first declarations"
for n in 0 1 2; do await_entry "$n"; done
old_key=$(issue 0)
book 0 "$old_key" "$run_dir/old-booking.txt"
check "a booking of the other build is answered" grep -q "^HTTP/1.1 200" "$run_dir/old-booking.txt"
sleep 3
for n in 0 1 2; do stop "entry-$n"; done

echo "two-builds: this build on what the other one stored"
for n in 0 1 2; do start_entry "$n" "dc-$((n + 1))"; done
for n in 0 1 2; do await_entry "$n"; done
for n in 0 1 2; do check "entry-$n has the stored version in force" await_that 20 version_at "$n" 1; done
book 1 "$old_key" "$run_dir/again.txt"
check "the stored outcome answers the booking's repetition" replayed "$run_dir/old-booking.txt" "$run_dir/again.txt"
check "the stored outcome is told" outcome_executed 2 "$old_key"
check "the history shows the version" bash -c "grep -q 'first declarations' <('$home/bin/magnoliactl' --entry http://127.0.0.1:$(operator_port 0) --token-file '$run_dir/token' history)"

echo "two-builds: an entry of the other build among those of this one"
stop entry-0
home=$other start_entry 0 dc-1
await_entry 0
ctl_entry=1 ctl drain booking-1 --note "by this build"
for n in 0 1 2; do check "entry-$n has this build's version in force" await_that 20 version_at "$n" 2; done
home=$other ctl_entry=0 ctl activate booking-1 --note "by the other build"
for n in 0 1 2; do check "entry-$n has the other build's version in force" await_that 20 version_at "$n" 3; done
new_key=$(issue 1)
book 1 "$new_key" "$run_dir/new-booking.txt"
book 0 "$new_key" "$run_dir/new-again.txt"
check "the other build replays a booking of this one" replayed "$run_dir/new-booking.txt" "$run_dir/new-again.txt"
other_key=$(issue 0)
book 0 "$other_key" "$run_dir/other-booking.txt"
book 2 "$other_key" "$run_dir/other-again.txt"
check "this build replays a booking of the other one" replayed "$run_dir/other-booking.txt" "$run_dir/other-again.txt"
check "the other build receives reports of crashes seen by this one" crash_until_known 1 this 0
check "this build receives reports of crashes seen by the other one" crash_until_known 0 other 2
for n in 0 1 2; do timeline "$n" --service reading >"$out/reading-$n.txt" || true; done
curl -fsS "$control/statistics" >"$out/statistics.json" 2>/dev/null || true
echo "two-builds: $failures failed"
[ "$failures" -eq 0 ]
