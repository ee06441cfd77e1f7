"""Stand-in for the platform's interface for usage and sizes."""

import asyncio
import time
from collections import deque
from collections.abc import Callable
from typing import Any

from aiohttp import web
from msgspec import Struct, json

from anvilcove.platform.names import DUTY_HOLDER, FENCING_TOKEN
from anvilcove.platform.standin_faults import reset_connection
from anvilcove.ports.duties import SizeOrder

SCALE_PATH = '/scale'
RESPONSE_TIME_S = 0.004
RATE_WINDOW_S = 1.0
# A silent interface answers nothing for longer than any caller waits.
SILENCE_S = 60.0


class DutyCall(Struct):
    """Call that arrived; `at_s` is a monotonic time."""

    at_s: float
    source: str
    path: str
    holder: str
    fence: int
    body: dict[str, Any]


class DutyFaults:
    """Faults that tests switch on; the sources are addresses of hosts.

    Calls of `resetting` and `silent` sources do not take effect; those of
    `losing` ones do, but are not answered. '*' stands for all sources.
    """

    __slots__ = ('resetting', 'silent', 'losing', 'slow')

    def __init__(self) -> None:
        """Start without faults."""
        self.resetting: set[str] = set()
        self.silent: set[str] = set()
        self.losing: set[str] = set()
        self.slow = 1.0


class DutyStandin:
    """Interface that takes `rate_per_s` calls and records them."""

    __slots__ = (
        'faults',
        'calls',
        'throttled',
        'sold_out',
        'unavailable',
        'on_scale',
        '_rate',
        '_at_s',
    )

    def __init__(self, rate_per_s: float) -> None:
        """Start without calls."""
        self.faults = DutyFaults()
        self.calls: list[DutyCall] = []
        # Number of calls over the rate.
        self.throttled = 0
        # Number of orders that were answered with 409.
        self.sold_out = 0
        # Data centres without servers to order.
        self.unavailable: set[str] = set()
        # Carries out an order; returns whether there are enough servers.
        self.on_scale: Callable[[SizeOrder], bool] = lambda order: True
        self._rate = rate_per_s
        self._at_s: deque[float] = deque()

    async def handle(self, request: web.BaseRequest) -> web.StreamResponse:
        """Respond to one call."""
        source = request.remote or ''
        names = {source, '*'}
        if names & self.faults.resetting:
            return _reset(request)
        if names & self.faults.silent:
            await asyncio.sleep(SILENCE_S)
            return _reset(request)
        await asyncio.sleep(RESPONSE_TIME_S * self.faults.slow)
        if request.method != 'POST' or request.path not in (
            '/usage',
            SCALE_PATH,
        ):
            return web.Response(status=404)
        if self._is_over_rate():
            self.throttled += 1
            return web.Response(status=429)
        try:
            call = DutyCall(
                time.monotonic(),
                source,
                request.path,
                request.headers[DUTY_HOLDER],
                int(request.headers[FENCING_TOKEN]),
                json.decode(await request.read(), type=dict),
            )
        except (KeyError, ValueError):
            return web.Response(status=400)
        if call.body.get('zone') in self.unavailable:
            self.sold_out += 1
            return web.Response(status=409)
        self.calls.append(call)
        if call.path == SCALE_PATH and not self.on_scale(
            _size_order(call.body)
        ):
            return web.Response(status=409)
        return _reset(request) if names & self.faults.losing else _done()

    def _is_over_rate(self) -> bool:
        now = time.monotonic()
        while self._at_s and now - self._at_s[0] >= RATE_WINDOW_S:
            self._at_s.popleft()
        if len(self._at_s) >= self._rate:
            return True
        self._at_s.append(now)
        return False


def _size_order(body: dict[str, Any]) -> SizeOrder:
    return SizeOrder(
        str(body.get('service', '')),
        str(body.get('zone', '')),
        int(body.get('target-groups', 0)),
        bool(body.get('preemptible', False)),
    )


def _done() -> web.Response:
    return web.Response()


def _reset(request: web.BaseRequest) -> web.Response:
    if request.transport is not None:
        reset_connection(request.transport)
    return web.Response(status=500)
