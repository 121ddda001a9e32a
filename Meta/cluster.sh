#!/usr/bin/env bash
# Functions that start and stop the whole path as processes on loopback, for
# Meta/run.sh, Meta/bench.sh and the scenarios. To be sourced.
#
# A cluster has a folder with the logs, the site and one .pid file a process.
# Names of processes: platform, searchers-DOMAIN, node-N.

build=build
nodes=3
service_ms=4
node_flags=(--address_validity_ms=2000)
declare -A pid_of=()
declare -a domains=()

# Ports from the first one: the platform, the control ports of the searchers,
# the nodes, forwarders, and the targets from 100 on.
readonly ports_needed=250
readonly first_target_port=100

pick_ports() {
  local used candidate
  used=$(awk '{ split($2, a, ":"); print a[2] }' /proc/net/tcp)
  for _ in $(seq 50); do
    candidate=$((20000 + RANDOM % 38 * ports_needed))
    if ! port_range_used "$candidate" "$used"; then
      first_port=$candidate
      return
    fi
  done
  echo "no free range of ports" >&2
  return 1
}

port_range_used() {
  local hex
  while read -r hex; do
    [ -n "$hex" ] || continue
    local port=$((16#$hex))
    [ "$port" -ge "$1" ] && [ "$port" -lt $(($1 + ports_needed)) ] && return 0
  done <<<"$2"
  return 1
}

platform_address() { echo "127.0.0.1:$first_port"; }
searcher_control() { echo "127.0.0.1:$((first_port + 1 + $1))"; }
caller_address() { echo "127.0.0.1:$((first_port + 10 + 3 * $1))"; }
peer_address() { echo "127.0.0.1:$((first_port + 11 + 3 * $1))"; }
operator_address() { echo "127.0.0.1:$((first_port + 12 + 3 * $1))"; }
node_domain() { echo "${domains[$((($1 - 1) % ${#domains[@]}))]}"; }

# start_process NAME COMMAND...
start_process() {
  local name=$1
  shift
  "$@" >>"$folder/$name.log" 2>&1 &
  pid_of[$name]=$!
  echo "${pid_of[$name]}" >"$folder/$name.pid"
}

start_node() {
  local address_flags=(
    "--caller_address=$(caller_address "$1")"
    "--peer_address=${peer_override[$1]:-$(peer_address "$1")}"
    "--operator_address=$(operator_address "$1")"
  )
  start_process "node-$1" "$build/Services/verbenachuted/verbenachuted" \
    "--name=node-$1" "--region=$region" "--failure_domain=$(node_domain "$1")" \
    "${address_flags[@]}" "--platform=$(platform_address)" "${node_flags[@]}"
}
declare -A peer_override=()

# The caller ports of all nodes, joined by commas.
node_addresses() {
  local list="" n
  for n in $(seq "$nodes"); do
    list+=",$(caller_address "$n")"
  done
  echo "${list:1}"
}

vm_list() {
  local n
  for n in $(seq "$nodes"); do
    jq -nc --arg name "node-$n" --arg caller "$(caller_address "$n")" \
      --arg peer "$(peer_address "$n")" --arg domain "$(node_domain "$n")" \
      --arg operator "$(operator_address "$n")" --arg region "$region" \
      '{name: $name, caller: $caller, peer: $peer, operator: $operator,
        domain: $domain, region: $region, state: "live"}'
  done | jq -sc '{command: "vms", vms: .}'
}

# platform_command JSON
platform_command() {
  curl -sS -m 5 -o /dev/null -d "$1" "http://$(platform_address)/control"
}

# searcher_command JSON, at the searchers of all failure domains
searcher_command() {
  local index
  for index in "${!domains[@]}"; do
    curl -sS -m 5 -o /dev/null -d "$1" \
      "http://$(searcher_control "$index")/control"
  done
}

write_configuration() {
  jq '{format: 1, revision: 1,
       domains: [.region as $region | .domains[]
         | {name: ., region: $region, state: "in"}],
       targets: [.targets[]
         | {name, service, address, domain, slots, connections}]}' \
    "$folder/site.json" >"$folder/configuration.json"
}

# start_targets SITE SCALE: the platform and the searchers.
start_targets() {
  pick_ports
  Meta/write-site.sh "$1" "$2" $((first_port + first_target_port)) \
    "$service_ms" >"$folder/site.json"
  region=$(jq -r .region "$folder/site.json")
  mapfile -t domains < <(jq -r '.domains[]' "$folder/site.json")
  start_process platform "$build/StandIns/Platform/platform-standin" \
    "--address=$(platform_address)"
  local index
  for index in "${!domains[@]}"; do
    start_process "searchers-${domains[$index]}" \
      "$build/StandIns/Searcher/searcher-standin" \
      "--targets_file=$folder/site.json" "--domain=${domains[$index]}" \
      "--control_address=$(searcher_control "$index")"
  done
  wait_for "the platform" 10 \
    curl -sf -m 1 -o /dev/null "http://$(platform_address)/v1/vms"
}

