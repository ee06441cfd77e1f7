"""Validate, compare, apply and show class declarations."""

import difflib
import sys
from pathlib import Path
from typing import Any

import yaml
from absl import flags

from anvilcove.cli.operator import CallError, call, report
from anvilcove.cli.registry import program
from anvilcove.settings.errors import SettingsError
from anvilcove.settings.loader import load_classes

FLAGS = flags.FLAGS
flags.DEFINE_integer(
    'expected_revision', None, 'Current revision, which the change replaces.'
)

USAGE = """usage: anvilcove classes validate FILE
       anvilcove classes diff FILE
       anvilcove classes apply FILE --expected_revision N
       anvilcove classes show"""
PATH = '/v1/classes'


@program(
    'classes',
    'Manage class declarations: anvilcove classes validate|diff|apply|show',
)
def classes(arguments: list[str]) -> int:
    """Run one action.

    Return 2 for invalid input, 1 if the daemon refused or was not reached.
    """
    action, files = (arguments or [''])[0], arguments[1:]
    expected_files = 0 if action == 'show' else 1
    known = ('validate', 'diff', 'apply', 'show')
    lacks_revision = action == 'apply' and FLAGS.expected_revision is None
    if action not in known or len(files) != expected_files or lacks_revision:
        print(USAGE, file=sys.stderr)
        return 2
    try:
        if action == 'show':
            return _show()
        document, _ = load_classes(Path(files[0]))
        if action == 'validate':
            print(f'{files[0]}: {len(document["classes"])} classes, no errors')
            return 0
        return _diff(document) if action == 'diff' else _apply(document)
    except SettingsError as error:
        print(error, file=sys.stderr)
        return 2
    except CallError as error:
        return report(error)


def _show() -> int:
    current = call('GET', PATH)
    print(f'# revision {current["revision"]}')
    print(_to_yaml(current['document']), end='')
    return 0


def _diff(document: dict[str, Any]) -> int:
    current = call('GET', PATH)
    lines = difflib.unified_diff(
        _to_yaml(current['document']).splitlines(),
        _to_yaml(document).splitlines(),
        f'revision {current["revision"]}',
        'file',
        lineterm='',
    )
    print('\n'.join(lines))
    return 0


def _apply(document: dict[str, Any]) -> int:
    body = {
        'expected_revision': FLAGS.expected_revision,
        'document': document,
    }
    try:
        print(f'revision {call("PUT", PATH, body)["revision"]} is in force')
        return 0
    except CallError as error:
        if error.status != 409:
            raise
        print(
            f'not applied: revision {error.body["current_revision"]} is '
            f'current, expected {FLAGS.expected_revision}',
            file=sys.stderr,
        )
        return 1


def _to_yaml(document: dict[str, Any]) -> str:
    text: str = yaml.safe_dump(document, sort_keys=False)
    return text
