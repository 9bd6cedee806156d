#!/bin/sh
# Builds the stand-ins of the cases. They are Python scripts that use the standard library alone: all there is to do
# is to see that the interpreter of the deploy file's build is there and can read them.
set -eu
cd "$(dirname "$0")"
for file in common.py */*.py; do
    ../.venv/bin/python -B -c 'import ast, sys; ast.parse(open(sys.argv[1]).read())' "$file"
done
