#!/bin/sh
# The stand-ins are Python modules of the standard library only. This checks
# that they and the cases compile; nothing has to be built.
set -eu
cd "$(dirname "$0")"
for file in tools/*.py */case.py; do
    python3 -B -c 'import sys; compile(open(sys.argv[1]).read(), sys.argv[1], "exec")' "$file"
done
