"""Form and level of the log."""

import sys
import traceback
from typing import TYPE_CHECKING, Any

from loguru import logger
from msgspec import json

from anvilcove.settings.daemon import LogSettings

if TYPE_CHECKING:
    from loguru import Message, Record

TEXT_FORMAT = '{time:HH:mm:ss.SSS} {level: <7} {message} {extra}\n{exception}'


class Logs:
    """Sink of the process; its level can be changed."""

    __slots__ = ('settings', '_sink')

    def __init__(self, settings: LogSettings) -> None:
        """Replace every sink by the one that the settings describe."""
        self.settings = settings
        logger.remove()
        self._sink = self._add(settings.level)

    def set_level(self, level: str) -> None:
        """Change the lowest level that is logged."""
        old = self._sink
        self._sink = self._add(level)
        logger.remove(old)

    def _add(self, level: str) -> int:
        form = self.settings.format
        if form == 'auto':
            form = 'text' if sys.stderr.isatty() else 'json'
        # The values of variables are never shown: they may hold bodies or
        # keys.
        if form == 'text':
            return logger.add(
                sys.stderr,
                level=level,
                format=TEXT_FORMAT,
                diagnose=False,
                backtrace=False,
            )
        return logger.add(
            write_json, level=level, format='{message}', diagnose=False
        )


def write_json(message: 'Message') -> None:
    """Write one record as one line of JSON."""
    sys.stderr.buffer.write(json_line(message.record))
    sys.stderr.buffer.flush()


def json_line(record: 'Record') -> bytes:
    """Return a record as one JSON object."""
    line: dict[str, Any] = {
        'time': record['time'].isoformat(timespec='milliseconds'),
        'level': record['level'].name,
        'module': record['name'],
        'message': record['message'],
        **record['extra'],
    }
    error = record['exception']
    if error is not None:
        line['exception'] = ''.join(
            traceback.format_exception(
                error.type, error.value, error.traceback
            )
        )
    return json.encode(line, enc_hook=str) + b'\n'
