#!/bin/sh
# Exits with 1 if the rule was broken, 0 if it held, and 2 if the case couldn't run. TROUBLE=0 leaves out the disruption.
folder=$(cd "$(dirname "$0")" && pwd) && cd "$folder/../.." || exit 2
[ -x target/entry ] && [ -x target/lab-3 ] || exit 2
exec target/lab-3 -case lost-record -record "$folder/record.txt"
