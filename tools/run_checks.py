"""Run formatter, linters, type checker and scenarios; count the results."""

import json
import os
import subprocess
import sys
import tempfile
from concurrent.futures import ThreadPoolExecutor
from pathlib import Path

ROOT = Path(__file__).resolve().parent.parent
SOURCES = ['anvilcove', 'features', 'tools', 'examples']
# Limits the processes: a feature starts up to about 20.
MAX_PARALLEL_FEATURES = 3
MAX_OUTPUT_CHARACTERS = 6_000
# Features that measure the memory of a process, each run after the others.
ALONE = ('crowds.feature', 'own_crowds.feature', 'large_steps.feature')
CHECKS = {
    'format': ['ruff', 'format', '--check', *SOURCES],
    'lint': ['ruff', 'check', *SOURCES],
    'openstack style': ['flake8', *SOURCES],
    'types': ['mypy'],
    'replay': ['anvilcove', 'replay', '--all=traces'],
}


def known_failures():
    """Return the names of scenarios listed in KNOWN-RED.txt."""
    path = ROOT / 'KNOWN-RED.txt'
    if not path.exists():
        return set()
    lines = path.read_text().splitlines()
    return {
        line.removeprefix('test:').partition('  # ')[0].strip()
        for line in lines
        if line.startswith('test:')
    }


def run_check(name, command):
    """Run one checker as a Python module; return whether it passed."""
    print(f'== {name}', flush=True)
    result = subprocess.run(
        [sys.executable, '-m', *command], cwd=ROOT, check=False
    )
    return result.returncode == 0


def run_feature(path):
    """Run one feature and return (scenario name, status) of each scenario.

    A feature that cannot be loaded counts as one failed scenario.
    """
    with tempfile.TemporaryDirectory() as folder:
        report = Path(folder) / 'behave.json'
        result = subprocess.run(
            [
                sys.executable,
                '-m',
                'behave',
                '--no-capture',
                '--format=json',
                f'--outfile={report}',
                '--format=progress2',
                '--outfile=/dev/stdout',
                str(path),
            ],
            cwd=ROOT,
            check=False,
            capture_output=True,
            text=True,
            env={**os.environ, 'PYTHONPATH': str(ROOT)},
        )
        text = report.read_text() if report.exists() else ''
    statuses = [
        (element['name'].strip(), element['status'])
        for feature in json.loads(text or '[]')
        for element in feature.get('elements', [])
        if element['type'] == 'scenario'
    ]
    if result.returncode:
        print(
            result.stdout[-MAX_OUTPUT_CHARACTERS:],
            result.stderr[-MAX_OUTPUT_CHARACTERS:],
        )
        if all(status == 'passed' for _, status in statuses):
            statuses.append((path.name, 'not loaded or not ended'))
    print(f'{path.name}: {len(statuses)} scenarios', flush=True)
    return statuses


def run_features():
    """Run the features in parallel; return (scenario name, status) pairs."""
    print('== scenarios', flush=True)
    features = sorted((ROOT / 'features').glob('*.feature'))
    alone = [path for path in features if path.name in ALONE]
    others = [path for path in features if path.name not in ALONE]
    with ThreadPoolExecutor(MAX_PARALLEL_FEATURES) as pool:
        results = list(pool.map(run_feature, others))
    results += [run_feature(path) for path in alone]
    return [status for statuses in results for status in statuses]


def main():
    """Run all checks, print the counts and return the exit status."""
    passed = failed = skipped = 0
    for name, command in CHECKS.items():
        if run_check(name, command):
            passed += 1
        else:
            failed += 1
            print(f'FAILED: {name}')
    known = known_failures()
    for name, status in run_features():
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
