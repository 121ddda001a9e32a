#!/usr/bin/env bash
# A new version is published and the old one dropped under load, then the
# index is repartitioned: each answer comes from one version.
source "$(dirname "$0")/scenario.sh"

# publish VERSION: at all searchers, domain by domain
publish() {
  local service count domain
  for domain in "${domains[@]}"; do
    while read -r service count; do
      searcher_command "$(jq -nc --arg s "$service" --argjson v "$1" \
        --argjson n "$count" --arg d "$domain" '{command: "publish",
          domain: $d, service: $s, version: $v, shard_count: $n}')"
    done < <(jq -r --argjson v "$1" '.services[]
      | "\(.name) \(.versions[] | select(.version == $v) | .shard_count)"' \
      "$folder/site.json")
    sleep 0.5
  done
}

start_cluster "$site" "$scale"
start_load 24
sleep 3
publish 8
sleep 4
searcher_command '{"command":"drop_version","version":7}'
sleep 3
publish 9
sleep 4
searcher_command '{"command":"drop_version","version":8}'
end_load
expect_figure "whole answers again by the end" \
  '[.seconds[] | select(.second >= 22)] | all(.complete == .queries)'
verdict
