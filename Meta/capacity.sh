#!/usr/bin/env bash
# Measures the slopes of docs/CAPACITY.md anew and checks the page.
#   Meta/capacity.sh          measures, compares with the recorded run, and
#                             checks that the page's table follows from it
#   Meta/capacity.sh --page   only checks the page against the recorded run
#   Meta/capacity.sh --write  records a new run and writes the table
set -euo pipefail
cd "$(dirname "$0")/.."

record=docs/measurements/slopes.json
page=docs/CAPACITY.md
program=build/Utilities/verbenachute-slopes/verbenachute-slopes
# A figure of a new run may differ by this factor: machines differ.
readonly factor=4

table() {
  jq -r -f Meta/capacity.jq "$record"
}

page_table() {
  sed -n '/<!-- table -->/,/<!-- end of table -->/p' "$page" | sed '1d;$d'
}

case "${1:-}" in
  --write)
    mkdir -p "$(dirname "$record")"
    "$program" >"$record"
    table >"/tmp/capacity-table.$$"
    sed -i -e "/<!-- table -->/,/<!-- end of table -->/{
      /<!-- table -->/r /tmp/capacity-table.$$
      /<!-- /!d }" "$page"
    rm -f "/tmp/capacity-table.$$"
    exit 0
    ;;
  "" | --page) ;;
  *)
    echo "usage: Meta/capacity.sh [--page|--write]" >&2
    exit 2
    ;;
esac

if ! diff <(table) <(page_table); then
  echo "the table of $page does not follow from $record" >&2
  exit 1
fi
echo "the table of $page follows from $record"
[ "${1:-}" != --page ] || exit 0

"$program" | jq -r --argjson factor "$factor" --slurpfile old "$record" '
  [.[] as $new | $old[0][] | select(.mechanism == $new.mechanism) as $was
   | range($new.samples | length)
   | {mechanism: $new.mechanism, size: $new.samples[.].size,
      ratio: ($new.samples[.].nanoseconds / $was.samples[.].nanoseconds)}]
  | .[] | "\(.mechanism) at \(.size): \(.ratio * 100 | round / 100) of the recorded run",
    (if .ratio > $factor then "TOO SLOW: \(.mechanism) at \(.size)" else empty end)' |
  tee "/tmp/capacity-ratios.$$"
slow=$(grep -c '^TOO SLOW' "/tmp/capacity-ratios.$$" || true)
rm -f "/tmp/capacity-ratios.$$"
[ "$slow" -eq 0 ]
