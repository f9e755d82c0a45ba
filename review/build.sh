#!/usr/bin/env bash
# Builds the stand-ins of the scripts in review/target/. It needs the JDK alone.
set -euo pipefail
cd "$(dirname "$0")"
rm -rf target/classes
mkdir -p target/classes
javac -Xlint:all,-try -d target/classes standins/*.java
