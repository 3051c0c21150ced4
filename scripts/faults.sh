#!/usr/bin/env bash
# Runs the whole path on loopback under faults, and fails when a request isn't served that should be,
# or when a team's limit isn't kept. It takes about three minutes. It needs curl.
set -euo pipefail
cd "$(dirname "$0")/.."
source scripts/processes.sh

failures=0
# check NAME CONDITION... reports whether the condition holds.
check() {
  local name=$1
  shift
  if "$@"; then echo "ok: $name"; else echo "FAILED: $name" && failures=$((failures + 1)); fi
}
# served SECONDS sends requests to all gateways for a while and reports whether all were served.
served() {
  local end=$((SECONDS + $1))
  while [ "$SECONDS" -lt "$end" ]; do
    for port in 8001 8002 8003; do request "$port" demo-secret-clips-1 -d tally=1 || true; done
  done | sort | uniq -c | tee "$directory/answers"
  [ "$(grep -vc ' 200 done' "$directory/answers")" -eq 0 ]
}
fault() { curl -sf -X POST "http://127.0.0.1:7000/faults/$1"; }
host_phase() { operate hosts "$1" -o json | grep -q "\"phase\": \"$2\""; }
# held_within TEAM LIMIT reports whether rights and job units are within the limit.
held_within() {
  operate teams "$1" -o json | awk -v limit="$2" '/"held"|"jobUnits"/ { gsub(/,/, ""); sum += $2 } END { exit !(sum <= limit) }'
}

start_all
say "Without faults" && check "all requests are served" served 3

say "A controller is killed"
kill -9 "$(process_of controller-west)"
check "its gateway goes on" served 5

say "The log is down"
fault "log-outage?on=true"
check "requests are served with the rights at hand" served 20
fault "log-outage?on=false"
start_role controller west
check "the controller is ready again" wait_until 40 ready 7201

say "A gateway is paused beyond its lease, and woken"
kill -STOP "$(process_of gateway-east)"
sleep 8
kill -CONT "$(process_of gateway-east)"
check "it serves again" served 5

say "A gateway is killed and restarted"
kill -9 "$(process_of gateway-east)"
start_role gateway east
check "it is ready again" wait_until 40 ready 8203
check "all requests are served" served 5

say "A host fails"
fault "host-dead?host=centre-1&on=true"
check "other hosts serve" served 20
check "the failure is on record" wait_until 40 host_phase centre-1 failed
fault "host-dead?host=centre-1&on=false"
check "it comes back" wait_until 120 host_phase centre-1 serving

say "A limit is lowered below what is held, with the log losing answers"
fault "log-lose-answers?count=3"
sed 's/name: clips, share: 3, upperLimit: 60/name: clips, share: 3, upperLimit: 10/' examples/demo/fleet.yaml >"$directory/lower.yaml"
check "the lower limit is accepted" operate apply "$directory/lower.yaml" --wait
check "rights are within the limit" held_within clips 10

echo
if [ "$failures" -gt 0 ]; then
  echo "$failures checks failed"
  exit 1
fi
echo "all checks passed"
