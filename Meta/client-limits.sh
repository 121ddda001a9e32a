#!/usr/bin/env bash
# Checks that a crowd of clients of one kind takes no more of a node's memory
# and descriptors than its settings allow, and that the node serves an ordinary
# request afterwards. No times are checked.
#   Meta/client-limits.sh KIND [--without-settings]
# KIND: bodies, chunked, heads, fields, pipelined, slow-readers, half-open, all,
# queries (with bodies, over all shards), gather (the crowd's queries are gathered
# at another node), directory-bodies, ready-bodies, peer-bodies, operator-bodies,
# ready-half-open, peer-half-open, frames (each at the listener of that name),
# targets (queries that need more connections to targets than there may be),
# listeners (all of them at once, while two of three nodes are lost),
# smallest-fields, smallest-listeners, usual-listeners (with the memory and the
# descriptors of a whole machine) or calm (one request of the largest legal size
# and no crowd). --without-settings leaves out memory_mb and descriptors, for
# programs that do not have them. Status: 0 passed, 1 failed, 2 usage, 3 not run.
set -euo pipefail
cd "$(dirname "$0")/.."

build=${BUILD_FOLDER:-build}
service=$build/Services/verbenachuted/verbenachuted
standin=$build/StandIns/Deployment/deployment-standin
crowd=$build/StandIns/ClientCrowd/client-crowd

# The settings of the nodes, and the bound that follows: the budget and what an
# idle process takes, which is 11 MB, with room for the allocator.
memory_mb=48
descriptors=800
bound_mb=$((memory_mb + 16))
nodes=1
# The listener that the crowd connects to, whether further crowds connect to the
# others, and the nodes that are lost meanwhile.
port=caller
other_listeners=no
lost=()
# The crowds differ as the memory that one client can take does.
case "${1:-}" in
  bodies | chunked | slow-readers | pipelined) kind=$1 clients=500 ;;
  heads | fields) kind=$1 clients=700 ;;
  half-open) kind=half-open clients=1200 ;;
  queries) kind=queries clients=400 ;;
  all) kind=all clients=150 ;;
  gather) kind=queries clients=400 nodes=3 ;;
  directory-bodies | ready-bodies | peer-bodies | operator-bodies)
    kind=bodies clients=500 port=${1%-bodies}
    ;;
  ready-half-open | peer-half-open)
    kind=half-open clients=1200 port=${1%-half-open}
    ;;
  targets) kind=short-queries clients=400 descriptors=300 ;;
  frames) kind=frames clients=300 port=gather ;;
  listeners)
    kind=all clients=50 nodes=3 other_listeners=yes lost=(node-2 node-3)
    ;;
  smallest-fields) kind=fields clients=1500 ;;
  smallest-listeners | usual-listeners)
    kind=all clients=300 nodes=3 other_listeners=yes lost=(node-2 node-3)
    ;;
  calm) kind='' clients=0 ;;
  *)
    grep -m 1 '^#   Meta/' "$0" | cut -c3- >&2
    exit 2
    ;;
esac
# Whole machines: the process must stay within their memory.
case "$1" in
  smallest-*) memory_mb=112 descriptors=2870 bound_mb=112 ;;
  usual-*) memory_mb=260 descriptors=4100 bound_mb=260 ;;
esac
settings=$'retry_ratio = 0.2\n'
if [ "${2:-}" != --without-settings ]; then
  settings+="memory_mb = $memory_mb"$'\n'"descriptors = $descriptors"$'\n'
fi

domains=(caxias-a caxias-b bento-c)
declare -A pid_of=()
# Ports of the listeners, counted from the first port of a node.
declare -A offset_of=([caller]=0 [peer]=1 [operator]=2 [directory]=3 [gather]=4
  [ready]=231)
crowd_pids=()
deployment=
folder=$(mktemp -d)

# Ends what this script has started, by id.
finish() {
  local status=$? pid
  for pid in "${pid_of[@]}" "${crowd_pids[@]}" $deployment; do
    kill -KILL "$pid" 2>/dev/null || true
  done
  # Collects the processes, so that the shell reports none of them.
  wait 2>/dev/null || true
  if [ "$status" -eq 0 ]; then
    rm -rf "$folder"
  else
    echo "logs are in $folder"
  fi
  exit "$status"
}
trap finish EXIT
trap 'exit 130' INT TERM

