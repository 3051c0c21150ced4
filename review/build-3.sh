#!/bin/sh
# Builds the stand-ins that the scripts of the cases 11 to 15 start. Run it after the build of the deploy file.
set -e
cd "$(dirname "$0")/.."
go build -o target/lab-3 ./review/lab-3
