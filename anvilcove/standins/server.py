"""HTTP server that runs one stand-in as a process."""

import asyncio
import signal

from aiohttp import web


async def serve_app(app: web.Application, address: str) -> None:
    """Serve an application on ip:port until SIGTERM or SIGINT."""
    stop = asyncio.Event()
    loop = asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, stop.set)
    runner = web.AppRunner(app, access_log=None)
    await runner.setup()
    ip, _, port = address.rpartition(':')
    await web.TCPSite(runner, ip, int(port), backlog=512).start()
    await stop.wait()
    await runner.cleanup()
