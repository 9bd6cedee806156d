#!/bin/sh
# Builds the stand-ins of the cases from 4 on. They need Python's standard library alone and are scripts, so this
# only checks that the Python that the deploy file's `build` has made can compile them.
cd "$(dirname "$0")/.." || exit 2
for file in review/rig.py review/standins2.py review/[4-6]/*.py; do
    .venv/bin/python -B -c 'import sys; compile(open(sys.argv[1]).read(), sys.argv[1], "exec")' "$file" || exit 2
done
