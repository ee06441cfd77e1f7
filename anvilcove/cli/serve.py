"""Run an entry daemon."""

import asyncio
import sys
from pathlib import Path

from anvilcove.cli.registry import program
from anvilcove.daemon.app import Daemon, load_modules
from anvilcove.daemon.logs import LogSink
from anvilcove.settings.daemon import DaemonSettings
from anvilcove.settings.loader import (
    SettingsError,
    load_settings,
    registry_faults,
)


@program('serve', 'Run an entry daemon: anvilcove serve SETTINGS.yaml')
def serve(arguments: list[str]) -> int:
    """Run the daemon until it is stopped."""
    if len(arguments) != 1:
        print('usage: anvilcove serve SETTINGS.yaml', file=sys.stderr)
        return 2
    path = Path(arguments[0])
    try:
        settings = load_settings(path)
        load_modules()
        faults = registry_faults(settings)
        if faults:
            raise SettingsError([f'{path}: {fault}' for fault in faults])
    except SettingsError as error:
        print(error, file=sys.stderr)
        return 2
    asyncio.run(_run(settings))
    return 0


async def _run(settings: DaemonSettings) -> None:
    await Daemon(settings, LogSink(settings.log)).run()
