#!/bin/sh
# Builds the stand-ins of the cases 6 to 10: they are Python files of the standard library alone.
cd "$(dirname "$0")/.." && exec .venv/bin/python -m compileall -q review/common2.py review/[6-9] review/10
