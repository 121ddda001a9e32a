#!/usr/bin/env bash
# See claim.txt. TROUBLE=0 does the same without the disruption. Writes record.txt
# beside this script. Status: 1 the rule was broken, 0 it held, 2 it could not run.
case=refused
nodes=3
trouble=${TROUBLE:-1}
# shellcheck source=review/common.sh
. "$(dirname "$0")/../common.sh"
