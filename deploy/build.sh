#!/usr/bin/env bash
# Builds the program for the platform below target/.
set -euo pipefail
cd "$(dirname "$0")/.."
mvn -B -ntp -q -DskipTests -Psingle-output package -pl platform -am
