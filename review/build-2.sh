#!/usr/bin/env bash
# Checks what the scripts of review/6 to review/10 start. The stand-ins are in
# Python and use the run-time libraries that the build of the deploy file has
# put into target/deps, so nothing is compiled or fetched.
set -eu
cd "$(dirname "$0")/.."
PYTHONDONTWRITEBYTECODE=1 PYTHONPATH=target/deps python3 -c '
import ast, pathlib, aiohttp, anvilcove.soak.proxy
files = [pathlib.Path("review/tools2/site_standins.py")]
files += [pathlib.Path(f"review/{n}/case.py") for n in range(6, 11)]
for path in files:
    if path.exists():
        ast.parse(path.read_text(), str(path))
print("stand-ins ready, aiohttp", aiohttp.__version__)
'
