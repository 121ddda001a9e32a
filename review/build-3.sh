#!/usr/bin/env bash
# Builds what the scripts of review/11 to 15 start beside the daemon of the
# deploy file. Their stand-ins are Python without other packages, in
# review/standin.py; there is nothing to compile.
set -euo pipefail
cd "$(dirname "$0")"
python3 - standin.py 1[1-5]/run.py <<'END'
import ast
import pathlib
import sys

if sys.version_info < (3, 11):
    sys.exit("review/build-3.sh: Python 3.11 or later is needed")
for name in sys.argv[1:]:
    ast.parse(pathlib.Path(name).read_text(encoding="utf-8"), name)
END
