#!/usr/bin/env bash
# Builds the stand-ins and cases of the second review in target/review-2/, after the build of the deploy file.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-2
java_home="${JAVA_HOME:-}"
compiler="${java_home:+$java_home/bin/}javac"
"$compiler" -encoding UTF-8 -d target/review-2 review/standins-2/*.java
