#!/usr/bin/env bash
# Runs the case: exit code 1 if the rule was broken, 0 if it held, 2 if the case could not run.
# TROUBLE=0 runs it without the disruption. Build first: bash deploy/build.sh && bash review/build.sh
cd "$(dirname "$0")/../.." || exit 2
exec java -Xmx512m -cp review/target/classes LeaveCase review/5
