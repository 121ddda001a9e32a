#!/usr/bin/env bash
# Builds the product and runs the whole path on loopback: the platform, the
# targets of a site and the nodes, with queries against them. The last line of
# the output is JSON. Exits 0 only if nothing was wrong.
set -euo pipefail
cd "$(dirname "$0")/.."
source Meta/cluster.sh

usage() {
  cat >&2 <<'TEXT'
usage: Meta/run.sh [options]
  --site gelo-volta|vialtec-andino   shape of the targets (gelo-volta)
  --nodes N       nodes, 1 to 9 (3)
  --scale S       factor on the number of searchers (1)
  --seconds T     length of the load (10)
  --rate Q        queries a second (60)
  --seed N        seed of the load (1)
  --fault kill-node|freeze-node|platform-down   a fault midway
  --keep          leave all processes running
  --no-install    do not look for missing packages
TEXT
  exit 2
}

site=gelo-volta
scale=1
length=10
rate=60
seed=1
fault=none
keep=no
install=yes
while [ $# -gt 0 ]; do
  case "$1" in
    --keep) keep=yes; shift; continue ;;
    --no-install) install=no; shift; continue ;;
    --help) usage ;;
  esac
  [ $# -ge 2 ] || usage
  case "$1" in
    --site) site=$2 ;;
    --nodes) nodes=$2 ;;
    --scale) scale=$2 ;;
    --seconds) length=$2 ;;
    --rate) rate=$2 ;;
    --seed) seed=$2 ;;
    --fault) fault=$2 ;;
    *) usage ;;
  esac
  shift 2
done
[[ $nodes =~ ^[1-9]$ && $length =~ ^[0-9]+$ ]] || usage
[[ $site =~ ^(gelo-volta|vialtec-andino)$ ]] || usage
[[ $fault =~ ^(none|kill-node|freeze-node|platform-down)$ ]] || usage

folder=$(mktemp -d)
finish() {
  local status=$?
  if [ "$keep" = no ]; then
    stop_cluster
    [ $status -eq 0 ] && rm -rf "$folder" || echo "logs are in $folder" >&2
  fi
  exit $status
}
trap finish EXIT
trap 'exit 130' INT TERM

[ "$install" = no ] || Meta/install-packages.sh >"$folder/install.log"
Meta/build.sh >"$folder/build.log" || {
  tail -n 40 "$folder/build.log" >&2
  exit 1
}

inject_fault() {
  sleep $((length / 3))
  case "$fault" in
    kill-node)
      stop_process node-2 KILL
      ;;
    freeze-node)
      stop_process node-2 STOP
      sleep $((length / 3))
      stop_process node-2 CONT
      ;;
    platform-down)
      platform_command '{"command":"outage"}'
      sleep $((length / 3))
      platform_command '{"command":"recover"}'
      ;;
  esac
}

start_cluster "$site" "$scale"
echo "$site: ${#domains[@]} failure domains," \
  "$(jq '.targets | length' "$folder/site.json") searchers, $nodes nodes," \
  "$rate queries a second for $length s, fault: $fault"

inject_fault &
injector=$!
status=0
run_load "--rate=$rate" "--seconds=$length" "--seed=$seed" || status=$?
wait "$injector" || true
[ $status -le 1 ] || exit $status

grep -v '^  *[0-9.]* ms ' "$folder/load.txt" | sed '$d'
check_records
echo "checks on the searchers' records: $violations violations"
[ "$keep" = no ] || {
  echo "left running; caller ports: $(node_addresses);" \
    "operator port: $(operator_address 1); platform: $(platform_address)"
  echo "to stop all of it: kill \$(cat $folder/*.pid)"
}
tail -n 1 "$folder/load.txt" | jq -c --argjson violations "$violations" \
  '{queries, complete, partial, failed, wrong: (.wrong + $violations), p50_ms,
    p99_ms, coverage}'
[ $status -eq 0 ] && [ "$violations" -eq 0 ]
