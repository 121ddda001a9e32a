#!/usr/bin/env bash
# A node is killed under load and comes back with the same address.
source "$(dirname "$0")/scenario.sh"

start_cluster "$site" "$scale"
start_load 24
sleep 5
stop_process node-2 KILL
forget_process node-2
sleep 8
start_node 2
end_load
expect_figure "whole answers again by the end" \
  '[.seconds[] | select(.second >= 21)] | all(.complete == .queries)'
verdict
