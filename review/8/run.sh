#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0: without
# the disruption. Needs the build of deploy/system.toml and review/build-2.sh.
cd "$(dirname "$0")" || exit 2
REVIEW_ROOT="$(cd ../.. && pwd)"
export REVIEW_ROOT
# What was sent, answered and run. The stand-in adds its lines.
REVIEW_RECORD="$PWD/record.txt"
export REVIEW_RECORD
: > "$REVIEW_RECORD" || exit 2
[ -x "$REVIEW_ROOT/target/command/parsleyloft" ] && [ -x "$REVIEW_ROOT/target/review-2/lost_watch" ] || exit 2
folder="$(mktemp -d)" || exit 2
trap 'rm -rf "$folder"' EXIT
timeout 100 "$REVIEW_ROOT/target/review-2/lost_watch" "$folder"
code=$?
[ "$code" -le 1 ] || code=2
exit "$code"
