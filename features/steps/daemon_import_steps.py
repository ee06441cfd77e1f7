"""Steps for what a daemon imports."""

import json
import subprocess
import sys
from hashlib import blake2b, sha256

from behave import then, when

# Prints the imported modules and digests of a text.
CHILD = """
import json, sys
from anvilcove.cli.main import import_program
import_program('anvilcove.cli.node')
from hashlib import blake2b, sha256
found = [name for name, module in sys.modules.items() if module]
digests = [f(b'key').hexdigest() for f in (sha256, blake2b)]
print(json.dumps([found, digests]))
"""


@when('the program of a node daemon is imported')
def step_import(context):
    output = subprocess.run(
        [sys.executable, '-c', CHILD],
        stdout=subprocess.PIPE,
        check=True,
        timeout=60,
    )
    context.modules, context.digests = json.loads(output.stdout)


@then('no module of "{names}" is')
def step_absent(context, names):
    found = {
        module
        for module in context.modules
        for name in names.split()
        if module == name or module.startswith(f'{name}.')
    }
    assert not found, found


@then('the hashes of keys and rows are those of a process with OpenSSL')
def step_hashes(context):
    expected = [f(b'key').hexdigest() for f in (sha256, blake2b)]
    assert context.digests == expected
