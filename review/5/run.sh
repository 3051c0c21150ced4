#!/usr/bin/env bash
# Plays the case on loopback addresses. Exits with 1 if the rule was broken, 0 if it held, and 2 if the case couldn't run.
# TROUBLE=0 plays it without the disruption.
here=$(cd "$(dirname "$0")" && pwd) || exit 2
cd "$here/../.." || exit 2
program=$(sed -n 's/^run = "\(.*\)"$/\1/p' deploy/system.toml)
trouble=true
[ "${TROUBLE:-1}" = 0 ] && trouble=false
exec target/review-standin -scenario timed -program "$program" -record "$here/record.txt" -trouble=$trouble
