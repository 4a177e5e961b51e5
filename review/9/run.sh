#!/bin/sh
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run.
cd "$(dirname "$0")/../.." || exit 2
export PYTHONPATH=target/deps PYTHONDONTWRITEBYTECODE=1
export TROUBLE="${TROUBLE:-1}"
exec python3 review/9/case.py
