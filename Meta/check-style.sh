#!/usr/bin/env bash
# Checks the format and the lint of every source file. The linter reads the
# compile commands, so the tree must have been configured by Meta/build.sh.
set -euo pipefail
cd "$(dirname "$0")/.."

mapfile -t sources < <(git ls-files '*.cpp' '*.h')
clang-format --dry-run --Werror "${sources[@]}"
mapfile -t units < <(git ls-files '*.cpp' ':!Tests')
printf '%s\n' "${units[@]}" |
  xargs -P "$(nproc)" -n 1 clang-tidy --quiet -p build 2>/dev/null
echo "style: ${#sources[@]} files formatted, ${#units[@]} files linted"
