#!/usr/bin/env bash
# Malformed, oversized, truncated and random bytes on every port of a node:
# requests get a 4xx, and the nodes go on serving.
source "$(dirname "$0")/scenario.sh"

start_cluster "$site" "$scale"
caller=$(caller_address 1)
operators=$(operator_address 1)
peers=$(peer_address 1)
head -c 400000 /dev/zero | tr '\0' 'a' >"$folder/large"

# expect_status STATUS CURL_ARGUMENTS...
expect_status() {
  local wanted=$1 status
  shift
  status=$(curl -s -m 5 -o /dev/null -w '%{http_code}' "$@") || true
  expect "$wanted, not $status, for ${*: -1}" [ "$status" = "$wanted" ]
}

# send_bytes HOST:PORT: standard input, over a connection of its own
send_bytes() {
  timeout 2 bash -c "exec 3<>/dev/tcp/${1/://}; cat >&3; head -c 200 <&3" \
    2>/dev/null || true
}

expect_status 404 "http://$caller/nope"
expect_status 405 -X PUT -d x "http://$caller/v1/query"
expect_status 400 -d '{' "http://$caller/v1/query"
expect_status 400 -d '{"caller":"a","caller":"b"}' "http://$caller/v1/query"
expect_status 413 --data-binary "@$folder/large" "http://$caller/v1/query"
expect_status 400 -H "X: $(head -c 20000 "$folder/large")" "http://$caller/healthz"
expect_status 400 "http://$caller/v1/addresses?caller="
expect_status 413 --data-binary "@$folder/large" "http://$operators/v1/operator/changes"
for port in "$caller" "$operators" "$peers"; do
  for seed in $(seq 5); do
    awk -v seed="$seed" 'BEGIN { srand(seed); for (i = 0; i < 3000; i++)
      printf "%c", int(rand() * 256) }' | send_bytes "$port" >"$folder/answer"
  done
  printf 'POST /v1/query HTTP/1.1\r\nContent-Length: 100\r\n\r\nabc' |
    send_bytes "$port" >"$folder/answer"
  printf '\xff\xff\xff\xff\x01junk' | send_bytes "$port" >"$folder/answer"
  printf '\x00\x00\x00\x05\x02hello' | send_bytes "$port" >"$folder/answer"
  printf '\x00\x00\x00\x05\x00a@999\x00\x00\x00\x04\x01junk' |
    send_bytes "$port" >"$folder/answer"
  printf '\x00\x00\x00\x05\x00a@999\x00\x00\x00\x04\x02{{{{' |
    send_bytes "$port" >"$folder/answer"
done
start_load 5
end_load
for n in $(seq "$nodes"); do
  expect "node-$n still runs" kill -0 "${pid_of[node-$n]}"
done
expect_figure "every answer is whole" '.complete == .queries'
verdict
