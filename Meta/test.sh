#!/usr/bin/env bash
# Builds and runs all tests. --sanitize runs them with AddressSanitizer and
# UBSan. Tests that KNOWN-RED.txt lists are run, printed and passed over.
set -euo pipefail
cd "$(dirname "$0")/.."

folder=build
[ "${1:-}" = "--sanitize" ] && folder=build-sanitize
Meta/build.sh "$@"

# An entry of KNOWN-RED.txt is one line: test | command and seed | seen | issue.
mapfile -t known < <(grep -v '^#' KNOWN-RED.txt | cut -d'|' -f1 | sed 's/ *$//' |
  grep . || true)
exclude=()
if [ "${#known[@]}" -gt 0 ]; then
  pattern="^($(IFS='|'; echo "${known[*]}"))\$"
  echo "known red, run for the record and passed over:"
  grep -v '^#' KNOWN-RED.txt
  ctest --test-dir "$folder" -R "$pattern" --output-on-failure || true
  exclude=(-E "$pattern")
fi
ctest --test-dir "$folder" -j "$(nproc)" --output-on-failure "${exclude[@]}"
