#!/bin/sh
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run.
# TROUBLE=0 does the same without the disruption.
cd "$(dirname "$0")" || exit 2
test -x ../../.venv/bin/python || exit 2
TROUBLE="${TROUBLE:-1}"
export TROUBLE
exec ../../.venv/bin/python -B case.py
