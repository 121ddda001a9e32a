#!/usr/bin/env bash
# Every non-idempotent request goes to two nodes at once, and one node is
# killed midway: each runs at most once.
source "$(dirname "$0")/scenario.sh"

start_cluster "$site" "$scale"
start_load 18 --duplicate_share=1
sleep 6
stop_process node-3 KILL
forget_process node-3
end_load
expect "non-idempotent requests ran" \
  grep -q "non-idempotent" "$folder/executions.tsv"
verdict
