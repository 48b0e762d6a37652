#!/usr/bin/env bash
# Prepares the cases 11 to 15. Their stand-ins are Python scripts (standins-3/, standard library only), so nothing is compiled; gatewayd comes
# from the build of the deploy file.
set -euo pipefail
cd "$(dirname "$0")"
python3 -B - 1[1-5]/case.py standins-3/*.py <<'CHECK'
import ast
import sys
import tomllib
for path in sys.argv[1:]:
    with open(path, encoding="utf-8") as file:
        ast.parse(file.read(), path)
CHECK
test -x ../target/bin/plantainweir-gatewayd || { echo "target/bin/plantainweir-gatewayd is missing: run the build of the deploy file" >&2; exit 1; }
