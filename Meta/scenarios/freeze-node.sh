#!/usr/bin/env bash
# A node is paused for longer than a lease and wakes up under load.
source "$(dirname "$0")/scenario.sh"

start_cluster "$site" "$scale"
start_load 24
sleep 4
stop_process node-2 STOP
sleep 8
stop_process node-2 CONT
end_load
expect_figure "whole answers again by the end" \
  '[.seconds[] | select(.second >= 20)] | all(.complete == .queries)'
verdict
