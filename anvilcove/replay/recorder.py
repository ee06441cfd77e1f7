"""Record the inputs and results of decisions as JSON lines.

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
# Topics that are recorded and replayed, with their recorded methods.
METHODS = {
    'admission': ('offer',),
    'limits': ('limit', 'finished'),
    'routing': ('choose', 'finished', 'observe_cache'),
    'ejection': ('finished',),
    'retry': ('started', 'next_attempt'),
    'hedging': ('finished', 'delay_s', 'spend'),
    'quarantine': ('crashed', 'finished', 'verdict', 'merge'),
}
STATE_FIELDS = (
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
# Lines that are kept in memory before they are written.
BUFFERED_LINES = 16


class Recorder:
    """Writer of one trace."""

    __slots__ = ('_path', '_lines')

    def __init__(self, settings: DaemonSettings) -> None:
        """Start the file with what a replay needs of the settings."""
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
        """Add one decision."""
        line = [topic, method, arguments, plain_result(result)]
        self._lines.append(encode(line) + b'\n')
        if len(self._lines) >= BUFFERED_LINES:
            self.flush()

    def flush(self) -> None:
        """Write the lines that are kept in memory."""
        with self._path.open('ab') as file:
            file.writelines(self._lines)
        self._lines.clear()


class RecordedPolicy:
    """Pass calls to a policy and record those that a replay repeats."""

    def __init__(
        self,
        topic: str,
        policy: Any,
        recorder: Recorder,
        settings: DaemonSettings,
    ) -> None:
        """Give the policy a random generator that a replay can repeat."""
        self._topic = topic
        self._policy = policy
        self._recorder = recorder
        self._rng = random.Random(settings.seed)

    def __getattr__(self, name: str) -> Any:
        """Return a method of the policy, recorded if it is listed."""
        method = getattr(self._policy, name)
        if name not in METHODS[self._topic]:
            return method

        def call(*arguments: Any) -> Any:
            hashed = tuple(without_prompts(a) for a in arguments)
            own = [
                self._rng if isinstance(a, random.Random) else a
                for a in hashed
            ]
            recorded = plain_arguments(hashed)
            result = method(*own)
            self._recorder.write(self._topic, name, recorded, result)
            return result

        return call


def plain_arguments(arguments: tuple[Any, ...]) -> list[Any]:
    """Return arguments without random generators, bodies and prompts."""
    pool = ''
    plain: list[Any] = []
    for argument in arguments:
        if isinstance(argument, random.Random):
            continue
        if isinstance(argument, RouteRequest):
            pool = argument.pool
        if isinstance(argument, EndpointView):
            plain.append(plain_states(argument, pool))
        else:
            plain.append(_plain(argument))
    return plain


def plain_states(view: EndpointView, pool: str) -> list[list[Any]]:
    """Return what the view knows of the endpoints of a pool."""
    return [
        [to_builtins(getattr(state, name)) for name in STATE_FIELDS]
        for state in view.in_pool(pool)
    ]


def plain_result(result: Any) -> Any:
    """Return a result with its type; candidates are left out."""
    if result is None or isinstance(result, (int, float, str)):
        return result
    fields = to_builtins(result)
    fields.pop('candidates', None)
    return {'type': type(result).__name__, **fields}


def without_prompts(argument: Any) -> Any:
    """Return an argument with hashes in place of prompt prefixes.

    The recorded policy works with the hashes as well, because a prefix's
    place on the hash ring must be the same in the replay.
    """
    if isinstance(argument, RouteRequest) and argument.prefixes:
        prefixes = [_hashed(p) for p in cache_prefixes(argument.prefixes)]
        return replace(argument, prefixes=prefixes)
    if isinstance(argument, list) and argument:
        if isinstance(argument[0], CacheEvent):
            return [replace(e, prefix=_hashed(e.prefix)) for e in argument]
    return argument


def _plain(argument: Any) -> Any:
    plain = to_builtins(argument)
    if isinstance(argument, RouteRequest):
        plain['excluded'] = sorted(argument.excluded)
    return plain


def _hashed(prefix: str) -> str:
    return xxh64_hexdigest(prefix.encode())
