#!/usr/bin/env bash
# Runs the randomised schedules with more seeds than the tests do.
#   Meta/soak.sh --seeds N
set -euo pipefail
cd "$(dirname "$0")/.."

if [ "${1:-}" != --seeds ] || ! [[ ${2:-} =~ ^[1-9][0-9]*$ ]]; then
  echo "usage: Meta/soak.sh --seeds N" >&2
  exit 2
fi
export CELL_SEEDS=$2 QUERY_SEEDS=$2 VERBENACHUTE_TEST_SEEDS=$2
status=0
for name in LibQuery LibDispatch LibOnce LibMembership; do
  echo "== $name, $2 seeds"
  "build/Tests/$name/Test$name" -tc='*andom*' | tail -n 4 || status=1
done
exit $status
