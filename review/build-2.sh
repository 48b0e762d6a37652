#!/usr/bin/env bash
# Builds the stand-ins that the scripts of cases 6 to 10 start. They are Python modules; this only checks that they compile.
set -euo pipefail
cd "$(dirname "$0")"
python3 - <<'CHECK'
import glob
import sys
import tomllib  # Python 3.11 and later

assert sys.version_info >= (3, 11)
for path in glob.glob("standins-2/*.py") + glob.glob("[6-9]/*.py") + glob.glob("10/*.py"):
    with open(path, encoding="utf-8") as file:
        compile(file.read(), path, "exec")
CHECK
