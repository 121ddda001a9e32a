#!/usr/bin/env bash
# Runs all scenarios one after another and counts them. Arguments are names of
# scenarios; without them all are run.
set -euo pipefail
cd "$(dirname "$0")"

if [ $# -eq 0 ]; then
  set -- calm kill-node freeze-node platform-outage graceful-stop \
    duplicate-sends query-of-death cold-targets index-versions \
    domain-out-and-back target-faults hostile-input
fi
passed=0
for name in "$@"; do
  if "./$name.sh"; then
    passed=$((passed + 1))
  fi
done
echo "scenarios: $passed of $# passed"
[ "$passed" -eq $# ]
