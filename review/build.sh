#!/usr/bin/env bash
# Checks the stand-ins of the cases. They are Python programs of the standard
# library (Python 3.11, as on Debian 12) and need no build.
set -euo pipefail
cd "$(dirname "$0")"
python3 -B - <<'PYTHON'
import ast
import pathlib
import sys
import tomllib

assert sys.version_info >= (3, 11)
for path in sorted(pathlib.Path(".").glob("*/*.py")):
    ast.parse(path.read_text(encoding="utf-8"), str(path))
PYTHON
test -x ../target/bin/laburnumkeel-proxy || {
  echo "build the deploy file first: target/bin/laburnumkeel-proxy is missing" >&2
  exit 1
}
