#!/usr/bin/env bash
# Prepares the stand-ins of the cases 6 to 10: they are Python programs in this
# folder, so they are only checked. The daemon that they start is built by the
# command in deploy/system.toml.
set -euo pipefail
cd "$(dirname "$0")"
python3 - deployment.py {6,7,8,9,10}/case.py <<'PYTHON'
import os
import sys
if sys.version_info < (3, 11):
    sys.exit("Python 3.11 or later is needed")
for path in sys.argv[1:]:
    if os.path.exists(path):
        with open(path, encoding="utf-8") as file:
            compile(file.read(), path, "exec")
        print("checked", path)
PYTHON
