"""Decode what servers say about themselves in the headers of an answer."""

from math import isfinite

from aiohttp import ClientResponse

from anvilcove.platform.load_header import decode_load
from anvilcove.platform.names import (
    SERVER_LEAVING,
    SERVER_LIMIT,
    SERVER_LOAD,
)
from anvilcove.ports.reports import (
    NO_REPORT,
    UNSOUND_LEAVING,
    UNSOUND_LIMIT,
    UNSOUND_LOAD,
    EndpointReport,
)

LEAVING_VALUE = '1'
MAX_LIMIT_CHARACTERS = 32


def read_report(response: ClientResponse) -> EndpointReport:
    """Return the report in an answer; malformed values are named in it."""
    headers = response.headers
    _, sound_load = decode_load(tuple(headers.getall(SERVER_LOAD, ())))
    if (
        sound_load
        and SERVER_LEAVING not in headers
        and SERVER_LIMIT not in headers
    ):
        return NO_REPORT
    unsound = [] if sound_load else [UNSOUND_LOAD]
    leaving_values = headers.getall(SERVER_LEAVING, [])
    leaving = leaving_values == [LEAVING_VALUE]
    if leaving_values and not leaving:
        unsound.append(UNSOUND_LEAVING)
    limit_values = headers.getall(SERVER_LIMIT, [])
    limit_per_s = _decode_limit(limit_values)
    if limit_values and limit_per_s is None:
        unsound.append(UNSOUND_LIMIT)
    return EndpointReport(leaving, limit_per_s, tuple(unsound))


def _decode_limit(values: list[str]) -> float | None:
    """Return a positive decimal number, None for anything else."""
    if len(values) != 1 or len(values[0]) > MAX_LIMIT_CHARACTERS:
        return None
    text = values[0].strip()
    if not text.isascii() or not text.replace('.', '', 1).isdigit():
        return None
    limit_per_s = float(text)
    return limit_per_s if isfinite(limit_per_s) and limit_per_s > 0 else None
