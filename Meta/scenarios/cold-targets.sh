#!/usr/bin/env bash
# The targets of a failure domain turn cold without warning, and later all of
# them at once, while their endpoints say that all is well.
source "$(dirname "$0")/scenario.sh"

start_cluster "$site" "$scale"
searcher_command '{"command":"mislead","status":"ok","running":0}'
start_load 24
sleep 4
searcher_command \
  "$(jq -nc --arg d "${domains[0]}" '{command: "cold", domain: $d, seconds: 5}')"
sleep 8
searcher_command '{"command":"cold","seconds":4}'
end_load
expect_figure "whole answers again by the end" \
  '[.seconds[] | select(.second >= 21)] | all(.complete == .queries)'
verdict
