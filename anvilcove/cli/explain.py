"""Show logged decisions and events of a request, item, job or endpoint."""

import json
import sys
from collections.abc import Iterator
from pathlib import Path
from typing import Any

from anvilcove.cli.log_files import log_files
from anvilcove.cli.operator import CallError, call, report
from anvilcove.cli.registry import program

USAGE = 'usage: anvilcove explain ID --logs FILE [FILE...]'


@program(
    'explain', f'Show the logged decisions and events of an id: {USAGE[7:]}'
)
def explain(arguments: list[str]) -> int:
    """Print the decisions and events of one subject in order of time."""
    if not arguments:
        print(USAGE, file=sys.stderr)
        return 2
    request_id, files = arguments[0], log_files(arguments[1:])
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
    records.sort(key=_time_key)
    for record in records:
        print(as_text(record))
    if not records:
        print(
            f'no decision or event for {request_id} is logged',
            file=sys.stderr,
        )
        return 1
    return 0


def _time_key(record: dict[str, Any]) -> str:
    return str(record.get('time') or record.get('at_s', ''))


def read_log(path: Path, subject: str) -> Iterator[dict[str, Any]]:
    """Yield the records of a subject from a log file of JSON lines.

    The subject is the id of a request, item, job or endpoint. Text before the
    first brace of a line is skipped, such as a prefix that a log collector
    adds.
    """
    with path.open(errors='replace') as lines:
        for line in lines:
            if subject not in line or '{' not in line:
                continue
            try:
                record = json.loads(line[line.index('{') :])
            except ValueError:
                continue
            if isinstance(record, dict) and _is_about(record, subject):
                yield record


def _is_about(record: dict[str, Any], subject: str) -> bool:
    if record.get('subject') == subject and 'decision' in record:
        return True
    if 'message' not in record or 'decision' in record:
        return False
    for value in record.values():
        values = value if isinstance(value, list) else [value]
        if any(_matches(one, subject) for one in values):
            return True
    return False


def _matches(value: object, subject: str) -> bool:
    """Return whether a value names the subject.

    An endpoint may be logged with its start time, as `ENDPOINT/STARTED_MS`.
    """
    return isinstance(value, str) and (
        value == subject or value.partition('/')[0] == subject
    )


def as_text(record: dict[str, Any]) -> str:
    """Format one decision or event as text."""
    if 'decision' not in record:
        return _event_text(record)
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


def _event_text(record: dict[str, Any]) -> str:
    shown = {
        key: value
        for key, value in record.items()
        if key not in ('time', 'level', 'module', 'message', 'host')
    }
    fields = ' '.join(f'{key}={value}' for key, value in shown.items())
    return (
        f'{record.get("time", "")} {record.get("host", "")} '
        f'{record["message"]}: {fields}'
    )
