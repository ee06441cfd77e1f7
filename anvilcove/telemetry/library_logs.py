"""Take what libraries and the interpreter log into the log of the daemon."""

import logging
import sys
from typing import TYPE_CHECKING, Any

from loguru import logger

if TYPE_CHECKING:
    from sys import UnraisableHookArgs

# Levels that both logs have.
LEVELS = ('DEBUG', 'INFO', 'WARNING', 'ERROR', 'CRITICAL')


class LibraryHandler(logging.Handler):
    """Handler of the standard library's log that writes to this one."""

    def emit(self, record: logging.LogRecord) -> None:
        """Write a record with the name of its logger."""
        error: Any = record.exc_info
        level = record.levelname
        logger.opt(exception=error).bind(library=record.name).log(
            level if level in LEVELS else record.levelno,
            '{}',
            record.getMessage(),
        )


def take_library_logs() -> None:
    """Replace the handlers of the standard library's log.

    Without a handler it prints plain text to standard error, among the lines
    of this log. asyncio and aiohttp do so, for example if they write to a
    connection that is gone, and so does the interpreter with warnings and
    with errors that it can't raise.
    """
    logging.root.handlers = [LibraryHandler()]
    logging.captureWarnings(True)
    sys.unraisablehook = _log_unraisable


def _log_unraisable(unraisable: 'UnraisableHookArgs') -> None:
    logger.opt(exception=unraisable.exc_value).bind(
        reason=str(unraisable.err_msg or '')
    ).error('error that could not be raised')
