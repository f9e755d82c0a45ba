#!/usr/bin/env bash
# Writes the names of the classes that the program loads to deploy/classes.lst; deploy/build.sh creates the class data
# sharing (CDS) archive from this list. Run it after changing libraries; missing or unknown classes do no harm.
set -euo pipefail
cd "$(dirname "$0")/.."
list="$PWD/target/classes.lst"
mkdir -p target
mvn -B -ntp -q test -pl platform -am -Dsurefire.failIfNoSpecifiedTests=false \
    -Dtest=PlatformProgramTest -Darbutusnotch.class.list="$list"
grep -v '^@\|^#\|LambdaForm\|Lambda\$' "$list" | sort -u > deploy/classes.lst
