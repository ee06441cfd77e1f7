"""Run the formatter, linters, types and scenarios and count the verdicts."""

import json
import os
import subprocess
import sys
import tempfile
from pathlib import Path

ROOT = Path(__file__).resolve().parent.parent
SOURCES = ['anvilcove', 'features', 'tools', 'examples']
CHECKS = {
    'format': ['ruff', 'format', '--check', *SOURCES],
    'lint': ['ruff', 'check', *SOURCES],
    'openstack style': ['flake8', *SOURCES],
    'types': ['mypy'],
    'replay': ['anvilcove', 'replay', '--all=traces'],
}


def known_failures():
    """Return the scenario names that KNOWN-RED.txt lists."""
    path = ROOT / 'KNOWN-RED.txt'
    if not path.exists():
        return set()
    lines = path.read_text().splitlines()
    return {
        line.removeprefix('test:').strip()
        for line in lines
        if line.startswith('test:')
    }


def run_check(name, command):
    """Run one checker module and return whether it passed."""
    print(f'== {name}', flush=True)
    result = subprocess.run(
        [sys.executable, '-m', *command], cwd=ROOT, check=False
    )
    return result.returncode == 0


def run_scenarios():
    """Run behave and return the status of each scenario by its name."""
    print('== scenarios', flush=True)
    with tempfile.TemporaryDirectory() as folder:
        report = Path(folder) / 'behave.json'
        subprocess.run(
            [
                sys.executable,
                '-m',
                'behave',
                '--no-capture',
                '--format=json',
                f'--outfile={report}',
                '--format=progress2',
                '--outfile=/dev/stdout',
            ],
            cwd=ROOT,
            check=False,
            env={**os.environ, 'PYTHONPATH': str(ROOT)},
        )
        features = json.loads(report.read_text() or '[]')
    return {
        element['name']: element['status']
        for feature in features
        for element in feature.get('elements', [])
        if element['type'] == 'scenario'
    }


def main():
    """Print the verdicts and return the exit status."""
    passed = failed = skipped = 0
    for name, command in CHECKS.items():
        if run_check(name, command):
            passed += 1
        else:
            failed += 1
            print(f'FAILED: {name}')
    known = known_failures()
    for name, status in run_scenarios().items():
        if name in known:
            skipped += 1
            print(f'KNOWN FAILURE ({status}): {name}')
        elif status == 'passed':
            passed += 1
        else:
            failed += 1
            print(f'FAILED: scenario {name!r} is {status}')
    tail = f', {skipped} skipped' if skipped else ''
    print(f'{passed} passed, {failed} failed{tail}')
    return 1 if failed else 0


if __name__ == '__main__':
    sys.exit(main())
