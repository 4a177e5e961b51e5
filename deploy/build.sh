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

# The finished program replaces the previous one, and an unchanged one stays: processes of
# an earlier start are restarted from target/ while this build runs.
stage=target/stage.$$
trap 'rm -rf "$stage"' EXIT
mkdir -p "$stage"
for source in libs/*/src platform/src; do
    case "$source" in libs/standins/*) continue ;; esac
    cp -r "$source/hemlockhoist" "$stage/"
done
find "$stage/hemlockhoist" \( -name tests -o -name __pycache__ \) -type d -prune \
    -exec rm -rf {} +
if diff -rq -x __pycache__ "$stage/hemlockhoist" target/deps/hemlockhoist \
    >/dev/null 2>&1; then
    exit 0
fi
python3 -m compileall -q -j 4 -s "$stage" -p target/deps "$stage/hemlockhoist"
if [ -e target/deps/hemlockhoist ]; then
    mv target/deps/hemlockhoist "$stage/previous"
fi
mv "$stage/hemlockhoist" target/deps/hemlockhoist
