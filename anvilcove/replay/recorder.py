"""Record the arguments and results of policy calls as JSON lines.

The format is described in docs/traces.md.
"""

import random
from pathlib import Path
from typing import Any

from msgspec import to_builtins
from msgspec.json import encode
from msgspec.structs import replace
from xxhash import xxh64_hexdigest

from anvilcove.decisions.affinity import cache_prefixes
from anvilcove.decisions.types import RouteRequest
from anvilcove.messages.engines import CacheEvent
from anvilcove.settings.daemon import DaemonSettings
from anvilcove.state.endpoints import EndpointView

FORMAT = 1
# Recorded policy methods by topic (routing, retry, ...).
METHODS = {
    'admission': ('offer',),
    'limits': ('limit', 'finished'),
    'routing': ('choose', 'finished', 'observe_cache'),
    'ejection': ('finished',),
    'retry': ('started', 'next_attempt'),
    'hedging': ('finished', 'delay_s', 'spend'),
    'quarantine': ('crashed', 'finished', 'verdict', 'merge'),
}
ENDPOINT_STATE_FIELDS = (
    'endpoint',
    'data_centre',
    'leaving',
    'in_flight',
    'limit',
    'ejected_until_s',
    'isolated',
    'report',
    'report_at_s',
)
# Lines that are buffered in memory before they are written to the file.
MAX_BUFFERED_LINES = 16


class Recorder:
    """Buffered writer of one trace file."""

    __slots__ = ('_path', '_lines')

    def __init__(self, settings: DaemonSettings) -> None:
        """Create the file and write the settings that a replay needs."""
        self._path = Path(settings.recorder_file)
        self._lines: list[bytes] = []
        header = {
            'format': FORMAT,
            'seed': settings.seed,
            'host': settings.host,
            'data_centre': settings.data_centre,
            'policies': {t: getattr(settings.policies, t) for t in METHODS},
        }
        self._path.write_bytes(encode(header) + b'\n')

    def write(
        self, topic: str, method: str, arguments: list[Any], result: Any
    ) -> None:
        """Append one policy call with its result."""
        line = [topic, method, arguments, result_to_builtins(result)]
        self._lines.append(encode(line) + b'\n')
        if len(self._lines) >= MAX_BUFFERED_LINES:
            self.flush()

    def flush(self) -> None:
        """Append the buffered lines to the file."""
        with self._path.open('ab') as file:
            file.writelines(self._lines)
        self._lines.clear()


class RecordedPolicy:
    """Proxy of a policy that records the calls to the methods in METHODS."""

    def __init__(
        self,
        topic: str,
        policy: Any,
        recorder: Recorder,
        settings: DaemonSettings,
    ) -> None:
        """Seed the random generator that the policy receives.

        A replay seeds its own generator in the same way, so that both draw
        the same numbers.
        """
        self._topic = topic
        self._policy = policy
        self._recorder = recorder
        self._rng = random.Random(settings.seed)

    def __getattr__(self, name: str) -> Any:
        """Return a method of the policy; wrap it if METHODS lists it."""
        method = getattr(self._policy, name)
        if name not in METHODS[self._topic]:
            return method

        def call_and_record(*arguments: Any) -> Any:
            hashed = tuple(hash_prefixes(a) for a in arguments)
            replayable = [
                self._rng if isinstance(a, random.Random) else a
                for a in hashed
            ]
            recorded = arguments_to_builtins(hashed)
            result = method(*replayable)
            self._recorder.write(self._topic, name, recorded, result)
            return result

        return call_and_record


def arguments_to_builtins(arguments: tuple[Any, ...]) -> list[Any]:
    """Convert the arguments of a call to types that JSON can hold.

    Random generators are left out. An endpoint view is reduced to the states
    of the pool that the call's RouteRequest names. `hash_prefixes` must have
    been applied before, so that no prompt is written to the trace.
    """
    pool = ''
    converted: list[Any] = []
    for argument in arguments:
        if isinstance(argument, random.Random):
            continue
        if isinstance(argument, RouteRequest):
            pool = argument.pool
        if isinstance(argument, EndpointView):
            converted.append(endpoint_states_to_builtins(argument, pool))
        else:
            converted.append(_argument_to_builtins(argument))
    return converted


def endpoint_states_to_builtins(
    view: EndpointView, pool: str
) -> list[list[Any]]:
    """Return one row of ENDPOINT_STATE_FIELDS per endpoint of a pool."""
    return [
        [to_builtins(getattr(state, name)) for name in ENDPOINT_STATE_FIELDS]
        for state in view.in_pool(pool)
    ]


def result_to_builtins(result: Any) -> Any:
    """Convert a result; a struct gets its type name, without candidates."""
    if result is None or isinstance(result, (int, float, str)):
        return result
    fields = to_builtins(result)
    fields.pop('candidates', None)
    return {'type': type(result).__name__, **fields}


def hash_prefixes(argument: Any) -> Any:
    """Replace prompt prefixes in an argument by their hashes.

    The recorded policy receives the hashes too, because a prefix must have
    the same position on the hash ring in the replay.
    """
    if isinstance(argument, RouteRequest) and argument.prefixes:
        prefixes = [_hash_prefix(p) for p in cache_prefixes(argument.prefixes)]
        return replace(argument, prefixes=prefixes)
    if isinstance(argument, list) and argument:
        if isinstance(argument[0], CacheEvent):
            return [
                replace(e, prefix=_hash_prefix(e.prefix)) for e in argument
            ]
    return argument


def _argument_to_builtins(argument: Any) -> Any:
    fields = to_builtins(argument)
    if isinstance(argument, RouteRequest):
        fields['excluded'] = sorted(argument.excluded)
    return fields


def _hash_prefix(prefix: str) -> str:
    return xxh64_hexdigest(prefix.encode())
