"""Show the state of the service as one daemon knows it."""

import json
from typing import Any

from absl import flags

from anvilcove.cli.operator import CallError, call, report
from anvilcove.cli.registry import program
from anvilcove.node.status import STATUS_PATH

FLAGS = flags.FLAGS
flags.DEFINE_bool('json', False, 'Print the answer as JSON.')
flags.DEFINE_bool(
    'node',
    False,
    "Ask a daemon on the users' platform; --address is that of its metrics.",
)


@program(
    'status',
    'Show the state of the service: anvilcove status [--node] [--json]',
)
def status(arguments: list[str]) -> int:
    """Print the status of the daemon that the flags name."""
    try:
        answer = call('GET', STATUS_PATH if FLAGS.node else '/v1/status')
    except CallError as error:
        return report(error)
    as_tables = node_text if FLAGS.node else as_text
    print(json.dumps(answer, indent=2) if FLAGS.json else as_tables(answer))
    return 0


def node_text(answer: dict[str, Any]) -> str:
    """Return the status of a daemon on the users' platform as tables."""
    ages = ', '.join(
        f'{table} {age_s:.2f} s'
        for table, age_s in answer['age_by_table'].items()
    )
    newest = max(
        [
            answer['desired_state'],
            *(host['desired_state'] for host in answer['hosts'].values()),
        ]
    )
    parts = [
        f'{answer["host"]} ({answer["data_centre"]}): {answer["state"]}, '
        f'desired state {answer["desired_state"]}, newest known {newest}\n'
        f'age of what it knows: {ages}',
        _table('host', answer['hosts']),
        _table('endpoint', answer['endpoints']),
        _table('model', answer['models']),
        _table('job', answer['jobs']),
    ]
    return '\n\n'.join(part for part in parts if part)


def as_text(answer: dict[str, Any]) -> str:
    """Return a status report as tables."""
    newest = max(
        [
            answer['revision'],
            *(h['revision'] for h in answer['hosts'].values()),
        ]
    )
    parts = [
        f'{answer["host"]} ({answer["data_centre"]}): {answer["state"]}, '
        f'revision {answer["revision"]}, newest known {newest}',
        _table('host', answer['hosts']),
        _table('endpoint', answer['endpoints'], skipped=('report',)),
        _table('class', _class_rows(answer['classes'])),
        _table(
            'model', {m: {'newest': v} for m, v in answer['versions'].items()}
        ),
    ]
    return '\n\n'.join(part for part in parts if part)


def _class_rows(classes: dict[str, Any]) -> dict[str, dict[str, Any]]:
    rows = {}
    for name, known in classes.items():
        target = known['target']
        goal = {
            key: value
            for key, value in target.items()
            if key not in ('kind', 'name', 'pool', 'model')
        }
        rows[name] = {
            'kind': target['kind'],
            'pool': target['pool'],
            'target': ' '.join(f'{k}={v}' for k, v in goal.items()),
            'on_time_share': known['on_time_share'],
            'outcomes': ' '.join(
                f'{k}={v}' for k, v in known['outcomes'].items()
            ),
        }
    return rows


def _table(
    title: str,
    rows: dict[str, dict[str, Any]],
    skipped: tuple[str, ...] = (),
) -> str:
    if not rows:
        return ''
    keys = [k for k in next(iter(rows.values())) if k not in skipped]
    lines = [[title, *keys]]
    lines += [
        [name, *(_cell(row[key]) for key in keys)]
        for name, row in rows.items()
    ]
    widths = [max(map(len, column)) for column in zip(*lines, strict=True)]
    return '\n'.join(
        '  '.join(
            c.ljust(w) for c, w in zip(line, widths, strict=True)
        ).rstrip()
        for line in lines
    )


def _cell(value: Any) -> str:
    if value is None:
        return '-'
    if isinstance(value, float):
        return f'{value:.4g}'
    return str(value)
