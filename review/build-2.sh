#!/usr/bin/env bash
# Builds the program of the second review's scripts, which is the stand-in of everything around the entry processes.
set -euo pipefail
cd "$(dirname "$0")/.."
go build -o target/lab-2 ./review/lab-2
