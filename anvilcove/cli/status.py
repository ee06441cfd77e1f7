"""Show the state of the service as reported by one daemon."""

import json
from typing import Any

from absl import flags

from anvilcove.cli.operator import CallError, call, report
from anvilcove.cli.registry import program
from anvilcove.node.status import STATUS_PATH

FLAGS = flags.FLAGS
flags.DEFINE_bool('json', False, 'Print the response as JSON.')
flags.DEFINE_bool(
    'node',
    False,
    "Query a daemon on the users' platform; --address is its metrics address.",
)


@program(
    'status',
    'Show the state of the service: anvilcove status [--node] [--json]',
)
def status(arguments: list[str]) -> int:
    """Print the status of the daemon at --address."""
    try:
        body = call('GET', STATUS_PATH if FLAGS.node else '/v1/status')
    except CallError as error:
        return report(error)
    format_tables = format_node_status if FLAGS.node else format_status
    print(json.dumps(body, indent=2) if FLAGS.json else format_tables(body))
    return 0


def format_node_status(body: dict[str, Any]) -> str:
    """Format the status of a daemon on the users' platform as tables."""
    ages = ', '.join(
        f'{table} ' + ('not read yet' if age_s is None else f'{age_s:.2f} s')
        for table, age_s in body['age_by_table'].items()
    )
    newest = max(
        [
            body['desired_state'],
            *(host['desired_state'] for host in body['hosts'].values()),
        ]
    )
    parts = [
        f'{body["host"]} ({body["data_centre"]}): {body["state"]}, '
        f'desired state {body["desired_state"]}, newest known {newest}\n'
        f'age of its state by table: {ages}',
        _table('host', body['hosts']),
        _table('endpoint', body['endpoints']),
        _table('size', body.get('sizes', {})),
        _table('model', body['models']),
        _table('job', body['jobs']),
        _table('duty', body.get('duties', {})),
        _table('workspace', body.get('workspaces', {})),
        _table('ended task', body.get('background_tasks', {})),
    ]
    return '\n\n'.join(part for part in parts if part)


def format_status(body: dict[str, Any]) -> str:
    """Format the status of an entry daemon as tables."""
    newest = max(
        [
            body['revision'],
            *(h['revision'] for h in body['hosts'].values()),
        ]
    )
    parts = [
        f'{body["host"]} ({body["data_centre"]}): {body["state"]}, '
        f'revision {body["revision"]}, newest known {newest}',
        _table('host', body['hosts']),
        _table('endpoint', body['endpoints'], skipped=('report',)),
        _table('class', _class_rows(body['classes'])),
        _table(
            'model',
            {m: {'newest': v} for m, v in body['versions'].items()},
        ),
        _table('workspace', body.get('workspaces', {})),
    ]
    return '\n\n'.join(part for part in parts if part)


def _class_rows(classes: dict[str, Any]) -> dict[str, dict[str, Any]]:
    rows = {}
    for name, class_status in classes.items():
        target = class_status['target']
        target_fields = {
            key: value
            for key, value in target.items()
            if key not in ('kind', 'name', 'pool', 'model')
        }
        rows[name] = {
            'kind': target['kind'],
            'pool': target['pool'],
            'target': ' '.join(f'{k}={v}' for k, v in target_fields.items()),
            'on_time_share': class_status['on_time_share'],
            'outcomes': ' '.join(
                f'{k}={v}' for k, v in class_status['outcomes'].items()
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
