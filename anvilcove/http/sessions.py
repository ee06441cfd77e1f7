"""Sessions of clients over HTTP."""

from collections.abc import Mapping
from typing import Any

from aiohttp import ClientSession

from anvilcove.http.answers import FinalResponse
from anvilcove.http.connections import READ_AHEAD_BYTES, AnswerConnector

PLAIN_HEADERS = {'Accept-Encoding': 'identity'}


def open_session(
    connector: AnswerConnector | None = None,
    headers: Mapping[str, str] = PLAIN_HEADERS,
    **options: Any,
) -> ClientSession:
    """Return a session that takes final answers of limited size only.

    By default it has a connector of its own without a limit of connections.
    Bodies are not decompressed, as a short one could become a large one.
    """
    return ClientSession(
        connector=AnswerConnector() if connector is None else connector,
        response_class=FinalResponse,
        headers=headers,
        auto_decompress=False,
        read_bufsize=READ_AHEAD_BYTES,
        **options,
    )
