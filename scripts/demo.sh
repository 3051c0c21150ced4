#!/usr/bin/env bash
# Demonstrates the system on loopback: stand-ins for the platform, and a controller and a gateway in each
# of three availability zones. Needs curl.
set -euo pipefail
cd "$(dirname "$0")/.."

source scripts/processes.sh
fleet="$work_dir/fleet.yaml"
cp examples/demo/fleet.yaml "$fleet"

start_platform

print_step "An operator applies the document; it is in force when every controller has it"
cli validate "$fleet"
cli apply "$fleet" --wait
start_gateways
cli status

print_step "Two teams are served in three availability zones"
for port in 8001 8002 8003; do
  printf 'gateway %s: clips ' "$port" && send_request "$port" demo-secret-clips-1 -d tally=7
  printf 'gateway %s: reconciliation ' "$port" && send_request "$port" demo-secret-reconciliation-1 -d tally=7
done

print_step "A team beyond its upper limit of 2 is refused, and the refusal can be explained"
# burst COUNT KEY sends requests to the three gateways at the same time, and stores each response body.
burst() {
  local pids=() port
  for i in $(seq "$1"); do
    port=$((8001 + i % 3))
    curl -s -o "$work_dir/burst.$i" -m 10 -H "Authorization: Bearer $2" -H 'X-Demo: burst' \
      -d tally=1 "http://127.0.0.1:$port/v1/pools/counting/clips" &
    pids+=($!)
  done
  wait "${pids[@]}" || true
}
burst 60 demo-secret-permits-1
id=$(grep -ho '"refusalId":"[^"]*"' "$work_dir"/burst.* | head -1 | cut -d'"' -f4)
echo "refusal id: $id"
wait_until 20 cli explain "$id"
cli explain "$id"

print_step "A job is accepted once it is in the log, and runs on a worker"
curl -s -H 'Authorization: Bearer demo-secret-clips-1' -H 'Idempotency-Key: daily-count' \
  -d '{"units":1,"class":"urgent","resources":{"cpuMilli":1000,"memoryMiB":512},"spec":"eyJydW5Gb3IiOiIzcyJ9"}' \
  http://127.0.0.1:8001/v1/pools/counting/jobs && echo
job_running() { cli jobs -o json | grep -q '"state": "running"'; }
wait_until 20 job_running
cli jobs

print_step "A maintenance wave drains, reboots and returns each host while requests go on"
# send_load sends requests to each gateway until the stop file exists, and counts them by response.
send_load() {
  while [ ! -e "$work_dir/stop" ]; do
    for port in 8001 8002 8003; do
      send_request "$port" demo-secret-clips-1 -d tally=1 || true
    done
  done | sort | uniq -c >"$work_dir/load"
}
send_load &
load_pid=$!
sed 's/^policy:/waves:\n- {name: kernel, pool: counting, maxParallel: 1, maxPerRack: 1, canaryCount: 1, pauseAfterFailures: 1, hostTimeout: 60s}\npolicy:/' \
  examples/demo/fleet.yaml >"$fleet"
cli apply "$fleet" -m "kernel maintenance"
wave_finished() { cli wave show kernel -o json | grep -q '"state": "done"'; }
wait_until 240 wave_finished
cli wave show
touch "$work_dir/stop"
wait "$load_pid"
echo "requests during the wave, by answer:" && cat "$work_dir/load"
echo "stand-in: $(curl -s http://127.0.0.1:7000/counts)"

print_step "A withdrawn key is refused everywhere"
cli key withdraw clips-1
for port in 8001 8002 8003; do
  printf 'gateway %s: ' "$port" && send_request "$port" demo-secret-clips-1 -d tally=7
done

print_step "The audit trail of the operators' changes"
cli audit | awk 'NR == 1 || /change_set/'
cli audit export >"$work_dir/export.jsonl"
cli audit verify "$work_dir/export.jsonl"
