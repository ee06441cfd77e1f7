"""Run an entry daemon."""

import asyncio
import sys
from pathlib import Path

from anvilcove.cli.registry import program
from anvilcove.daemon.app import Daemon, load_modules
from anvilcove.daemon.logs import LogSink
from anvilcove.settings.daemon import DaemonSettings
from anvilcove.settings.errors import SettingsError
from anvilcove.settings.loader import (
    find_unregistered_names,
    load_settings,
)


@program('serve', 'Run an entry daemon: anvilcove serve SETTINGS.yaml')
def serve(arguments: list[str]) -> int:
    """Run the daemon until it is stopped; return 2 for invalid settings."""
    if len(arguments) != 1:
        print('usage: anvilcove serve SETTINGS.yaml', file=sys.stderr)
        return 2
    path = Path(arguments[0])
    try:
        settings = load_settings(path)
        load_modules()
        violations = find_unregistered_names(settings)
        if violations:
            raise SettingsError(
                [f'{path}: {violation}' for violation in violations]
            )
    except SettingsError as error:
        print(error, file=sys.stderr)
        return 2
    asyncio.run(_run(settings))
    return 0


async def _run(settings: DaemonSettings) -> None:
    await Daemon(settings, LogSink(settings.log)).run()
