#!/usr/bin/env bash
# Runs nodes as processes in a stand-in of a whole deployment and does to them
# what each seed draws: kills, stops, freezes, reloads, beside faults of the
# store and the targets and acts of operators, in series and at once. The
# promises are checked while it runs, from what callers and targets see.
#   Meta/fault-soak.sh --seeds N [--first-seed S] [--seconds T] [--nodes N]
#     [--crash-share P] [--memory MB] [--no-timing] [--keep-logs]
# Builds the two programs if they are missing. --memory: what a node may take at
# its peak. --no-timing: leaves out bounds in real time, which a busy machine
# may break. Last line: seeds N, failed M, queries Q, violations V, not run K. A
# seed that did not run to its end is not a violation. Status: 0 all passed, 1 a
# seed failed, 2 usage, 3 not run.
set -euo pipefail
cd "$(dirname "$0")/.."

seeds=1
first_seed=1
length=30
nodes=3
crash_share=0
memory=160
timing=true
keep=no
build=${BUILD_FOLDER:-build}
usage() {
  sed -n '6,8p' "$0" | cut -c3- >&2
  exit 2
}
while [ $# -gt 0 ]; do
  case "$1" in
    --keep-logs) keep=yes; shift; continue ;;
    --no-timing) timing=false; shift; continue ;;
  esac
  [ $# -ge 2 ] || usage
  case "$1" in
    --seeds) seeds=$2 ;;
    --first-seed) first_seed=$2 ;;
    --seconds) length=$2 ;;
    --nodes) nodes=$2 ;;
    --crash-share) crash_share=$2 ;;
    --memory) memory=$2 ;;
    *) usage ;;
  esac
  shift 2
done
[[ $seeds =~ ^[1-9][0-9]*$ && $first_seed =~ ^[0-9]+$ ]] || usage
[[ $length =~ ^[1-9][0-9]*$ && $nodes =~ ^[1-9]$ ]] || usage
[[ $memory =~ ^[1-9][0-9]*$ ]] || usage

service=$build/Services/verbenachuted/verbenachuted
standin=$build/StandIns/Deployment/deployment-standin
if [ ! -x "$service" ] || [ ! -x "$standin" ]; then
  log=$(mktemp)
  if ! { cmake -S . -B "$build" -G Ninja &&
    cmake --build "$build" --target verbenachuted deployment-standin; } \
    >"$log" 2>&1; then
    echo "fault-soak: cannot build verbenachuted and deployment-standin in" \
      "$build; see $log" >&2
    exit 3
  fi
  rm -f "$log"
fi

domains=(caxias-a caxias-b bento-c)
declare -A pid_of=()
deployment=

# Ends what this script has started, by id.
finish() {
  local status=$? pid
  for pid in "${pid_of[@]}" $deployment; do
    kill -CONT "$pid" 2>/dev/null || true
    kill -KILL "$pid" 2>/dev/null || true
  done
  exit $status
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
  return 1
}

# Notes the peak memory of a node, in MB, before it ends.
note_memory() {
  local peak
  peak=$(awk '/^VmHWM:/ { print int($2 / 1024) }' \
    "/proc/${pid_of[$1]}/status" 2>/dev/null || true)
  if [ "${peak:-0}" -gt "$peak_memory" ]; then
    peak_memory=$peak
  fi
}

