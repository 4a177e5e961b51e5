#!/bin/sh
# Prepares what the scripts of this review start beside the build of the deploy file.
# Their stand-ins are Python files that run on the libraries in target/deps.
set -eu
cd "$(dirname "$0")/.."
PYTHONPATH=target/deps python3 - <<'END'
import ast
import pathlib

import aiohttp  # The only library that the stand-ins use.

for path in sorted(pathlib.Path("review").glob("**/*.py")):
    if path.name == "parts_2.py" or path.name == "case.py":
        ast.parse(path.read_text(), str(path))
END
