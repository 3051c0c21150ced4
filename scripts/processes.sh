# Functions that start and call the system's processes on loopback, for scripts/demo.sh and
# scripts/faults.sh, which source this file.
# shellcheck shell=bash

work_dir=$(mktemp -d)
started_processes=()
zones=(west centre east)

# cleanup stops all processes. It deletes their logs unless KEEP_LOGS is set.
cleanup() {
  # Gateways stop first, then controllers, then the stand-ins for the platform: to leave the fleet, each
  # needs those that stop after it.
  for role in gateway controller standin; do
    local pids=()
    for process in "${started_processes[@]}"; do
      if [[ "$process" == "$role"* ]]; then pids+=("${process#*:}"); fi
    done
    if [ "${#pids[@]}" -gt 0 ]; then
      kill "${pids[@]}" 2>/dev/null || true
      wait "${pids[@]}" 2>/dev/null || true
    fi
  done
  if [ "${KEEP_LOGS:-}" = "" ]; then rm -rf "$work_dir"; else echo "logs: $work_dir"; fi
}
trap cleanup EXIT

print_step() { printf '\n== %s\n' "$*"; }

# start NAME COMMAND... starts a process in the background and appends its output to NAME.log.
start() {
  local name=$1
  shift
  "$@" >>"$work_dir/$name.log" 2>&1 &
  started_processes+=("$name:$!")
}

# start_role ROLE ZONE starts a controller or gateway.
start_role() { start "$1-$2" "$work_dir/$1" --config "examples/demo/$1-$2.yaml"; }

# pid_of NAME prints the id of the newest process of that name.
pid_of() {
  local pid=""
  for process in "${started_processes[@]}"; do
    if [[ "$process" == "$1:"* ]]; then pid=${process#*:}; fi
  done
  echo "$pid"
}

export TURMERICYOKE_TOKEN=demo-token
# cli runs the operators' command-line client.
cli() {
  "$work_dir/turmericyoke" --plaintext --log 127.0.0.1:7000 \
    --controller 127.0.0.1:7101 --controller 127.0.0.1:7102 --controller 127.0.0.1:7103 "$@"
}

# send_request PORT KEY [curl options] sends a request to a gateway and prints its status, outcome and
# refusal kind.
send_request() {
  local port=$1 key=$2
  shift 2
  curl -s -o "$work_dir/answer" -m 15 -w '%{http_code} %header{x-outcome} %header{x-refusal-kind}\n' \
    -H "Authorization: Bearer $key" "$@" "http://127.0.0.1:$port/v1/pools/counting/clips"
}

# wait_until TRIES COMMAND... repeats the command twice a second until it succeeds, and fails after the
# given number of tries.
wait_until() {
  local tries=$1
  shift
  for _ in $(seq "$tries"); do
    if "$@" >/dev/null 2>&1; then return 0; fi
    sleep 0.5
  done
  echo "timed out: $*"
  tail -n 5 "$work_dir"/*.log
  return 1
}
# is_ready PORT succeeds if the process with this operators' port reports that it is ready.
is_ready() { curl -sf "http://127.0.0.1:$1/readyz"; }

# start_platform builds the programs, starts the stand-ins and the controllers, and waits until the
# controllers are ready.
start_platform() {
  go build -o "$work_dir" ./cmd/standin ./cmd/controller ./cmd/gateway ./cmd/turmericyoke
  start standin "$work_dir/standin" --document examples/demo/fleet.yaml
  for zone in "${zones[@]}"; do start_role controller "$zone"; done
  for port in 7201 7202 7203; do wait_until 60 is_ready "$port"; done
}

# start_gateways starts the gateways and waits until they are ready.
start_gateways() {
  for zone in "${zones[@]}"; do start_role gateway "$zone"; done
  for port in 8201 8202 8203; do wait_until 80 is_ready "$port"; done
}

# start_all starts all processes, with the fleet document of the demo.
start_all() {
  start_platform
  cli apply examples/demo/fleet.yaml --wait
  start_gateways
}
