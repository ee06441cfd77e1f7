"""Configure the format and level of the log."""

import sys
import traceback
from typing import TYPE_CHECKING, Any

from loguru import logger
from msgspec import json

if TYPE_CHECKING:
    from loguru import Message, Record

    from anvilcove.settings.daemon import LogSettings

TEXT_FORMAT = '{time:HH:mm:ss.SSS} {level: <7} {message} {extra}\n{exception}'


class LogSink:
    """Log sink of the process, with a level that can be changed."""

    __slots__ = ('settings', '_sink')

    def __init__(self, settings: 'LogSettings') -> None:
        """Replace all sinks by the one that the settings describe."""
        self.settings = settings
        logger.remove()
        self._sink = self._add_sink(settings.level)

    def set_level(self, level: str) -> None:
        """Set the lowest level that is logged."""
        old_sink = self._sink
        self._sink = self._add_sink(level)
        logger.remove(old_sink)

    def _add_sink(self, level: str) -> int:
        log_format = self.settings.format
        if log_format == 'auto':
            log_format = 'text' if sys.stderr.isatty() else 'json'
        # Values of variables are left out of tracebacks, as they may contain
        # request bodies or keys.
        if log_format == 'text':
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
    """Write a log record to stderr as one line of JSON."""
    sys.stderr.buffer.write(json_line(message.record))
    sys.stderr.buffer.flush()


def json_line(record: 'Record') -> bytes:
    """Encode a log record as one line of JSON."""
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
