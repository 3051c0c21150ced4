#!/usr/bin/env bash
# Builds the stand-in that the scripts of the cases start.
set -euo pipefail
cd "$(dirname "$0")/.."
go build -o target/review-standin ./review/standin
