"""Fault switches, journal and load history shared by all stand-ins."""

import asyncio
import os
import time
from collections import deque
from collections.abc import Awaitable, Callable
from io import RawIOBase
from pathlib import Path
from typing import Any

from aiohttp import web

from anvilcove.messages.base import encode
from anvilcove.messages.engines import LoadReport
from anvilcove.messages.services import EndpointRefusal

LOAD_HISTORY_S = 60.0


class Standin:
    """Base class of the stand-ins.

    Tests replace `now`, `sleep` and `exit`.
    """

    def __init__(self) -> None:
        """Create a stand-in without faults and with an empty journal."""
        self.faults: dict[str, Any] = {}
        self.journal: list[dict[str, Any]] = []
        self.now: Callable[[], float] = time.time
        self.sleep: Callable[[float], Awaitable[None]] = asyncio.sleep
        self.exit: Callable[[int], Any] = os._exit
        self._file: RawIOBase | None = None
        self._load_history: deque[tuple[float, int, int]] = deque(
            [(0.0, 0, 0)]
        )

    def app(self) -> web.Application:
        """Return an application with the routes common to all stand-ins."""
        app = web.Application(client_max_size=64 * 1024 * 1024)
        app.router.add_put('/faults', self._put_faults)
        app.router.add_get('/journal', self._get_journal)
        return app

    async def _put_faults(self, request: web.Request) -> web.Response:
        self.set_faults(await request.json())
        return web.json_response(self.faults)

    def set_faults(self, switches: dict[str, Any]) -> None:
        """Update the fault switches; None removes a switch."""
        self.write_journal('faults', switches=switches)
        for name, value in switches.items():
            if value is None:
                self.faults.pop(name, None)
            else:
                self.faults[name] = value

    def open_journal(self, path: str) -> None:
        """Append the journal to a file without buffering.

        Lines written before the process is killed are kept.
        """
        self._file = Path(path).open('ab', buffering=0)

    async def _get_journal(self, request: web.Request) -> web.Response:
        after = int(request.query.get('after', '0'))
        return json_response(self.journal[after:])

    def write_journal(self, event: str, **fields: Any) -> None:
        """Append an event with its time and fields to the journal."""
        line = {'at_s': self.now(), 'event': event, **fields}
        self.journal.append(line)
        if self._file is not None:
            self._file.write(encode(line) + b'\n')

    def consume_fault(self, name: str) -> bool:
        """Decrement a counted fault and return whether it was above zero."""
        remaining: int = self.faults.get(name, 0)
        if remaining > 0:
            self.faults[name] = remaining - 1
        return remaining > 0

    async def delay_response(self) -> None:
        """Wait for `late_s` seconds if that switch is set."""
        if self.faults.get('late_s'):
            await self.sleep(self.faults['late_s'])

    def crash(self, reason: str, request_id: str = '') -> None:
        """Record the reason and exit with status 1 without cleanup."""
        self.write_journal('crashed', request_id=request_id, reason=reason)
        self.exit(1)

    def response_request_id(self, request_id: str) -> str:
        """Return the request identifier to put into a response.

        It is that of another request while `cross_answers` is above zero.
        """
        if not self.consume_fault('cross_answers'):
            return request_id
        for line in reversed(self.journal):
            if line.get('request_id', request_id) != request_id:
                return str(line['request_id'])
        return 'another-request'

    def refuse(self, request_id: str, reason: str) -> web.Response:
        """Return a 429 response which states that the request was not run."""
        self.write_journal('refused', request_id=request_id, reason=reason)
        return json_response(EndpointRefusal(run=False, reason=reason), 429)

    def record_load(self, running: int, queued: int) -> None:
        """Record the current load for reports delayed by `report_lag_s`."""
        if self._load_history[-1][1:] == (running, queued):
            return
        now = self.now()
        self._load_history.append((now, running, queued))
        while self._load_history[1][0] < now - LOAD_HISTORY_S:
            self._load_history.popleft()

    def load_report(self, endpoint: str, capacity: int) -> web.Response:
        """Return the load as it was `report_lag_s` seconds ago."""
        as_of = self.now() - self.faults.get('report_lag_s', 0.0)
        _, running, queued = next(
            (
                load
                for load in reversed(self._load_history)
                if load[0] <= as_of
            ),
            self._load_history[0],
        )
        report = LoadReport(
            endpoint=endpoint,
            running=running,
            queued=queued,
            capacity=capacity,
            reported_at_s=as_of,
        )
        return json_response(report)


def json_response(message: object, status: int = 200) -> web.Response:
    """Return a response with a message as JSON."""
    return web.Response(
        body=encode(message), content_type='application/json', status=status
    )


def source_address(request: web.Request) -> str:
    """Return the client address of a request as ip:port."""
    peer = request.transport and request.transport.get_extra_info('peername')
    return f'{peer[0]}:{peer[1]}' if peer else ''


def abort_connection(request: web.Request) -> web.Response:
    """Abort the connection of a request without sending a response.

    The returned response only satisfies aiohttp.
    """
    if request.transport is not None:
        request.transport.abort()
    return web.Response()
