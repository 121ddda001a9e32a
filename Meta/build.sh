#!/usr/bin/env bash
# Builds everything. --sanitize builds with AddressSanitizer and UBSan, in a
# folder of its own.
set -euo pipefail
cd "$(dirname "$0")/.."

folder=build
options=()
case "${1:-}" in
  "") ;;
  --sanitize)
    folder=build-sanitize
    options+=(-DVERBENACHUTE_SANITIZE=ON)
    ;;
  *)
    echo "usage: Meta/build.sh [--sanitize]" >&2
    exit 2
    ;;
esac

# A checkout in another folder finds what this one has compiled.
export CCACHE_BASEDIR=$PWD CCACHE_NOHASHDIR=1
cmake -S . -B "$folder" -G Ninja "${options[@]}" >"/tmp/cmake-configure.$$" || {
  cat "/tmp/cmake-configure.$$"
  exit 1
}
rm -f "/tmp/cmake-configure.$$"
cmake --build "$folder"
