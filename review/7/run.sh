#!/usr/bin/env bash
# Plays the case; exits with 1 if the rule was broken, 0 if it held, and 2 if the case could not run.
cd "$(dirname "$0")/../.." || exit 2
java="${JAVA_HOME:+$JAVA_HOME/bin/}java"
[ -d target/review-2 ] || { echo "run deploy/build.sh and review/build-2.sh first" >&2; exit 2; }
exec "$java" -Xmx512m -cp target/review-2 LongerThanEstimated review/7
