"""Replay recorded traces and check the decisions."""

import json
import sys
from pathlib import Path

from absl import flags
from msgspec.json import encode

from anvilcove.cli.registry import program
from anvilcove.daemon.app import load_modules
from anvilcove.replay.outcomes import unmet_outcomes
from anvilcove.replay.replay import TraceError, replay

FLAGS = flags.FLAGS
flags.DEFINE_string('outcomes', '', 'File with the expected outcomes, JSON.')
flags.DEFINE_string('all', '', 'Folder whose traces are all replayed.')

USAGE = 'usage: anvilcove replay TRACE [--outcomes=FILE] | --all=FOLDER'


@program('replay', USAGE)
def run_replay(arguments: list[str]) -> int:
    """Replay one trace, or every trace in a folder, and check outcomes."""
    load_modules()
    if FLAGS.all:
        return _replay_all(Path(FLAGS.all))
    if len(arguments) != 1:
        print(USAGE, file=sys.stderr)
        return 2
    return _replay_one(Path(arguments[0]))


def _replay_one(path: Path) -> int:
    try:
        decisions = replay(path)
    except TraceError as error:
        print(error, file=sys.stderr)
        return 2
    for decision in decisions:
        line = [decision.topic, decision.method, decision.result]
        print(encode(line).decode())
    if not FLAGS.outcomes:
        return 0
    problems = _problems(path, Path(FLAGS.outcomes))
    for problem in problems:
        print(problem)
    return 1 if problems else 0


def _replay_all(folder: Path) -> int:
    passed = failed = 0
    for path in sorted(folder.glob('*.trace.jsonl.gz')):
        name = path.name.removesuffix('.trace.jsonl.gz')
        outcomes = path.with_name(f'{name}.outcomes.json')
        problems = _problems(path, outcomes)
        for problem in problems:
            print(f'{path.name}: {problem}')
        passed += not problems
        failed += bool(problems)
    print(f'{passed} passed, {failed} failed')
    return 1 if failed or not passed else 0


def _problems(path: Path, outcomes: Path) -> list[str]:
    try:
        expected = json.loads(outcomes.read_text())['outcomes']
        decisions = replay(path)
        if encode(decisions) != encode(replay(path)):
            return ['two runs differ']
        return unmet_outcomes(decisions, expected)
    except (TraceError, OSError, ValueError, KeyError) as error:
        return [repr(error)]
