#!/usr/bin/env bash
# Nothing happens: every answer is complete.
source "$(dirname "$0")/scenario.sh"

start_cluster "$site" "$scale"
start_load 10
end_load
expect_figure "every answer is complete" '.complete == .queries'
verdict