# start_cluster SITE SCALE: everything, until all of it serves.
start_cluster() {
  start_targets "$1" "$2"
  write_configuration
  platform_command "$(vm_list)"
  "$build/Utilities/verbenachute/verbenachute" bootstrap \
    "--platform=$(platform_address)" "--file=$folder/configuration.json" \
    >"$folder/bootstrap.log" 2>&1 || {
    cat "$folder/bootstrap.log" >&2
    return 1
  }
  local n
  for n in $(seq "$nodes"); do
    start_node "$n"
  done
  wait_until_served
}

wait_until_served() {
  local n
  for n in $(seq "$nodes"); do
    wait_for "node-$n to answer on /healthz" 30 \
      curl -sf -m 1 -o /dev/null "http://$(caller_address "$n")/healthz"
    wait_for "node-$n to cover every shard" 60 covers_all_services "$n"
  done
}

# covers_all_services NODE
covers_all_services() {
  local service
  for service in $(jq -r '.services[].name' "$folder/site.json"); do
    probe "$1" "$service" | jq -e '.coverage.fraction == 1' >/dev/null ||
      return 1
  done
}

# probe NODE SERVICE
probe() {
  curl -s -m 2 "http://$(caller_address "$1")/v1/query" -d "$(jq -nc \
    --arg service "$2" --arg id "probe-$1-$RANDOM-$(date +%s%N)" \
    '{caller: "probe", class: "probe", service: $service, request_id: $id,
      deadline_ms: 1000, idempotent: true, query: "probe", limit: 1}')"
}

# wait_for WHAT SECONDS COMMAND...
wait_for() {
  local what=$1 limit=$2 start=$SECONDS
  shift 2
  until "$@"; do
    if [ $((SECONDS - start)) -ge "$limit" ]; then
      echo "gave up waiting for $what after $limit s" >&2
      return 1
    fi
    sleep 0.2
  done
}

# run_load ARGUMENTS...: its report is in $folder/report.json.
run_load() {
  "$build/Utilities/verbenachute-load/verbenachute-load" \
    "--nodes=$(node_addresses)" "--site_file=$folder/site.json" \
    "--report_file=$folder/report.json" \
    "--outcomes_file=$folder/outcomes.tsv" "$@" >"$folder/load.txt"
}

# collect_records: what the searchers saw, of all failure domains.
collect_records() {
  local index
  : >"$folder/executions.tsv"
  : >"$folder/records.json"
  for index in "${!domains[@]}"; do
    curl -sS -m 20 "http://$(searcher_control "$index")/control/executions" \
      >>"$folder/executions.tsv"
    curl -sS -m 20 "http://$(searcher_control "$index")/control/record" \
      >>"$folder/records.json"
  done
}

# check_records: prints each violation that the searchers' records show and
# leaves their number in $violations.
check_records() {
  collect_records
  {
    jq -r '.targets | to_entries[] | .key as $name | .value
      | (if .peak_slots > .slots
         then "VIOLATION: \($name) ran \(.peak_slots) of \(.slots)"
         else empty end),
        (if .peak_connections > .connections or .connections_refused > 0
         then "VIOLATION: \($name) had \(.peak_connections) of \(.connections) connections and refused \(.connections_refused)"
         else empty end),
        (if .last_start_after_removal_ms > 5000
         then "VIOLATION: \($name) got work \(.last_start_after_removal_ms) ms after its removal"
         else empty end),
        (if .fall_overs > 0
         then "VIOLATION: \($name) fell over \(.fall_overs) times in cold start"
         else empty end)' "$folder/records.json"
    awk -F'\t' '$6 == "non-idempotent" && ++seen[$2, $4] == 2 {
        print "VIOLATION: " $2 " ran twice on shard " $4 }' \
      "$folder/executions.tsv"
    awk -F'\t' 'NR == FNR { if ($4 == "not run") refused[$1] = 1; next }
        $2 in refused { print "VIOLATION: " $2 " was told not run, ran at " $1 }' \
      "$folder/outcomes.tsv" "$folder/executions.tsv"
  } >"$folder/violations.txt"
  violations=$(wc -l <"$folder/violations.txt")
  head -n 20 "$folder/violations.txt"
}

# stop_process NAME SIGNAL
stop_process() {
  kill "-$2" "${pid_of[$1]}" 2>/dev/null || true
}

# forget_process NAME: after its end
forget_process() {
  wait "${pid_of[$1]}" 2>/dev/null || true
  unset "pid_of[$1]"
  rm -f "$folder/$1.pid"
}

# Stops the nodes, then the rest; what does not end in time is killed.
stop_cluster() {
  local name
  for name in "${!pid_of[@]}"; do
    stop_process "$name" CONT
    [[ $name == node-* ]] && stop_process "$name" TERM
  done
  for name in "${!pid_of[@]}"; do
    [[ $name == node-* ]] && end_process "$name"
  done
  for name in "${!pid_of[@]}"; do
    stop_process "$name" TERM
    end_process "$name"
  done
}

# end_process NAME: waits for its end, and kills it when it takes too long
end_process() {
  local tries
  for tries in $(seq 200); do
    kill -0 "${pid_of[$1]}" 2>/dev/null || break
    sleep 0.1
  done
  [ "$tries" -lt 200 ] || echo "$1 did not stop within 20 s, killed" >&2
  stop_process "$1" KILL
  forget_process "$1"
}
