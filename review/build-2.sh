#!/usr/bin/env bash
# Builds the stand-ins of the scripts in review/6 and review/8, and slow_body (REPORT-2.md), into target/review-2/.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-2
for name in lost_watch lost_leaving slow_body; do
  g++ -std=c++20 -O1 -Wall -Wextra -pthread -o "target/review-2/$name" "review/stand-2/$name.cc" review/stand-2/site.cc
done
