#!/bin/sh
# Builds the stand-ins of the review's scripts with the JDK alone; run after the build of the deploy file.
set -e
cd "$(dirname "$0")/.."
rm -rf review/target
mkdir -p review/target
javac -d review/target review/lib/*.java review/[0-9]/*.java
