#!/bin/sh
# Puts the project's stand-ins, which the scripts start, into review/build.
set -eu
cd "$(dirname "$0")/.."
rm -rf review/build
mkdir -p review/build
cp -r libs/standins/src/hemlockhoist review/build/
find review/build -name tests -type d -prune -exec rm -rf {} +
find review/build -name __pycache__ -type d -prune -exec rm -rf {} +
