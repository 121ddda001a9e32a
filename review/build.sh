#!/usr/bin/env bash
# Builds the stand-ins that the scripts of the cases start, into build-review/.
set -euo pipefail
cd "$(dirname "$0")/.."

cmake -S . -B build-review -DCMAKE_BUILD_TYPE=Release \
  -DVERBENACHUTE_TESTS=OFF \
  "-DCMAKE_PROJECT_verbenachute_INCLUDE=$PWD/review/include.cmake"
cmake --build build-review -j6 --target review-store review-world
