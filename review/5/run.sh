#!/bin/bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run.
here="$(cd "$(dirname "$0")" && pwd)"
root="$here/../.."
[ -f "$here/target/Case5.class" ] || { echo "run review/build-2.sh first"; exit 2; }
[ -s "$root/node/target/entry.jsa" ] || { echo "run the build of the deploy file first"; exit 2; }
exec java -Xmx384m -cp "$here/target:$here/../harness/target" Case5 \
  "$root" "$here/record.txt" "${TROUBLE:-1}"
