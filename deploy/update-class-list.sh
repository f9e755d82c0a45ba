#!/usr/bin/env bash
# Writes the classes that a run of the program loads to deploy/classes.lst, from which the build makes the archive that
# shortens the start of the program. Run it after a change of libraries; missing or unknown classes do no harm.
set -euo pipefail
cd "$(dirname "$0")/.."
list="$PWD/target/classes.lst"
mkdir -p target
mvn -B -ntp -q test -pl platform -am -Dsurefire.failIfNoSpecifiedTests=false \
    -Dtest=PlatformProgramTest -Darbutusnotch.class.list="$list"
grep -v '^@\|^#\|LambdaForm\|Lambda\$' "$list" | sort -u > deploy/classes.lst
