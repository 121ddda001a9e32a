#!/usr/bin/env bash
# The platform answers nothing for a while, and loses the replies of writes
# afterwards; queries do not depend on it.
source "$(dirname "$0")/scenario.sh"

start_cluster "$site" "$scale"
start_load 20
sleep 3
platform_command '{"command":"outage","mode":"silence"}'
sleep 10
platform_command '{"command":"recover"}'
platform_command '{"command":"lose_replies","count":3}'
end_load
expect_figure "every answer is complete" '.complete == .queries'
verdict
