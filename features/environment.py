"""Hooks of behave that set up and clean up each scenario."""

import asyncio
import shutil
import tempfile
from pathlib import Path

from anvilcove.http.sessions import open_session
from anvilcove.platform.connections import ServerConnections


def before_scenario(context, scenario):
    """Give each scenario its own event loop, HTTP session and directory."""
    context.loop = asyncio.new_event_loop()
    context.folder = Path(tempfile.mkdtemp(prefix='anvilcove-'))
    context.site = None

    async def open_product_session():
        return open_session()

    context.session = context.loop.run_until_complete(open_product_session())
    context.connections = ServerConnections()
    context.loop.run_until_complete(context.connections.__aenter__())


def after_scenario(context, scenario):
    """Stop what the scenario started and delete its directory."""
    if context.site is not None:
        context.loop.run_until_complete(context.site.stop())
    context.loop.run_until_complete(context.session.close())
    context.loop.run_until_complete(
        context.connections.__aexit__(None, None, None)
    )
    context.loop.close()
    shutil.rmtree(context.folder, ignore_errors=True)
