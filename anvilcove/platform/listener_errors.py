"""Server of a listener whose reports of malformed requests show no key."""

from collections.abc import Callable
from typing import Any

from aiohttp.http_exceptions import HttpProcessingError
from aiohttp.web_request import BaseRequest
from aiohttp.web_response import StreamResponse
from aiohttp.web_server import Server
from loguru import logger

from anvilcove.http.client_account import ClientAccount
from anvilcove.http.client_connections import ClientConnection, ClientServer


class QuietConnection(ClientConnection):
    """Connection that logs a malformed request without its text.

    The parser quotes the line at fault, which may hold a key.
    """

    __slots__ = ('_hides_text',)

    def __init__(
        self,
        account: ClientAccount,
        manager: Server,
        hides_text: Callable[[], bool],
        **kwargs: Any,
    ) -> None:
        """Serve a connection; `hides_text` also hides the text in answers."""
        super().__init__(account, manager, **kwargs)
        self._hides_text = hides_text

    def handle_error(
        self,
        request: BaseRequest,
        status: int = 500,
        exc: BaseException | None = None,
        message: str | None = None,
    ) -> StreamResponse:
        """Answer a request that could not be parsed or served."""
        if isinstance(exc, HttpProcessingError):
            logger.bind(reason=type(exc).__name__, status=status).info(
                'request is not valid HTTP'
            )
            exc = None
            if self._hides_text():
                message = None
        return super().handle_error(request, status, exc, message)


class QuietServer(ClientServer):
    """Server of connections that show no text of malformed requests."""

    def __init__(
        self,
        account: ClientAccount,
        handler: Any,
        hides_text: Callable[[], bool],
        **kwargs: Any,
    ) -> None:
        """Serve with `handler`; `hides_text` is read for each error."""
        super().__init__(account, handler, **kwargs)
        self._hides_text = hides_text

    def __call__(self) -> QuietConnection:
        """Return the handler of a new connection."""
        return QuietConnection(
            self.account,
            self,
            self._hides_text,
            loop=self._loop,
            **self._kwargs,
        )
