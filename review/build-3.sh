#!/usr/bin/env bash
# Builds the stand-ins of the scripts of this review into target/review-3, after the build of the
# deploy file. Needs nothing beside what that build needs.
set -euo pipefail
cd "$(dirname "$0")/.."
cmake --build target --target parsleyloft_lab -j8
mkdir -p target/review-3
mapfile -t libraries < <(find target -name 'libparsleyloft_*.a')
build() {
  g++ -std=c++20 -O2 -Wall -Wextra -I. -Igenerated "$1" review/stand-ins-3/site.cc \
    -Wl,--start-group "${libraries[@]}" -Wl,--end-group \
    -lprotobuf -lboost_program_options -llog4cxx -lprometheus-cpp-core -lzstd -lxxhash -lpthread \
    -o "target/review-3/$2"
}
build review/11/restored.cc restored
build review/12/changes.cc changes
build review/13/crowd.cc crowd
build review/14/stop.cc stop
build review/15/cut.cc cut
