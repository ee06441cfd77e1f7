"""Which engines and tokens keep a sample inside its staleness bound."""

from anvilcove.commands.control.weights import WeightsPart
from anvilcove.daemon.context import Context
from anvilcove.decisions.groups import SampleView
from anvilcove.messages.callers import VersionRange
from anvilcove.state.content import content_hash
from anvilcove.state.steps import (
    Attempt,
    SampleRun,
    StepRun,
    oldest_version,
)

# An engine's version, as seen in its tokens, is trusted this long.
VERSION_MEMORY_S = 1.0


def content_of(run: StepRun, sample: SampleRun) -> str:
    """Return the hash of what a sample runs."""
    group = sample.group
    known = run.content_by_group.get(group.group)
    if known is None:
        known = run.content_by_group[group.group] = content_hash(
            run.row.class_name,
            {'prompt': group.prompt, 'max_tokens': group.max_tokens},
        )
    return known


def waiting_views(run: StepRun) -> list[SampleView]:
    """Return what the groups policy needs of the samples without a result."""
    return [
        SampleView(
            position=position,
            content=content_of(run, sample),
            max_tokens=sample.group.max_tokens,
        )
        for position, sample in enumerate(run.samples)
        if sample.result is None
    ]


class Viability:
    """Judge by the versions in tokens, never by orders to engines."""

    __slots__ = ('context', 'weights', '_version_by_endpoint')

    def __init__(self, context: Context) -> None:
        """Start without versions of engines."""
        self.context = context
        self.weights: WeightsPart = context.part(WeightsPart)
        self._version_by_endpoint: dict[str, tuple[int, float]] = {}

    def saw(self, endpoint: str, version: int) -> None:
        """Note the version of a token that an engine just sent."""
        now = self.context.clock.now()
        self._version_by_endpoint[endpoint] = (version, now)
        state = self.context.endpoints.by_id.get(endpoint)
        if state is not None:
            state.version = version

    def last_token(self, endpoint: str) -> tuple[int, float]:
        """Return the version of an engine's last token and its time."""
        return self._version_by_endpoint.get(endpoint, (0, float('-inf')))

    def has_engine(self, run: StepRun, sample: SampleRun, pool: str) -> bool:
        """Tell whether an engine of the pool may run a sample."""
        known = len(self.context.endpoints.ids_by_pool.get(pool, []))
        return known > len(self.excluded(run, sample, pool))

    def excluded(self, run: StepRun, sample: SampleRun, pool: str) -> set[str]:
        """Return the engines that must not run a sample now.

        These are engines known to run a version that is out of bound, and
        the engine that failed last if there is another one.
        """
        ids = self.context.endpoints.ids_by_pool.get(pool, [])
        old = self._old_engines(run)
        both = old | sample.excluded
        return old if len(ids) <= len(both) else both

    def _old_engines(self, run: StepRun) -> set[str]:
        """Return engines whose tokens a moment ago were out of bound."""
        now = self.context.clock.now()
        newest = self.weights.newest(run.row.model)
        for endpoint, (_, at_s) in list(self._version_by_endpoint.items()):
            if now - at_s > VERSION_MEMORY_S:
                del self._version_by_endpoint[endpoint]
        return {
            endpoint
            for endpoint, (version, _) in self._version_by_endpoint.items()
            if endpoint in self.context.endpoints.by_id
            and not self._viable(run, version, newest)
        }

    def _viable(
        self, run: StepRun, oldest: int | None, newest: int, left_s: float = 0
    ) -> bool:
        if oldest is None:
            return True
        return bool(
            self.context.policy('staleness').viable(
                self.context.clock.now(),
                oldest,
                newest,
                run.row.bound,
                run.row.model,
                left_s,
            )
        )

    def tokens_viable(
        self, run: StepRun, versions: list[VersionRange]
    ) -> bool:
        """Tell whether tokens are in bound now."""
        newest = self.weights.newest(run.row.model)
        return self._viable(run, oldest_version(versions), newest)

    def viable(
        self, run: StepRun, attempt: Attempt, sample: SampleRun
    ) -> bool:
        """Tell whether an attempt will be in bound when it ends."""
        return self._viable(
            run,
            oldest_version(attempt.versions),
            self.weights.newest(run.row.model),
            self._left_s(run, attempt, sample),
        )

    def _left_s(
        self, run: StepRun, attempt: Attempt, sample: SampleRun
    ) -> float:
        groups = self.context.policy('groups')
        rate = groups.rate(attempt.endpoint)
        if rate <= 0:
            return 0.0
        expected = groups.expected_tokens(
            content_of(run, sample), sample.group.max_tokens
        )
        return float(max(0.0, expected - len(attempt.tokens)) / rate)
