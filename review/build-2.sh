#!/bin/sh
# Builds the stand-ins of cases 6 to 10: compiles them with the interpreter of the deploy file's build.
cd "$(dirname "$0")/.." || exit 2
exec .venv/bin/python -m compileall -q --invalidation-mode checked-hash \
    review/stand_ins_2 review/6 review/7 review/8 review/9 review/10
