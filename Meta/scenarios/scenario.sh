#!/usr/bin/env bash
# The frame of a scenario: starts a small site with three nodes, runs a load
# beside what the scenario does, and checks the searchers' records. To be
# sourced. A scenario prints one line, "PASS name" or "FAIL name: why".
set -euo pipefail
cd "$(dirname "${BASH_SOURCE[0]}")/../.."
source Meta/cluster.sh

scenario=$(basename "$0" .sh)
scale=${SCENARIO_SCALE:-0.4}
site=${SCENARIO_SITE:-gelo-volta}
seed=${SCENARIO_SEED:-1}
failures=()
folder=$(mktemp -d)

finish() {
  local status=$?
  stop_cluster
  if [ $status -eq 0 ]; then
    rm -rf "$folder"
  else
    echo "  logs are in $folder" >&2
  fi
  exit $status
}
trap finish EXIT
trap 'exit 130' INT TERM

# start_load SECONDS ARGUMENTS...: in the background
start_load() {
  local length=$1
  shift
  run_load "--seconds=$length" "--seed=$seed" "--rate=${rate:-60}" "$@" &
  load=$!
}

# End the load and check all that must hold in every scenario.
end_load() {
  local status=0
  wait "$load" || status=$?
  summary=$(tail -n 1 "$folder/load.txt")
  expect "the load ran and nothing was wrong" [ "$status" -eq 0 ]
  check_records
  expect "no violations in the records" [ "$violations" -eq 0 ]
}

# expect WHAT CONDITION...
expect() {
  local what=$1
  shift
  "$@" || failures+=("$what")
}

# expect_figure WHAT FILTER: a jq condition on the load's report
expect_figure() {
  jq -e "$2" "$folder/report.json" >/dev/null || failures+=("$1")
}

# expect_record WHAT FILTER: a jq condition on the array of all targets
expect_record() {
  jq -s -e "[.[].targets[]] | $2" "$folder/records.json" >/dev/null ||
    failures+=("$1")
}

# operator ARGUMENTS...: the operators' tool, at the first node
operator() {
  "$build/Utilities/verbenachute/verbenachute" "$@" \
    "--node=$(operator_address 1)" "--operator=ana"
}

verdict() {
  if [ "${#failures[@]}" -eq 0 ]; then
    echo "PASS $scenario: $summary"
    return 0
  fi
  local failure
  for failure in "${failures[@]}"; do
    echo "FAIL $scenario: not so: $failure: $summary"
  done
  grep -E '^(failed|WRONG):' "$folder/load.txt" || true
  return 1
}
