#!/bin/sh
# Puts the program and its pinned libraries into target/, with compiled modules.
set -eu
stamp=target/requirements.stamp
if ! cmp -s deploy/requirements.txt "$stamp"; then
    rm -rf target/deps
    python3 -m pip install --quiet --no-deps --target target/deps \
        --requirement deploy/requirements.txt
    cp deploy/requirements.txt "$stamp"
fi
rm -rf target/deps/hemlockhoist
for source in libs/*/src platform/src; do
    case "$source" in libs/standins/*) continue ;; esac
    cp -r "$source/hemlockhoist" target/deps/
done
find target/deps/hemlockhoist -name tests -type d -prune -exec rm -rf {} +
python3 -m compileall -q -j 4 target/deps/hemlockhoist
