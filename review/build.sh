#!/bin/sh
# Builds the stand-ins that the cases start. They need the standard library only, and the .venv of the deploy file's build.
cd "$(dirname "$0")/.." || exit 2
exec .venv/bin/python -m compileall -q review