# A range of ports that nothing listens on.
pick_ports() {
  local used candidate port
  used=$(awk '{ split($2, a, ":"); print a[2] }' /proc/net/tcp)
  for _ in $(seq 50); do
    candidate=$((20000 + RANDOM % 48 * 250))
    for port in $used; do
      port=$((16#${port:0:4}))
      [ "$port" -lt "$candidate" ] || [ "$port" -ge $((candidate + 250)) ] ||
        continue 2
    done
    echo "$candidate"
    return
  done
  echo "no free range of ports" >&2
  exit 3
}

start_node() {
  local number=${1#node-} base
  base=$((first_port + 10 + 5 * (number - 1)))
  printf %s "$settings" >"$folder/$1.settings"
  "$service" "--name=$1" --region=sul-rs \
    "--failure_domain=${domains[$(((number - 1) % 3))]}" \
    "--domains=caxias-a=sul-rs,caxias-b=sul-rs,bento-c=sul-rs" \
    "--caller_address=127.0.0.1:$base" "--peer_address=127.0.0.1:$((base + 1))" \
    "--operator_address=127.0.0.1:$((base + 2))" \
    "--directory_address=127.0.0.1:$((base + 3))" \
    "--gather_address=127.0.0.1:$((base + 4))" \
    "--ready_address=127.0.0.1:$((first_port + 240 + number))" \
    "--platform=127.0.0.1:$first_port" --dispatch=direct \
    "--settings_file=$folder/$1.settings" >"$folder/$1.log" 2>&1 &
  pid_of[$1]=$!
}

# ask PATH [BODY_BYTES]: the status of one request at the first node; 000 if
# there was none.
ask() {
  local status line
  exec {connection}<>"/dev/tcp/127.0.0.1/$((first_port + 10))" 2>/dev/null ||
    { echo 000; return; }
  {
    printf 'POST %s HTTP/1.1\r\nHost: dock.example\r\n' "$1"
    printf 'Connection: close\r\nContent-Length: %d\r\n\r\n' "${2:-0}"
    head -c "${2:-0}" /dev/zero
  } >&"$connection" 2>/dev/null || true
  read -r -t 10 -u "$connection" line 2>/dev/null || line='HTTP/1.1 000'
  exec {connection}>&-
  status=${line#* }
  echo "${status:0:3}"
}

# expect_served PATH [BODY_BYTES]: asks until it is served.
expect_served() {
  local status=000
  for _ in $(seq 60); do
    status=$(ask "$@")
    [ "$status" != 200 ] || return 0
    sleep 0.25
  done
  echo "FAILED: a request for $1 of ${2:-0} bytes got $status"
  return 1
}

count_descriptors() {
  local name open count
  for name in "${!pid_of[@]}"; do
    # Some close meanwhile.
    open=$(find "/proc/${pid_of[$name]}/fd" -printf '%l\n' 2>/dev/null) || true
    count=$(wc -l <<<"$open")
    [ "$count" -le "$most_descriptors" ] || most_descriptors=$count
    count=$(grep -c '^socket:' <<<"$open") || true
    [ "$count" -le "$most_sockets" ] || most_sockets=$count
  done
}

# start_crowd KIND LISTENER: a crowd at a listener of the first node.
start_crowd() {
  "$crowd" "--kind=$1" "--clients=$clients" \
    "--port=$((first_port + 10 + ${offset_of[$2]}))" \
    >"$folder/crowd-$1-$2.log" 2>&1 &
  crowd_pids+=("$!")
}

first_port=$(pick_ports)
mkfifo "$folder/commands"
"$standin" --calm --single_bytes=1048576 "--nodes=$nodes" \
  "--domains=$(IFS=,; echo "${domains[*]}")" "--first_port=$first_port" \
  >"$folder/commands" 2>"$folder/deployment.log" &
deployment=$!
exec {commands}<"$folder/commands"
for _ in $(seq "$nodes"); do
  read -r -t 20 -u "$commands" _ name || exit 3
  start_node "$name"
done
expect_served /one/ || exit 3
expect_served /all/ || exit 3
idle=$(awk '/^VmHWM:/ { print int($2 / 1024) }' "/proc/${pid_of[node-1]}/status")

failed=0
most_descriptors=0
most_sockets=0
if [ -n "$kind" ]; then
  start_crowd "$kind" "$port"
  if [ "$other_listeners" = yes ]; then
    start_crowd queries caller
    for listener in directory ready peer operator; do
      start_crowd bodies "$listener"
    done
    start_crowd frames gather
  fi
  while kill -0 "${crowd_pids[@]}" 2>/dev/null; do
    count_descriptors
    sleep 0.3
    for name in "${lost[@]}"; do
      kill -KILL "${pid_of[$name]}"
      wait "${pid_of[$name]}" 2>/dev/null || true
      unset "pid_of[$name]"
    done
    lost=()
  done
  for pid in "${crowd_pids[@]}"; do
    wait "$pid" || exit 3
  done
  cat "$folder"/crowd-*.log
  expect_served /one/ || failed=1
else
  expect_served /one/ 262144 || failed=1
fi
for name in "${!pid_of[@]}"; do
  if ! kill -0 "${pid_of[$name]}" 2>/dev/null; then
    echo "FAILED: $name has ended"
    failed=1
    continue
  fi
  peak=$(awk '/^VmHWM:/ { print int($2 / 1024) }' "/proc/${pid_of[$name]}/status")
  echo "$name: peak $peak MB of $bound_mb, idle $idle MB"
  if [ "$peak" -gt "$bound_mb" ]; then
    echo "FAILED: $name took more than $bound_mb MB"
    failed=1
  fi
done
echo "descriptors: $most_descriptors of $descriptors"
if [ "$most_descriptors" -gt "$descriptors" ]; then
  echo "FAILED: more than $descriptors descriptors"
  failed=1
fi
# The others are for files.
sockets=$((descriptors - 200))
echo "sockets: $most_sockets of $sockets"
if [ "$most_sockets" -gt "$sockets" ]; then
  echo "FAILED: more than $sockets sockets"
  failed=1
fi
exit "$failed"
