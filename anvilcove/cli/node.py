"""Run a daemon on the users' platform."""

import asyncio
import random
import signal
import sys

from anvilcove.cli.registry import program
from anvilcove.node.app import NodeDaemon
from anvilcove.platform.family import PlatformAdapters
from anvilcove.platform.settings import load_node_settings, settings_path
from anvilcove.settings.errors import SettingsError


@program('node', "Run a daemon on the users' platform: anvilcove node")
def node(arguments: list[str]) -> int:
    """Run the daemon until it is stopped; return 2 for invalid settings."""
    if arguments:
        print('usage: anvilcove node', file=sys.stderr)
        return 2
    # Its default is to end the process, which handles it only once it runs.
    signal.signal(signal.SIGHUP, signal.SIG_IGN)
    try:
        path = settings_path()
        settings = load_node_settings(path)
    except SettingsError as error:
        print(error, file=sys.stderr)
        return 2
    adapters = PlatformAdapters(settings, random.Random())
    daemon = NodeDaemon(settings, adapters, lambda: load_node_settings(path))
    asyncio.run(daemon.run())
    return 0
