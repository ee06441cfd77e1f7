#!/bin/sh
# Builds what the scripts of the cases 11 to 15 start besides the program:
# their stand-ins run inside the scripts and need Python's standard library.
cd "$(dirname "$0")/.." || exit 1
mkdir -p target/review-3 && python3 - <<'END'
import py_compile
import sys
from pathlib import Path

if sys.version_info < (3, 11):
    sys.exit('the scripts need Python 3.11')
for path in [*Path('review/tools3').glob('*.py')] + [
    Path(f'review/{case}/run.py') for case in range(11, 16)
]:
    if path.exists():
        name = str(path).replace('/', '-') + 'c'
        py_compile.compile(path, f'target/review-3/{name}', doraise=True)
END
