"""Sessions of clients over HTTP."""

from typing import Any

from aiohttp import ClientSession, TCPConnector

from anvilcove.http.answers import FinalResponse


def open_session(
    connector: TCPConnector | None = None, **options: Any
) -> ClientSession:
    """Return a session that takes final answers only.

    By default it has a connector of its own without a limit of connections.
    """
    return ClientSession(
        connector=TCPConnector(limit=0) if connector is None else connector,
        response_class=FinalResponse,
        **options,
    )
