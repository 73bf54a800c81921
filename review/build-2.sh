#!/bin/bash
# Compiles the stand-ins and clients of the scripts under review/[4-8] with the JDK alone.
set -euo pipefail
cd "$(dirname "$0")"
rm -rf harness/target
mkdir -p harness/target
javac -nowarn -encoding UTF-8 -d harness/target harness/src/*.java
for folder in [4-8]; do
  if compgen -G "$folder/src/*.java" > /dev/null; then
    rm -rf "$folder/target"
    mkdir -p "$folder/target"
    javac -nowarn -encoding UTF-8 -cp harness/target -d "$folder/target" "$folder"/src/*.java
  fi
done
