#!/usr/bin/env bash
# A node is stopped by SIGTERM under load: no request is lost and it exits
# with 0.
source "$(dirname "$0")/scenario.sh"

start_cluster "$site" "$scale"
start_load 20
sleep 4
node=${pid_of[node-2]}
stop_process node-2 TERM
status=0
wait "$node" || status=$?
unset "pid_of[node-2]"
end_load
expect "the node exits with 0, not $status" [ "$status" -eq 0 ]
expect_figure "no request fails" '.failed == 0'
expect_figure "whole answers again by the end" \
  '[.seconds[] | select(.second >= 16)] | all(.complete == .queries)'
verdict
