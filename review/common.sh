# Sourced by the cases' run.sh, which sets `case`, `nodes` and `trouble` before and
# whose folder gets record.txt. Starts the
# store, the nodes with the command of deploy/system.toml and the settings of
# deploy/settings.template, and the world of the case; ends all of them.
# trouble=0 leaves the disruption out. Status: 1 the rule was broken, 0 it held,
# 2 the case could not run.

set -uo pipefail
here=$(cd "$(dirname "$0")" && pwd)
cd "$(dirname "${BASH_SOURCE[0]}")/.."
command=$(sed -n 's/^run = "\(.*\) --settings_file=.*"$/\1/p' deploy/system.toml)
store=build-review/review-store
world=build-review/review-world
for program in "$command" "$store" "$world"; do
  if [ ! -x "$program" ]; then
    echo "$program is missing; see review/REPORT.md" >&2
    exit 2
  fi
done

folder=$(mktemp -d)
declare -A pid_of=()

# Ends what this script has started, by id.
finish() {
  local status=$? pid
  for pid in "${pid_of[@]}"; do
    kill -CONT "$pid" 2>/dev/null
    kill -KILL "$pid" 2>/dev/null
    wait "$pid" 2>/dev/null
  done
  if [ "${KEEP_LOGS:-}" = 1 ]; then
    echo "logs are in $folder"
  else
    rm -rf "$folder"
  fi
  exit "$status"
}
trap finish EXIT
trap 'exit 2' INT TERM

# Loopback addresses of this run; ports are the same on all machines.
net=127.$((RANDOM % 200 + 20)).$((RANDOM % 250 + 2))
port=$((RANDOM % 8000 + 12000))
store_address=$net.1:$port
control_address=$net.1:$((port + 1))
zones=(zone-a zone-b zone-c)

# settings_of NODE: the template of the deploy file, filled in for a node.
settings_of() {
  local ip=$net.$((10 + $1)) number seeds=
  for number in $(seq "$nodes"); do
    [ "$number" -gt 3 ] || seeds+=${seeds:+,}$net.$((10 + number)):$((port + 6))
  done
  sed -e "s/{{NodeName}}/frontend-$1/" -e "s/{{Region}}/region-1/" \
    -e "s/{{Zone}}/${zones[$((($1 - 1) % 3))]}/" \
    -e "s/{{Listen.Frontend}}/$ip:$((port + 4))/" \
    -e "s/{{Listen.Ready}}/$ip:$((port + 8))/" \
    -e "s/{{Listen.directory}}/$ip:$port/" \
    -e "s/{{Listen.Control}}/$ip:$((port + 6))/" \
    -e "s/{{Ip}}/$ip/" -e "s/{{PortRange.0}}/$((port + 20))/" \
    -e "s/{{PortRange.1}}/$((port + 35))/" -e "s/{{SeedNodes}}/$seeds/" \
    -e "s/^domains = .*/domains = zone-a=region-1,zone-b=region-1,zone-c=region-1/" \
    -e "s/{{platform.Address}}/$store_address/" \
    -e '/Bounds\.\(Quota\|Canary\|Rollback\)/d' \
    -e "s/{{Bounds.RetryRatio}}/0.2/" -e "s/{{Bounds.RetryWindowS}}/10/" \
    -e "s/{{Bounds.RetrySlack}}/58/" -e "s/{{Bounds.GraceS}}/6/" \
    -e "s/{{Limits.MemoryMb}}/256/" -e "s/{{Limits.MaxFds}}/4096/" \
    -e "s/{{Limits.CpuShare}}/0.25/" -e "s/{{Limits.Cores}}/1/" \
    deploy/settings.template >"$folder/node-$1.toml"
}

start_node() {
  "$command" "--settings_file=$folder/node-$1.toml" >>"$folder/node-$1.log" 2>&1 &
  pid_of[node-$1]=$!
}

"$store" "$store_address" "$control_address" >"$folder/store.log" 2>&1 &
pid_of[store]=$!
callers= ready=
for node in $(seq "$nodes"); do
  settings_of "$node"
  if grep -q '{{' "$folder/node-$node.toml"; then
    echo "the template has a field that this script does not know" >&2
    exit 2
  fi
  callers+=${callers:+,}$net.$((10 + node)):$((port + 4))
  ready+=${ready:+,}$net.$((10 + node)):$((port + 8))
done
sleep 0.3
coproc WORLD {
  exec "$world" "$case" "$here/record.txt" "$trouble" "$control_address" \
    "$net.2:$((port + 100))" "$callers" "$ready"
}
pid_of[world]=$WORLD_PID
world_pid=$WORLD_PID
exec {lines}<&"${WORLD[0]}"
sleep 0.3
for node in $(seq "$nodes"); do
  start_node "$node"
done
# The world says what is done to processes: signal NODE SIGNAL, start NODE.
while read -r -u "$lines" line; do
  # Words of a command have no spaces.
  # shellcheck disable=SC2086
  set -- $line
  case "${1:-}" in
    signal)
      kill "-$3" "${pid_of[node-$2]}"
      [ "$3" != KILL ] || wait "${pid_of[node-$2]}" 2>/dev/null
      ;;
    start) start_node "$2" ;;
    *) echo "$line" ;;
  esac
done
wait "$world_pid"
status=$?
unset 'pid_of[world]'
for node in $(seq "$nodes"); do
  if grep -q 'invariant broken\|terminate called' "$folder/node-$node.log"; then
    echo "node $node ended by itself: $(tail -n 1 "$folder/node-$node.log")"
    echo "node $node ended by itself" >>"$here/record.txt"
  fi
done
exit "$status"
