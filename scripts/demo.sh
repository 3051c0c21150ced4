#!/usr/bin/env bash
# Runs the whole path on loopback: the platform's stand-ins, and a controller and a gateway in each
# of three availability zones. It needs curl.
set -euo pipefail
cd "$(dirname "$0")/.."

source scripts/processes.sh
fleet="$directory/fleet.yaml"
cp examples/demo/fleet.yaml "$fleet"

start_platform

say "An operator applies the document; it is in force when every controller has it"
operate validate "$fleet"
operate apply "$fleet" --wait
start_gateways
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
