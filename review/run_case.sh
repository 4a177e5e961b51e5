#!/bin/sh
# Runs the script of one case from the root of the repository.
set -eu
cd "$(dirname "$0")/.."
exec python3 "review/$1/case.py"
