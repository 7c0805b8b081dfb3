#!/bin/sh
# Compiles every stand-in and every case. Run it from anywhere after the build of the deploy file; no network.
set -eu
cd "$(dirname "$0")/.."
.venv/bin/python -m compileall -q review