# start_node NAME: again after it has ended, as a platform does.
start_node() {
  local number=${1#node-} base
  base=$((first_port + 10 + 5 * (number - 1)))
  if [ -n "${pid_of[$1]:-}" ]; then
    note_memory "$1"
    kill -KILL "${pid_of[$1]}" 2>/dev/null || true
    wait "${pid_of[$1]}" 2>/dev/null || true
  fi
  "$service" "--name=$1" --region=sul-rs \
    "--failure_domain=${domains[$(((number - 1) % 3))]}" \
    "--domains=caxias-a=sul-rs,caxias-b=sul-rs,bento-c=sul-rs" \
    "--caller_address=127.0.0.1:$base" "--peer_address=127.0.0.1:$((base + 1))" \
    "--operator_address=127.0.0.1:$((base + 2))" \
    "--directory_address=127.0.0.1:$((base + 3))" \
    "--gather_address=127.0.0.1:$((base + 4))" \
    "--platform=127.0.0.1:$first_port" --dispatch=direct \
    --address_validity_ms=1000 --retry_slack=60 --grace_s=6 \
    "--settings_file=$folder/$1.settings" >>"$folder/$1.log" 2>&1 &
  pid_of[$1]=$!
}

# Carries out one command of the deployment.
carry_out() {
  case "$1" in
    start) start_node "$2" ;;
    signal)
      note_memory "$2"
      kill "-$3" "${pid_of[$2]}" 2>/dev/null || true
      ;;
    reload)
      echo "retry_ratio = 0.2" >"$folder/$2.settings"
      kill -HUP "${pid_of[$2]}" 2>/dev/null || true
      ;;
    end) result=$* ;;
  esac
}

# Ends that no signal of this script explains are violations too.
count_crashes() {
  { grep -lE 'AddressSanitizer|runtime error|invariant broken' "$folder"/node-*.log ||
    true; } | wc -l
}

# play SEED: one run; leaves the result, the folder with logs and the peak memory.
play() {
  local number name line
  peak_memory=0
  folder=$(mktemp -d)
  first_port=$(pick_ports)
  result=
  for number in $(seq "$nodes"); do
    echo "retry_ratio = 0.2" >"$folder/node-$number.settings"
  done
  exec {commands}< <(exec "$standin" \
    "--seed=$1" "--seconds=$length" "--nodes=$nodes" \
    "--crash_share=$crash_share" "--timing=$timing" \
    "--domains=$(IFS=,; echo "${domains[*]}")" "--first_port=$first_port" \
    2>"$folder/deployment.log")
  deployment=$!
  while read -r -u "$commands" line; do
    # Words of a command have no spaces.
    # shellcheck disable=SC2086
    carry_out $line
  done
  exec {commands}<&-
  deployment=
  for name in "${!pid_of[@]}"; do
    note_memory "$name"
    kill -CONT "${pid_of[$name]}" 2>/dev/null || true
    kill -KILL "${pid_of[$name]}" 2>/dev/null || true
    wait "${pid_of[$name]}" 2>/dev/null || true
    unset "pid_of[$name]"
  done
}

run_seed() {
  local crashes tries=0
  play "$1"
  # Another process may have taken a port since the range was picked.
  while [ -z "$result" ] && [ $((tries += 1)) -lt 3 ] &&
    grep -q 'can not be bound' "$folder/deployment.log"; do
    rm -rf "$folder"
    play "$1"
  done
  crashes=$(count_crashes)
  found=0 asked=0
  if [ -n "$result" ]; then
    found=$(awk '{ print $NF }' <<<"$result")
    asked=$(awk '{ print $5 }' <<<"$result")
  else
    not_run=$((not_run + 1))
  fi
  found=$((found + crashes))
  echo "seed $1: ${result:-no result}, crashes $crashes, peak $peak_memory MB"
  if [ "$peak_memory" -gt "$memory" ]; then
    echo "  VIOLATION: a node took more than $memory MB"
    found=$((found + 1))
  fi
  if [ "$found" -gt 0 ] || [ -z "$result" ]; then
    grep VIOLATION "$folder/deployment.log" | head -n 5 || true
    echo "  logs are in $folder"
  elif [ "$keep" = yes ]; then
    echo "  logs are in $folder"
  else
    rm -rf "$folder"
  fi
}

failed=0 queries=0 violations=0 not_run=0
for seed in $(seq "$first_seed" $((first_seed + seeds - 1))); do
  run_seed "$seed"
  queries=$((queries + asked))
  violations=$((violations + found))
  [ "$found" -eq 0 ] || failed=$((failed + 1))
done
echo "seeds $seeds, failed $failed, queries $queries," \
  "violations $violations, not run $not_run"
[ "$failed" -eq 0 ] || exit 1
[ "$not_run" -eq 0 ] || exit 3
