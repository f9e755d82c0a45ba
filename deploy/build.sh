#!/usr/bin/env bash
# Builds the platform program in target/ and a class data sharing (CDS) archive that shortens its startup.
set -euo pipefail
cd "$(dirname "$0")/.."
mvn -B -ntp -q -DskipTests -Psingle-output package -pl platform -am
java -Xshare:dump -XX:+UseSerialGC -XX:SharedClassListFile=deploy/classes.lst \
    -XX:SharedArchiveFile=target/arbutusnotch.jsa \
    -jar target/arbutusnotch-platform/arbutusnotch-platform-0.1.0-SNAPSHOT.jar > target/class-archive.log 2>&1
