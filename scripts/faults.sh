#!/usr/bin/env bash
# Runs the demo's processes on loopback under injected faults. Fails if a request that should be served
# isn't, or if a team's limit is exceeded. Takes about three minutes. Needs curl.
set -euo pipefail
cd "$(dirname "$0")/.."
source scripts/processes.sh

failures=0
# check NAME COMMAND... prints whether the command succeeds, and counts failures.
check() {
  local name=$1
  shift
  if "$@"; then echo "ok: $name"; else echo "FAILED: $name" && failures=$((failures + 1)); fi
}
# all_served SECONDS sends requests to all gateways for this time, and succeeds if all were served.
all_served() {
  local end=$((SECONDS + $1))
  while [ "$SECONDS" -lt "$end" ]; do
    for port in 8001 8002 8003; do send_request "$port" demo-secret-clips-1 -d tally=1 || true; done
  done | sort | uniq -c | tee "$work_dir/answers"
  [ "$(grep -vc ' 200 done' "$work_dir/answers")" -eq 0 ]
}
# set_fault PATH injects or ends a fault at the stand-ins.
set_fault() { curl -sf -X POST "http://127.0.0.1:7000/faults/$1"; }
# host_in_phase HOST PHASE succeeds if the controllers report the host in this phase.
host_in_phase() { cli hosts "$1" -o json | grep -q "\"phase\": \"$2\""; }
# holds_at_most TEAM LIMIT succeeds if the team's rights and job units together don't exceed the limit.
holds_at_most() {
  cli teams "$1" -o json | awk -v limit="$2" '/"held"|"jobUnits"/ { gsub(/,/, ""); sum += $2 } END { exit !(sum <= limit) }'
}

start_all
print_step "Without faults" && check "all requests are served" all_served 3

print_step "A controller is killed"
kill -9 "$(pid_of controller-west)"
check "its gateway goes on" all_served 5

print_step "The log is down"
set_fault "log-outage?on=true"
check "requests are served with the rights at hand" all_served 20
set_fault "log-outage?on=false"
start_role controller west
check "the controller is ready again" wait_until 40 is_ready 7201

print_step "A gateway is paused beyond its lease, and woken"
kill -STOP "$(pid_of gateway-east)"
sleep 8
kill -CONT "$(pid_of gateway-east)"
check "it serves again" all_served 5

print_step "A gateway is killed and restarted"
kill -9 "$(pid_of gateway-east)"
start_role gateway east
check "it is ready again" wait_until 40 is_ready 8203
check "all requests are served" all_served 5

print_step "A host fails"
set_fault "host-dead?host=centre-1&on=true"
check "other hosts serve" all_served 20
check "the failure is on record" wait_until 40 host_in_phase centre-1 failed
set_fault "host-dead?host=centre-1&on=false"
check "it comes back" wait_until 120 host_in_phase centre-1 serving

print_step "A limit is lowered below what is held, with the log losing answers"
set_fault "log-lose-answers?count=3"
sed 's/name: clips, share: 3, upperLimit: 60/name: clips, share: 3, upperLimit: 10/' examples/demo/fleet.yaml >"$work_dir/lower.yaml"
check "the lower limit is accepted" cli apply "$work_dir/lower.yaml" --wait
check "rights are within the limit" holds_at_most clips 10

echo
if [ "$failures" -gt 0 ]; then
  echo "$failures checks failed"
  exit 1
fi
echo "all checks passed"
