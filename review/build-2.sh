#!/bin/sh
# Builds the stand-ins of the cases 6 to 10, after the build of the deploy file. They are Python programs of
# the standard library alone, so this compiles them and fails where one cannot be loaded.
set -eu
cd "$(dirname "$0")/.."
.venv/bin/python -m compileall -q review/rig2
for case in 6 7 8 9 10; do
    if test -d "review/$case"; then
        .venv/bin/python -m compileall -q "review/$case"
    fi
done
