# Functions to run the whole path on loopback; scripts/demo.sh and scripts/faults.sh source this file.
# shellcheck shell=bash

directory=$(mktemp -d)
processes=()
zones=(west centre east)

cleanup() {
  # Gateways leave first, then controllers, then the platform, so that each can still leave the fleet.
  for role in gateway controller standin; do
    local ids=()
    for entry in "${processes[@]}"; do
      if [[ "$entry" == "$role"* ]]; then ids+=("${entry#*:}"); fi
    done
    if [ "${#ids[@]}" -gt 0 ]; then
      kill "${ids[@]}" 2>/dev/null || true
      wait "${ids[@]}" 2>/dev/null || true
    fi
  done
  if [ "${KEEP_LOGS:-}" = "" ]; then rm -rf "$directory"; else echo "logs: $directory"; fi
}
trap cleanup EXIT

say() { printf '\n== %s\n' "$*"; }

# start NAME COMMAND... starts a process in the background.
start() {
  local name=$1
  shift
  "$@" >>"$directory/$name.log" 2>&1 &
  processes+=("$name:$!")
}

# start_role ROLE ZONE starts a controller or gateway.
start_role() { start "$1-$2" "$directory/$1" --config "examples/demo/$1-$2.yaml"; }

# process_of NAME prints the id of the newest process of that name.
process_of() {
  local id=""
  for entry in "${processes[@]}"; do
    if [[ "$entry" == "$1:"* ]]; then id=${entry#*:}; fi
  done
  echo "$id"
}

export TURMERICYOKE_TOKEN=demo-token
operate() {
  "$directory/turmericyoke" --plaintext --log 127.0.0.1:7000 \
    --controller 127.0.0.1:7101 --controller 127.0.0.1:7102 --controller 127.0.0.1:7103 "$@"
}

# request PORT KEY [curl options] prints the status and the outcome of one request.
request() {
  local port=$1 key=$2
  shift 2
  curl -s -o "$directory/answer" -m 15 -w '%{http_code} %header{x-outcome} %header{x-refusal-kind}\n' \
    -H "Authorization: Bearer $key" "$@" "http://127.0.0.1:$port/v1/pools/counting/clips"
}

# wait_until TRIES COMMAND... repeats the command twice a second until it succeeds.
wait_until() {
  local tries=$1
  shift
  for _ in $(seq "$tries"); do
    if "$@" >/dev/null 2>&1; then return 0; fi
    sleep 0.5
  done
  echo "timed out: $*"
  tail -n 5 "$directory"/*.log
  return 1
}
ready() { curl -sf "http://127.0.0.1:$1/readyz"; }

# start_platform builds the programs and starts the stand-ins and the controllers.
start_platform() {
  go build -o "$directory" ./cmd/standin ./cmd/controller ./cmd/gateway ./cmd/turmericyoke
  start standin "$directory/standin" --document examples/demo/fleet.yaml
  for zone in "${zones[@]}"; do start_role controller "$zone"; done
  for port in 7201 7202 7203; do wait_until 60 ready "$port"; done
}

# start_gateways starts the gateways and waits until they are ready.
start_gateways() {
  for zone in "${zones[@]}"; do start_role gateway "$zone"; done
  for port in 8201 8202 8203; do wait_until 80 ready "$port"; done
}

# start_all starts everything with the demo's document.
start_all() {
  start_platform
  operate apply examples/demo/fleet.yaml --wait
  start_gateways
}
