#!/usr/bin/env bash
# Runs the whole path on loopback: the platform's stand-ins, and a controller and a gateway in each
# of three availability zones. It needs curl.
set -euo pipefail
cd "$(dirname "$0")/.."

directory=$(mktemp -d)
processes=()
cleanup() {
  # Gateways leave first, then controllers, then the platform, so that each can still leave the fleet.
  for role in gateway controller standin; do
    local ids=()
    for entry in "${processes[@]}"; do
      if [[ "$entry" == "$role"* ]]; then ids+=("${entry#*:}"); fi
    done
    kill "${ids[@]}" 2>/dev/null || true
    wait "${ids[@]}" 2>/dev/null || true
  done
  if [ "${KEEP_LOGS:-}" = "" ]; then rm -rf "$directory"; else echo "logs: $directory"; fi
}
trap cleanup EXIT

say() { printf '\n== %s\n' "$*"; }

go build -o "$directory" ./cmd/standin ./cmd/controller ./cmd/gateway ./cmd/turmericyoke
for zone in west centre east; do
  cp "examples/demo/controller-$zone.yaml" "examples/demo/gateway-$zone.yaml" "$directory"
done
cp examples/demo/fleet.yaml "$directory/fleet.yaml"
fleet="$directory/fleet.yaml"

start() {
  local name=$1
  shift
  "$@" >"$directory/$name.log" 2>&1 &
  processes+=("$name:$!")
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
  curl -s -o "$directory/answer" -w '%{http_code} %header{x-outcome} %header{x-refusal-kind}\n' \
    -H "Authorization: Bearer $key" "$@" "http://127.0.0.1:$port/v1/pools/counting/clips"
}
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

start standin "$directory/standin" --document "$fleet" --reboot-time 2s
for zone in west centre east; do start "controller-$zone" "$directory/controller" --config "$directory/controller-$zone.yaml"; done
wait_until 60 ready 7201
wait_until 60 ready 7202
wait_until 60 ready 7203

say "An operator applies the document; it is in force when every controller has it"
operate validate "$fleet"
operate apply "$fleet" --wait
for zone in west centre east; do start "gateway-$zone" "$directory/gateway" --config "$directory/gateway-$zone.yaml"; done
wait_until 80 ready 8201
wait_until 80 ready 8202
wait_until 80 ready 8203
operate status

say "Two teams are served in three availability zones"
for port in 8001 8002 8003; do
  printf 'gateway %s: clips ' "$port" && request "$port" demo-secret-clips-1 -d tally=7
  printf 'gateway %s: reconciliation ' "$port" && request "$port" demo-secret-reconciliation-1 -d tally=7
done

say "A team beyond its upper limit of 2 is refused, and the refusal can be explained"
burst() {
  local pids=() port
  for i in $(seq "$1"); do
    port=$((8001 + i % 3))
    curl -s -o "$directory/burst.$i" -m 10 -H "Authorization: Bearer $2" -H 'X-Demo: burst' \
      -d tally=1 "http://127.0.0.1:$port/v1/pools/counting/clips" &
    pids+=($!)
  done
  wait "${pids[@]}" || true
}
burst 60 demo-secret-permits-1
id=$(grep -ho '"refusalId":"[^"]*"' "$directory"/burst.* | head -1 | cut -d'"' -f4)
echo "refusal id: $id"
wait_until 20 operate explain "$id"
operate explain "$id"

say "A job is accepted once it is in the log, and runs on a worker"
curl -s -H 'Authorization: Bearer demo-secret-clips-1' -H 'Idempotency-Key: daily-count' \
  -d '{"units":1,"class":"urgent","resources":{"cpuMilli":1000,"memoryMiB":512},"spec":"eyJydW5Gb3IiOiIzcyJ9"}' \
  http://127.0.0.1:8001/v1/pools/counting/jobs && echo
running() { operate jobs -o json | grep -q '"state": "running"'; }
wait_until 20 running
operate jobs

say "A maintenance wave drains, reboots and returns each host while requests go on"
load() {
  while [ ! -e "$directory/stop" ]; do
    for port in 8001 8002 8003; do
      request "$port" demo-secret-clips-1 -d tally=1 || true
    done
  done | sort | uniq -c >"$directory/load"
}
load &
loader=$!
sed 's/^policy:/waves:\n- {name: kernel, pool: counting, maxParallel: 1, maxPerRack: 1, canaryCount: 1, pauseAfterFailures: 1, hostTimeout: 60s}\npolicy:/' \
  examples/demo/fleet.yaml >"$fleet"
operate apply "$fleet" -m "kernel maintenance"
finished() { operate wave show kernel -o json | grep -q '"state": "done"'; }
wait_until 240 finished
operate wave show
touch "$directory/stop"
wait "$loader"
echo "requests during the wave, by answer:" && cat "$directory/load"
echo "stand-in: $(curl -s http://127.0.0.1:7000/counts)"

say "A withdrawn key is refused everywhere"
operate key withdraw clips-1
for port in 8001 8002 8003; do
  printf 'gateway %s: ' "$port" && request "$port" demo-secret-clips-1 -d tally=7
done

say "The audit trail of the operators' changes"
operate audit | awk 'NR == 1 || /change_set/'
operate audit export >"$directory/export.jsonl"
operate audit verify "$directory/export.jsonl"
