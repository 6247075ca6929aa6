#!/usr/bin/env bash
# Builds the stand-ins that the scripts of the review start, after the build of the deploy file.
set -euo pipefail
cd "$(dirname "$0")"
cmake -S . -B ../target/review -DCMAKE_BUILD_TYPE=Release
cmake --build ../target/review -j8
