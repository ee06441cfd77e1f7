"""Run an entry daemon."""

import asyncio
import sys
from pathlib import Path

import msgspec

from anvilcove.cli.registry import program
from anvilcove.daemon.app import Daemon
from anvilcove.settings.daemon import DaemonSettings


@program('serve', 'Run an entry daemon: anvilcove serve SETTINGS.yaml')
def serve(arguments: list[str]) -> int:
    """Run the daemon until it is stopped."""
    if len(arguments) != 1:
        print('usage: anvilcove serve SETTINGS.yaml', file=sys.stderr)
        return 2
    data = Path(arguments[0]).read_bytes()
    settings = msgspec.yaml.decode(data, type=DaemonSettings)
    asyncio.run(Daemon(settings).run())
    return 0
