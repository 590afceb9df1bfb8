# Starts and stops the processes of a demo or an experiment; source it after setting $home.
# Everything started here is ended here, by process id, when the script exits.
. "$home/bin/java-home.sh"

run_dir=${MAGNOLIA_RUN_DIR:-$(mktemp -d "${TMPDIR:-/tmp}/magnolia.XXXXXX")}
mkdir -p "$run_dir"
declare -A pids=()

# start NAME PROGRAM ARGUMENT...
start() {
  local name=$1
  shift
  "$@" >"$run_dir/$name.out" 2>"$run_dir/$name.log" &
  pids[$name]=$!
}

# await_url URL [SECONDS]: polls until the URL answers with success.
await_url() {
  local deadline=$((SECONDS + ${2:-60}))
  until curl -fsS -o /dev/null --max-time 2 "$1" 2>/dev/null; do
    if [ "$SECONDS" -ge "$deadline" ]; then
      echo "no answer from $1; see $run_dir" >&2
      return 1
    fi
    sleep 0.1
  done
}

# signal NAME SIGNAL
signal() { kill "-$2" "${pids[$1]}" 2>/dev/null || true; }

# await_end NAME: waits for a process that was told to end; gives its exit code.
await_end() {
  local code=0
  wait "${pids[$1]}" 2>/dev/null || code=$?
  unset "pids[$1]"
  return "$code"
}

# stop NAME: an orderly stop.
stop() {
  signal "$1" TERM
  await_end "$1" || true
}

# kill_now NAME: a crash.
kill_now() {
  signal "$1" KILL
  await_end "$1" || true
}

end_all() {
  local name
  for name in "${!pids[@]}"; do
    signal "$name" CONT
    signal "$name" KILL
  done
  for name in "${!pids[@]}"; do await_end "$name" || true; done
}
trap end_all EXIT

secret_files() {
  head -c 24 /dev/urandom | base64 >"$run_dir/token"
  head -c 24 /dev/urandom | base64 >"$run_dir/secret"
}

platform_port=${MAGNOLIA_PLATFORM_PORT:-7700}
standin_port=${MAGNOLIA_STANDIN_PORT:-7800}
entry_base=${MAGNOLIA_ENTRY_PORT:-7100}

caller_port() { echo $((entry_base + $1 * 3)); }
operator_port() { echo $((entry_base + $1 * 3 + 1)); }
peer_port() { echo $((entry_base + $1 * 3 + 2)); }

# write_entry_settings N DATA_CENTRE
write_entry_settings() {
  cat >"$run_dir/entry-$1.json" <<JSON
{
  "instance": "entry-$1",
  "dataCentre": "$2",
  "host": "127.0.0.1",
  "callerPort": $(caller_port "$1"),
  "operatorPort": $(operator_port "$1"),
  "peerPort": $(peer_port "$1"),
  "seeds": ["127.0.0.1:$(peer_port 0)", "127.0.0.1:$(peer_port 1)", "127.0.0.1:$(peer_port 2)"],
  "platform": "http://127.0.0.1:$platform_port",
  "platformTimeoutMillis": ${MAGNOLIA_PLATFORM_TIMEOUT:-1000},
  "tokenFile": "$run_dir/token",
  "secretFile": "$run_dir/secret",
  "callersBalancerResends": ${MAGNOLIA_BALANCER_RESENDS:-true},
  "stopUnreadyMillis": ${MAGNOLIA_UNREADY_MILLIS:-2500},
  "stopLimitMillis": 15000,
  "tls": null
}
JSON
}

# start_entry N DATA_CENTRE
start_entry() {
  write_entry_settings "$1" "$2"
  start "entry-$1" "$home/bin/magnolia-entry" --settings "$run_dir/entry-$1.json"
}

await_entry() { await_url "http://127.0.0.1:$(operator_port "$1")/${2:-ready}"; }

# entry_list COUNT: callers' addresses, by comma
entry_list() {
  local list="" n
  for ((n = 0; n < $1; n++)); do list="$list,127.0.0.1:$(caller_port "$n")"; done
  echo "${list#,}"
}

ctl() {
  "$home/bin/magnoliactl" --entry "http://127.0.0.1:$(operator_port "${ctl_entry:-0}")" \
    --token-file "$run_dir/token" "$@"
}

# faults SERVERS JSON: sets faults of backend stand-ins
faults() {
  curl -fsS -o /dev/null -d "$2" "http://127.0.0.1:$standin_port/faults?server=$1"
}

platform_faults() {
  curl -fsS -o /dev/null -d "$1" "http://127.0.0.1:$platform_port/standin/faults"
}

start_platform() {
  start platform "$home/bin/magnolia-standin" --platform-port "$platform_port"
  await_url "http://127.0.0.1:$platform_port/standin/ready"
}

# start_backends DECLARATIONS ARGUMENT...
start_backends() {
  local declarations=$1
  shift
  start backends "$home/bin/magnolia-standin" --declarations "$declarations" \
    --control-port "$standin_port" "$@"
  await_url "http://127.0.0.1:$standin_port/ready"
}
