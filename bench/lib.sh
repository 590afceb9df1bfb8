# Shared parts of the experiments; sourced by bench/*.sh after setting $home and $name.
. "$home/bin/lib/processes.sh"
out=${MAGNOLIA_BENCH_OUT:-$home/bench/out}/$name
rm -rf "$out"
mkdir -p "$out"

# profile FILE NAME ROUTING_JSON KINDS_JSON; the variables below change parts of it
profile() {
  mkdir -p "$(dirname "$1")"
  cat >"$1" <<JSON
{
  "name": "$2",
  "routing": $3,
  "measuring": {"probesPerSecond": ${probes:-5}, "maxInstances": ${max_instances:-40}},
  "admission": {"loadPerSlot": ${load_per_slot:-1.5}, "maxQueue": ${max_queue:-200}, "weighted": ${weighted:-true}},
  "retry": {"budgetRatio": ${ratio:-0.1}, "maxAttempts": ${attempts:-3}, "hedging": ${hedging:-false}, "hedgeQuantile": 0.95},
  "keys": {"required": true, "retentionSeconds": 900, "claimWindowMillis": 30, "protectionEnabled": ${protection:-true}},
  "refusalStatuses": [503],
  "kinds": $4
}
JSON
}

# service FILE NAME PREFIX PROFILE COUNT FIRST_PORT [SLOTS]
service() {
  mkdir -p "$(dirname "$1")"
  local n list=""
  for ((n = 0; n < $5; n++)); do
    list="$list,
    {\"id\": \"$2-$((n + 1))\", \"dataCentre\": \"dc-$((n % 3 + 1))\", \"host\": \"127.0.0.1\", \"port\": $(($6 + n)), \"slots\": ${7:-6}, \"connections\": 250, \"state\": \"ACTIVE\"}"
  done
  printf '{"name": "%s", "pathPrefix": "%s", "profile": "%s", "maxDrainShare": 0.34, "servers": [%s\n]}\n' \
    "$2" "$3" "$4" "${list#,}" >"$1"
}

round_robin='{"type": "round-robin"}'
least_requests='{"type": "least-requests"}'
fresh_load='{"type": "fresh-load", "candidates": 5, "reportHalfLifeMillis": 60, "remotePenaltyMillis": 2}'
read_kind='[{"name": "read", "method": "GET", "pathPrefix": "/", "execution": "IDEMPOTENT", "harmWeight": 1, "deadlineMillis": 2000}]'

# start_entries COUNT [FIRST]
start_entries() {
  local n
  for ((n = ${2:-0}; n < ${2:-0} + $1; n++)); do start_entry "$n" "dc-$((n % 3 + 1))"; done
  for ((n = ${2:-0}; n < ${2:-0} + $1; n++)); do await_entry "$n" health; done
}

await_entries() {
  local n
  for ((n = 0; n < $1; n++)); do await_entry "$n" ready; done
}

# in_force COUNT VERSION: waits until the version is in force at all
in_force() {
  local n
  for ((n = 0; n < $1; n++)); do
    until curl -fsS --max-time 2 "http://127.0.0.1:$(operator_port "$n")/metrics" 2>/dev/null |
      grep -q "^magnolia_version $2.0"; do sleep 0.05; done
  done
}

# apply DIRECTORY COUNT: puts declarations in force at all entries
apply() {
  local text
  text=$(ctl apply "$1" --rebase)
  in_force "$2" "${text##* }"
}

# load NAME SCENARIO_JSON ENTRIES ARGUMENT...
load() {
  local label=$1 scenario=$2 entries=$3
  shift 3
  echo "$scenario" >"$out/$label.scenario.json"
  MAGNOLIA_JAVA_OPTIONS="-Xmx1500m -XX:+UseParallelGC ${load_options:-}" "$home/bin/magnolia-load" \
    --scenario "$out/$label.scenario.json" --entries "$entries" --out "$out/$label.json" "$@" \
    >"$out/$label.txt" 2>"$out/$label.err" || true
}

# cpu_ticks NAME: processor time used so far, in hundredths of a second
cpu_ticks() { awk '{print $14 + $15}' "/proc/${pids[$1]}/stat"; }

report() { "$home/bin/magnolia-report" "$@" --dir "$out"; }
