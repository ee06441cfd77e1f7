"""Repeat the policy calls of a recorded trace."""

import gzip
import random
from collections.abc import Callable
from pathlib import Path
from typing import Any

import msgspec

from anvilcove.decisions.registry import policy_class
from anvilcove.decisions.types import (
    AttemptResult,
    PoolLoad,
    RetryRequest,
    RouteRequest,
)
from anvilcove.messages.engines import CacheEvent, LoadReport
from anvilcove.messages.membership import SERVICE, EndpointMember
from anvilcove.messages.peers import SuspectDigest
from anvilcove.replay.recorder import FORMAT, METHODS, result_to_builtins
from anvilcove.settings.classes import ClassTarget
from anvilcove.settings.daemon import (
    AdapterSettings,
    DaemonSettings,
    KeySettings,
    PlatformSettings,
    PolicySettings,
)
from anvilcove.state.endpoints import EndpointView

# Types that arguments are decoded to, by position; times, names and numbers
# are used as they are.
ARGUMENT_TYPES: dict[tuple[str, str], dict[int, Any]] = {
    ('admission', 'offer'): {1: ClassTarget, 2: PoolLoad},
    ('limits', 'finished'): {1: AttemptResult},
    ('routing', 'choose'): {1: RouteRequest},
    ('routing', 'finished'): {1: AttemptResult},
    ('routing', 'observe_cache'): {2: list[CacheEvent]},
    ('ejection', 'finished'): {1: AttemptResult},
    ('retry', 'next_attempt'): {1: RetryRequest},
    ('quarantine', 'merge'): {1: list[SuspectDigest]},
}
METHODS_WITH_RNG = {('routing', 'choose'), ('retry', 'next_attempt')}


class TraceError(Exception):
    """Raised if a trace cannot be read or has an unknown format or call."""


class Decision(msgspec.Struct):
    """Policy call with its recorded arguments and the replayed result."""

    topic: str
    method: str
    arguments: list[Any]
    result: Any


def read_trace(path: Path) -> tuple[dict[str, Any], list[list[Any]]]:
    """Return the header and the recorded calls, or raise TraceError."""
    try:
        data = path.read_bytes()
        if path.suffix == '.gz':
            data = gzip.decompress(data)
        rows = [msgspec.json.decode(line) for line in data.splitlines()]
    except (OSError, EOFError, msgspec.DecodeError) as error:
        raise TraceError(f'{path}: {error}') from error
    if not rows or not isinstance(rows[0], dict):
        raise TraceError(f'{path}: the first line is not a trace header')
    if rows[0].get('format') != FORMAT:
        raise TraceError(
            f'{path}: unsupported trace format; supported: {FORMAT}'
        )
    return rows[0], rows[1:]


def replay(path: Path) -> list[Decision]:
    """Repeat the calls of a trace and return them with the new results."""
    header, rows = read_trace(path)
    settings = _settings(header)
    policies = _Policies(settings)
    decisions = []
    for topic, method, arguments, _ in rows:
        if method not in METHODS.get(topic, ()):
            raise TraceError(
                f'{path}: {topic}.{method} is not a recorded method'
            )
        result = result_to_builtins(policies.call(topic, method, arguments))
        decisions.append(Decision(topic, method, arguments, result))
    return decisions


class _Policies:
    """Policies of all recorded topics, with replayed inputs."""

    def __init__(self, settings: DaemonSettings) -> None:
        self.policies = {
            topic: policy_class(topic, getattr(settings.policies, topic))(
                settings
            )
            for topic in METHODS
        }
        self.rng_by_topic = {t: random.Random(settings.seed) for t in METHODS}
        self.view_by_pool: dict[str, EndpointView] = {}

    def call(self, topic: str, method: str, arguments: list[Any]) -> Any:
        types = ARGUMENT_TYPES.get((topic, method), {})
        typed = [
            msgspec.convert(argument, types[position], str_keys=True)
            if position in types
            else argument
            for position, argument in enumerate(arguments)
        ]
        if (topic, method) == ('routing', 'choose'):
            typed[2] = self._view(typed[1].pool, arguments[2])
        if (topic, method) in METHODS_WITH_RNG:
            typed.append(self.rng_by_topic[topic])
        function: Callable[..., Any] = getattr(self.policies[topic], method)
        return function(*typed)

    def _view(self, pool: str, rows: list[list[Any]]) -> EndpointView:
        """Update the view of a pool from rows of ENDPOINT_STATE_FIELDS."""
        view = self.view_by_pool.setdefault(pool, EndpointView())
        view.update(
            [
                EndpointMember(
                    endpoint=row[0],
                    address='',
                    data_centre=row[1],
                    pool=pool,
                    kind=SERVICE,
                )
                for row in rows
            ]
        )
        for row in rows:
            state = view.by_id[row[0]]
            state.leaving, state.in_flight, state.limit = row[2:5]
            state.ejected_until_s, state.isolated = row[5:7]
            report = row[7]
            if report is not None:
                state.report = msgspec.convert(report, LoadReport)
            state.report_at_s = row[8]
        return view


def _settings(header: dict[str, Any]) -> DaemonSettings:
    unused = AdapterSettings(address='127.0.0.1:1')
    return DaemonSettings(
        host=header['host'],
        data_centre=header['data_centre'],
        listen_address='127.0.0.1:0',
        seed=header['seed'],
        platform=PlatformSettings(
            table=unused, objects=unused, weights=unused, membership=unused
        ),
        keys=KeySettings(peer='replay', operator='replay'),
        policies=msgspec.convert(header['policies'], PolicySettings),
    )
