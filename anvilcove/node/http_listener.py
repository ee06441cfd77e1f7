"""Sockets of a low-level HTTP server.

`aiohttp.web.ServerRunner` does the same, but imports applications, routes and
files, which take 2 MB that a daemon has no use for.
"""

import asyncio
import socket
from typing import Any

from aiohttp.web_server import Server

from anvilcove.http.client_connections import limit_receive_buffer
from anvilcove.settings.node import ACCEPTED_AT_ONCE

DEFAULT_BACKLOG = 128


class HttpListener:
    """Open sockets and connections of one server."""

    __slots__ = ('_server', '_shutdown_timeout_s', '_sockets')

    def __init__(self, server: Server, shutdown_timeout_s: float) -> None:
        """Take over the server; `open` listens, `cleanup` closes it."""
        self._server = server
        self._shutdown_timeout_s = shutdown_timeout_s
        self._sockets: list[asyncio.Server] = []

    @property
    def addresses(self) -> list[Any]:
        """Return the addresses of the open sockets."""
        return [
            socket.getsockname()
            for server in self._sockets
            for socket in server.sockets
        ]

    async def open(
        self, ip: str, port: int, backlog: int = DEFAULT_BACKLOG
    ) -> None:
        """Listen on one more port."""
        loop = asyncio.get_running_loop()
        listening = socket.socket(
            socket.AF_INET6 if ':' in ip else socket.AF_INET
        )
        listening.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        limit_receive_buffer(listening)
        listening.bind((ip, port))
        # The loop accepts as many connections at once as its backlog says.
        self._sockets.append(
            await loop.create_server(
                self._server, sock=listening, backlog=ACCEPTED_AT_ONCE
            )
        )
        listening.listen(backlog)

    def stop_accepting(self) -> None:
        """Close the sockets; open connections stay."""
        for server in self._sockets:
            server.close()
        self._sockets.clear()

    async def cleanup(self) -> None:
        """Close the sockets, then every connection."""
        self.stop_accepting()
        # Requests that have arrived already begin before idle connections
        # are closed.
        await asyncio.sleep(0)
        self._server.pre_shutdown()
        await self._server.shutdown(self._shutdown_timeout_s)
