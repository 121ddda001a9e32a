#!/usr/bin/env bash
# See claim.txt.
case=${1:-poison}
nodes=${2:-8}
# shellcheck source=review/common.sh
. "$(dirname "$0")/../common.sh"
