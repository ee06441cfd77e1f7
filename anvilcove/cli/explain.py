"""Show every decision taken for a request."""

import json
import sys
from collections.abc import Iterator
from pathlib import Path
from typing import Any

from absl import flags

from anvilcove.cli.operator import CallError, call, report
from anvilcove.cli.registry import program

FLAGS = flags.FLAGS
flags.DEFINE_multi_string(
    'logs', [], 'Log files of hosts; without one, the daemon is asked.'
)

USAGE = 'usage: anvilcove explain REQUEST_ID --logs FILE [FILE...]'


@program('explain', f'Show the decisions taken for a request: {USAGE[7:]}')
def explain(arguments: list[str]) -> int:
    """Print the decisions of one request in the order of their times."""
    if not arguments:
        print(USAGE, file=sys.stderr)
        return 2
    request_id, files = arguments[0], [*FLAGS.logs, *arguments[1:]]
    try:
        records = (
            [r for name in files for r in read_log(Path(name), request_id)]
            if files
            else call('GET', f'/v1/decisions?subject={request_id}')
        )
    except CallError as error:
        return report(error)
    except OSError as error:
        print(error, file=sys.stderr)
        return 2
    records.sort(key=lambda record: record.get('time', record['at_s']))
    for record in records:
        print(as_text(record))
    if not records:
        print(f'no decision for {request_id} is logged', file=sys.stderr)
        return 1
    return 0


def read_log(path: Path, request_id: str) -> Iterator[dict[str, Any]]:
    """Yield the decisions of a request from a log of JSON lines."""
    with path.open(errors='replace') as lines:
        for line in lines:
            if request_id not in line:
                continue
            try:
                record = json.loads(line)
            except ValueError:
                continue
            if record.get('subject') == request_id and 'decision' in record:
                yield record


def as_text(record: dict[str, Any]) -> str:
    """Return one decision as text."""
    lines = [
        f'{record.get("time", record["at_s"])} {record.get("host", "")} '
        f'{record["decision"]} {record["choice"] or "-"}: '
        f'{record["reason"]} (class {record["class_name"]}, '
        f'revision {record["revision"]})'
    ]
    lines += [
        f'    {c["endpoint"]}: in flight {c["in_flight"]} of {c["limit"]:g}, '
        f'report {c["report_age_s"]:.2f} s old, score {c["score"]:.4g}'
        for c in record['candidates']
    ]
    if record.get('extra'):
        lines.append(f'    {record["extra"]}')
    return '\n'.join(lines)
