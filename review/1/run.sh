#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0: without
# the disruption. Needs the build of the deploy file and review/build.sh.
set -uo pipefail
folder="$(cd "$(dirname "$0")" && pwd)"
cd "$folder/../.."
scene="target/review/review-$(basename "$folder")"
[ -x "$scene" ] && [ -x target/command/parsleyloft ] || exit 2
CASE_FOLDER="$folder" timeout -s KILL 115 "$scene"
code=$?
[ "$code" -le 2 ] || code=2
exit "$code"
