#!/usr/bin/env bash
# Operators take a failure domain out and bring it back with cold targets: no
# new work after 5 s, and no target falls over.
source "$(dirname "$0")/scenario.sh"

start_cluster "$site" "$scale"
start_load 34
sleep 5
operator domain out "${domains[1]}" >"$folder/operator.log" 2>&1 ||
  failures+=("domain out is accepted")
searcher_command \
  "$(jq -nc --arg d "${domains[1]}" '{command: "taken_out", domain: $d}')"
sleep 10
searcher_command \
  "$(jq -nc --arg d "${domains[1]}" '{command: "returned", domain: $d}')"
searcher_command \
  "$(jq -nc --arg d "${domains[1]}" '{command: "cold", domain: $d, seconds: 6}')"
operator domain in "${domains[1]}" >>"$folder/operator.log" 2>&1 ||
  failures+=("domain in is accepted")
end_load
expect_figure "at least 95% whole answers in each second" \
  '[.seconds[] | select(.queries >= 20)] | all(.complete >= 0.95 * .queries)'
verdict
