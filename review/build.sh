#!/bin/sh
# Puts the project's stand-ins of the published protocol, of which the scripts start the store, into review/build.
set -eu
cd "$(dirname "$0")/.."
from=libs/standins/src/hemlockhoist/standins
to=review/build/hemlockhoist/standins
rm -rf review/build
mkdir -p "$to/published"
cp "$from/__init__.py" "$from/rejections.py" "$to/"
cp "$from"/published/*.py "$to/published/"
