#!/bin/sh
# Builds what the cases start beside the node: the stand-ins are Python of the standard library, run by the
# interpreter that the deploy file's build makes. Exits with 1 if one of them could not be started.
cd "$(dirname "$0")/.." || exit 1
for file in review/*.py review/*/*.py; do
    .venv/bin/python -B -c 'import sys; compile(open(sys.argv[1]).read(), sys.argv[1], "exec")' "$file" || exit 1
done
