#!/usr/bin/env bash
# Entries and displaced cases that are none of the five; see REPORT.md.
#   review/tried.sh [poison|forgotten|gathered|lost|stopped [NODES]]
# TROUBLE=0, status and record.txt as in the cases.
case=${1:-poison}
nodes=${2:-8}
trouble=${TROUBLE:-1}
# shellcheck source=review/common.sh
. "$(dirname "$0")/common.sh"
