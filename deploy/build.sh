#!/usr/bin/env bash
# Builds the program for the platform below target/, with an archive of its classes that shortens each start.
set -euo pipefail
cd "$(dirname "$0")/.."
mvn -B -ntp -q -DskipTests -Psingle-output package -pl platform -am
java -Xshare:dump -XX:+UseSerialGC -XX:SharedClassListFile=deploy/classes.lst \
    -XX:SharedArchiveFile=target/arbutusnotch.jsa \
    -jar target/arbutusnotch-platform/arbutusnotch-platform-0.1.0-SNAPSHOT.jar > target/class-archive.log 2>&1
