#!/usr/bin/env bash
# Runs the fault matrices of the decision logic and prints their cells; the
# last line counts all of them. Exits 0 only if every cell held.
set -euo pipefail
cd "$(dirname "$0")/.."

programs=(LibQuery LibDispatch LibOnce LibMembership LibConfiguration)
log=$(mktemp)
trap 'rm -f "$log"' EXIT
status=0
for name in "${programs[@]}"; do
  echo "== $name"
  "build/Tests/$name/Test$name" -tc='*atrix*,*fault*,*Fault*' >"$log.one" 2>&1 ||
    status=1
  grep -E 'cells [0-9]+, held|^\[doctest\] test cases' "$log.one" || true
  cat "$log.one" >>"$log"
  rm -f "$log.one"
done

# The matrix of LibDispatch counts by the rows of its table alone.
grep -oE 'cells [0-9]+, held [0-9]+, failed [0-9]+, not applicable [0-9]+' "$log" |
  tr -d ',' |
  awk '{ cells += $2; held += $4; failed += $6; not += $9 }
       END { printf "cells %d, held %d, failed %d, not applicable %d\n",
             cells, held, failed, not }'
exit $status
