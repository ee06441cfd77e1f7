"""Processor time of reading reports of endpoints and of routing by them."""

import random
import time
from typing import cast

from aiohttp import ClientResponse
from msgspec import Struct
from multidict import CIMultiDict

from anvilcove.bench.routing_time import build_view, measure_view
from anvilcove.platform.endpoint_reports import read_report
from anvilcove.platform.standin_faults import ServerFaults, report_headers

READS = 20_000
SERVERS = 64
SEED = 1


class RecordedHead:
    """Headers of an answer."""

    __slots__ = ('headers',)

    def __init__(self, headers: CIMultiDict[str]) -> None:
        """Keep the headers."""
        self.headers = headers


class ReportCost(Struct):
    """Microseconds of processor time.

    The decisions are among SERVERS servers; in `mixed_decision_us` a quarter
    of them leaves and a quarter names a limit.
    """

    silent_read_us: float
    report_read_us: float
    decision_us: float
    mixed_decision_us: float


def measure() -> ReportCost:
    """Measure reads and decisions in one process."""
    faults = ServerFaults()
    silent_us = _measure_read(faults)
    faults.leaving, faults.limit_per_s = True, 2.5
    report_us = _measure_read(faults)
    plain, mixed = build_view(SERVERS), build_view(SERVERS)
    for number, state in enumerate(mixed.by_id.values()):
        if number % 4 == 0:
            mixed.mark_leaving(state.endpoint)
        elif number % 4 == 1:
            mixed.set_rate_limit(state, 1.0, 0.0)
    return ReportCost(
        silent_us,
        report_us,
        measure_view(plain, random.Random(SEED)),
        measure_view(mixed, random.Random(SEED)),
    )


def _measure_read(faults: ServerFaults) -> float:
    headers = CIMultiDict(
        {'Content-Type': 'text/plain', **report_headers(faults)}
    )
    response = cast(ClientResponse, RecordedHead(headers))
    started_s = time.process_time()
    for _ in range(READS):
        read_report(response)
    return (time.process_time() - started_s) / READS * 1e6
