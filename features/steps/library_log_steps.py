"""Steps with messages that libraries log."""

import asyncio.log
import json
import logging
import os
import sys
import warnings

from behave import given, then, when
from loguru import logger

from anvilcove.state.clock import SystemClock
from anvilcove.telemetry.library_logs import take_library_logs
from anvilcove.telemetry.logs import LogWriter


class Unfinished:
    """Object whose finalizer fails."""

    def __del__(self):
        """Raise an error that nobody can handle."""
        raise ValueError('not raised')


@given('the log of a daemon')
def install_log(context):
    """Let a log write to a pipe; restore the hooks after the scenario."""
    context.reader, context.writer = os.pipe()
    handlers, hook = logging.root.handlers, sys.unraisablehook

    def restore():
        logging.root.handlers, sys.unraisablehook = handlers, hook
        logging.captureWarnings(False)
        logger.remove()
        logger.configure(extra={})
        logger.add(sys.stderr)

    context.add_cleanup(restore)
    LogWriter('h1', SystemClock(), context.writer).install()
    take_library_logs()


@when("asyncio logs a warning, code warns and an error can't be raised")
def log_all(context):
    """Log in each of the ways."""
    asyncio.log.logger.warning('socket.send() raised exception.')
    with warnings.catch_warnings():
        warnings.simplefilter('always')
        logging.captureWarnings(True)
        warnings.warn('outdated', stacklevel=1)
    Unfinished()


@then(
    'the log has {count:d} more lines, each of them JSON with the name of '
    'its host'
)
def check_lines(context, count):
    """Parse what was written."""
    os.close(context.writer)
    text = os.read(context.reader, 1 << 16).decode()
    os.close(context.reader)
    lines = [json.loads(line) for line in text.splitlines()]
    assert len(lines) == count, text
    assert {line['host'] for line in lines} == {'h1'}, text
