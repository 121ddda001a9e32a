#!/usr/bin/env bash
# One target hangs, one is 20 times slower and one crashes: each shard has
# another replica.
source "$(dirname "$0")/scenario.sh"

start_cluster "$site" "$scale"
start_load 20
sleep 3
searcher_command '{"command":"hang","targets":["painel-doca-00"]}'
searcher_command '{"command":"slow","factor":20,"targets":["painel-doca-01"]}'
searcher_command '{"command":"crash","seconds":2,"targets":["painel-doca-02"]}'
searcher_command '{"command":"drain","targets":["painel-doca-03"]}'
end_load
expect_figure "whole answers again by the end" \
  '[.seconds[] | select(.second >= 10)]
   | ([.[].complete] | add) >= 0.99 * ([.[].queries] | add)'
verdict
