"""Read the structured log lines of several hosts in order of time."""

import json
from collections.abc import Iterable, Iterator
from datetime import datetime
from pathlib import Path
from typing import Any

LogRecord = dict[str, Any]


def read_records(paths: Iterable[Path]) -> list[LogRecord]:
    """Return the records of log files, sorted by their time.

    Text before the first brace of a line is skipped, such as a prefix that a
    log collector adds. Each record gets `at_s`, its time in Unix seconds.
    """
    records = [record for path in paths for record in _read_file(path)]
    records.sort(key=lambda record: float(record['at_s']))
    return records


def _read_file(path: Path) -> Iterator[LogRecord]:
    with path.open(errors='replace') as lines:
        for line in lines:
            record = parse_line(line)
            if record is not None:
                yield record


def parse_line(line: str) -> LogRecord | None:
    """Return the record of a log line, None if the line holds none."""
    start = line.find('{"time"')
    if start < 0:
        return None
    try:
        record = json.loads(line[start:])
        at_s = datetime.fromisoformat(record['time']).timestamp()
    except (ValueError, KeyError, TypeError):
        return None
    record['at_s'] = at_s
    return dict(record)
