"""Fault switches, journal and load history that every stand-in has."""

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
    """Base of the stand-ins; tests replace `now`, `sleep` and `exit`."""

    def __init__(self) -> None:
        """Start with all switches off and an empty journal."""
        self.faults: dict[str, Any] = {}
        self.journal: list[dict[str, Any]] = []
        self.now: Callable[[], float] = time.time
        self.sleep: Callable[[float], Awaitable[None]] = asyncio.sleep
        self.exit: Callable[[int], Any] = os._exit
        self._file: RawIOBase | None = None
        self._loads: deque[tuple[float, int, int]] = deque([(0.0, 0, 0)])

    def app(self) -> web.Application:
        """Return an application with the routes that all stand-ins have."""
        app = web.Application(client_max_size=64 * 1024 * 1024)
        app.router.add_put('/faults', self._put_faults)
        app.router.add_get('/journal', self._get_journal)
        return app

    async def _put_faults(self, request: web.Request) -> web.Response:
        self.set_faults(await request.json())
        return web.json_response(self.faults)

    def set_faults(self, switches: dict[str, Any]) -> None:
        """Merge switches; a null value turns a switch off."""
        self.write('faults', switches=switches)
        for name, value in switches.items():
            if value is None:
                self.faults.pop(name, None)
            else:
                self.faults[name] = value

    def open_journal(self, path: str) -> None:
        """Append the journal to a file; every line survives a kill."""
        self._file = Path(path).open('ab', buffering=0)

    async def _get_journal(self, request: web.Request) -> web.Response:
        after = int(request.query.get('after', '0'))
        return json_response(self.journal[after:])

    def write(self, event: str, **fields: Any) -> None:
        """Add a line to the journal."""
        line = {'at_s': self.now(), 'event': event, **fields}
        self.journal.append(line)
        if self._file is not None:
            self._file.write(encode(line) + b'\n')

    def take(self, name: str) -> bool:
        """Use up one of the counted faults, or return False."""
        left: int = self.faults.get(name, 0)
        if left > 0:
            self.faults[name] = left - 1
        return left > 0

    async def wait_late(self) -> None:
        """Wait before an answer while `late_s` is set."""
        if self.faults.get('late_s'):
            await self.sleep(self.faults['late_s'])

    def crash(self, reason: str, request_id: str = '') -> None:
        """End the process without any cleanup."""
        self.write('crashed', request_id=request_id, reason=reason)
        self.exit(1)

    def answer_id(self, request_id: str) -> str:
        """Return the identifier for an answer, another's if crossed."""
        if not self.take('cross_answers'):
            return request_id
        for line in reversed(self.journal):
            if line.get('request_id', request_id) != request_id:
                return str(line['request_id'])
        return 'another-request'

    def refuse(self, request_id: str, reason: str) -> web.Response:
        """Answer that a request was not run."""
        self.write('refused', request_id=request_id, reason=reason)
        return json_response(EndpointRefusal(run=False, reason=reason), 429)

    def record_load(self, running: int, queued: int) -> None:
        """Remember the load for reports of the past."""
        if self._loads[-1][1:] == (running, queued):
            return
        now = self.now()
        self._loads.append((now, running, queued))
        while self._loads[1][0] < now - LOAD_HISTORY_S:
            self._loads.popleft()

    def load_report(self, endpoint: str, capacity: int) -> web.Response:
        """Answer with the load as it was `report_lag_s` ago."""
        as_of = self.now() - self.faults.get('report_lag_s', 0.0)
        _, running, queued = next(
            (load for load in reversed(self._loads) if load[0] <= as_of),
            self._loads[0],
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
    """Answer with a message as JSON."""
    return web.Response(
        body=encode(message), content_type='application/json', status=status
    )


def source(request: web.Request) -> str:
    """Return the address that a request came from, ip:port."""
    peer = request.transport and request.transport.get_extra_info('peername')
    return f'{peer[0]}:{peer[1]}' if peer else ''


def cut_connection(request: web.Request) -> web.Response:
    """Cut the connection of a request; nothing of the answer is sent."""
    if request.transport is not None:
        request.transport.abort()
    return web.Response()
