"""Ways in which a run of a content, or all runs at an endpoint, fail."""

import asyncio
from collections.abc import Awaitable, Callable

from anvilcove.ports.errors import (
    AnswerMismatch,
    EndpointCrashed,
    EndpointNotRun,
)

# Time from the begin of a run to its failure.
FAILURE_TIME_S = 0.03
EVENTS_BEFORE_LATE_FAILURE = 3
HANG_S = 3600.0

# Called before each event with the number of events of the run so far.
RunFault = Callable[[int], Awaitable[None]]
RUN_FAULTS: dict[str, RunFault] = {}


class RunFailed(Exception):
    """Raised for a run that the endpoint answers with a failure."""


def run_fault(name: str) -> Callable[[RunFault], RunFault]:
    """Register a fault under the name that scenarios use."""

    def register(fault: RunFault) -> RunFault:
        RUN_FAULTS[name] = fault
        return fault

    return register


class EndpointFault:
    """Fault of an endpoint that strikes a share of its runs, evenly."""

    __slots__ = ('_fault', '_share', '_runs')

    def __init__(self, name: str, share: float = 1.0) -> None:
        """Fail this share of the runs by the registered fault."""
        self._fault = RUN_FAULTS[name]
        self._share = share
        self._runs = 0

    def next_run(self) -> RunFault | None:
        """Return the fault of the next run, None if it is sound."""
        before = int(self._runs * self._share)
        self._runs += 1
        strikes = int(self._runs * self._share) > before
        return self._fault if strikes else None


class RunFaults:
    """Faults of contents and of services that are not engines."""

    __slots__ = ('by_body', 'by_address')

    def __init__(self) -> None:
        """Start without faults."""
        self.by_body: dict[bytes, RunFault] = {}
        self.by_address: dict[str, EndpointFault] = {}

    def next_run(self, address: str, body: bytes) -> RunFault:
        """Return the fault of the next run of a body at a service."""
        fault = self.by_body.get(body)
        if fault is None and address in self.by_address:
            fault = self.by_address[address].next_run()
        return fault or run_sound

    async def strike(self, address: str, body: bytes) -> None:
        """Fail the next run of a body at a service, if it has a fault."""
        await self.next_run(address, body)(0)


async def run_sound(events: int) -> None:
    """Let a run go on."""


@run_fault('fails')
async def fail(events: int) -> None:
    """Answer with a failure."""
    await asyncio.sleep(FAILURE_TIME_S)
    raise RunFailed


@run_fault('aborts')
async def abort(events: int) -> None:
    """End the connection before the first byte."""
    await asyncio.sleep(FAILURE_TIME_S)
    raise EndpointCrashed('connection reset by the stand-in')


@run_fault('aborts late')
async def abort_late(events: int) -> None:
    """End the connection behind some events, of this or an earlier run."""
    if events >= EVENTS_BEFORE_LATE_FAILURE:
        raise EndpointCrashed('connection reset by the stand-in')


@run_fault('is malformed')
async def answer_malformed(events: int) -> None:
    """Answer with bytes that are not what was asked for."""
    await asyncio.sleep(FAILURE_TIME_S)
    raise AnswerMismatch('malformed by the stand-in')


@run_fault('is refused')
async def refuse(events: int) -> None:
    """Refuse the run, as an endpoint does that is full."""
    raise EndpointNotRun('refused', overloaded=True)


@run_fault('stalls')
async def stall(events: int) -> None:
    """Send nothing."""
    await asyncio.sleep(HANG_S)


@run_fault('stalls late')
async def stall_late(events: int) -> None:
    """Send nothing behind some events."""
    if events >= EVENTS_BEFORE_LATE_FAILURE:
        await asyncio.sleep(HANG_S)
