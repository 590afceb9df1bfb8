#!/usr/bin/env bash
# Operators race for acceptance while the store is down, slow, loses answers and lands writes late,
# and entries are killed and replaced. The check reads every entry's time line.
set -eu
home=$(cd "$(dirname "$0")/.." && pwd)
name=config
. "$home/bench/lib.sh"
seconds=${RUN_SECONDS:-100}
entries=18
for operator in 1 2 3; do
  max_queue=100 profile "$run_dir/first/profiles/p$operator.json" "p$operator" "$fresh_load" "$read_kind"
  service "$run_dir/first/services/s$operator.json" "s$operator" "/s$operator" "p$operator" 8 $((8200 + operator * 20))
done
secret_files
start_platform
start_entries $entries
apply "$run_dir/first" $entries
# Cost of control at rest: no requests, no changes.
bytes() { curl -fsS "http://127.0.0.1:$(operator_port "$1")/metrics" | awk '/^magnolia_peer_bytes /{print $2}'; }
for n in 0 5 10; do echo "$n $(bytes $n) $(cpu_ticks entry-$n)" >>"$out/rest-before.txt"; done
sleep 20
for n in 0 5 10; do echo "$n $(bytes $n) $(cpu_ticks entry-$n)" >>"$out/rest-after.txt"; done
echo 20 >"$out/rest-seconds.txt"

operate() { # OPERATOR: changes its own profile again and again through changing entries
  local count=0 at
  while [ -e "$run_dir/going" ]; do
    count=$((count + 1))
    at=$(((count * 3 + $1) % 9))
    rm -rf "$run_dir/o$1"
    mkdir -p "$run_dir/o$1/profiles" "$run_dir/o$1/services"
    ctl_entry=$at ctl show --output json >"$run_dir/o$1/show.json" 2>/dev/null || continue
    "$home/bin/magnolia-report" extract --dir "$run_dir/o$1" 2>/dev/null || continue
    sed -i "s/\"maxQueue\": [0-9]*/\"maxQueue\": $((100 + count))/" "$run_dir/o$1/profiles/p$1.json"
    local change="o$1-$count" try text
    for try in 1 2 3 4; do
      if text=$(ctl_entry=$at ctl apply "$run_dir/o$1" --rebase --change-id "$change" --author "o$1" 2>&1); then
        echo "$change ${text##* }" >>"$out/accepted.txt"
        break
      fi
      echo "$change $text" >>"$out/refused.txt"
      case $text in *undecided* | *"no use"*) at=$(((at + 1) % 9)) ;; *) break ;; esac
    done
  done
}
touch "$run_dir/going"
for operator in 1 2 3; do operate $operator & done
end=$((SECONDS + seconds))
round=0
while [ $SECONDS -lt $end ]; do
  round=$((round + 1))
  case $((round % 5)) in
    1) platform_faults '{"lostShare": 0.3}' ;;
    2) platform_faults '{"lateShare": 0.3, "lateMillis": 1500}' ;;
    3) platform_faults '{"slowMillis": 300}' ;;
    4) platform_faults '{"down": true}' ;;
    0) platform_faults '{}' ;;
  esac
  victim=$((9 + round % 9))
  "$home/bin/magnolia-timeline" --entry "http://127.0.0.1:$(operator_port $victim)" \
    --token-file "$run_dir/token" --output json >>"$out/timeline.jsonl" 2>/dev/null || true
  kill_now "entry-$victim"
  start_entry "$victim" "dc-1"
  sleep 4
done
platform_faults '{}'
rm "$run_dir/going"
for job in $(jobs -p); do
  case " ${pids[*]} " in *" $job "*) ;; *) wait "$job" || true ;; esac
done
await_entries $entries
sleep 5
"$home/bin/magnolia-timeline" --entry "http://127.0.0.1:$(operator_port 0)" --token-file "$run_dir/token" \
  --output json >>"$out/timeline.jsonl"
ctl history >"$out/history.txt"
ctl status >"$out/status.txt"
report config
