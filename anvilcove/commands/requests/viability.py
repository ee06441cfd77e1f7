"""Check samples and engines against the staleness bound of a step."""

from anvilcove.commands.control.weights import WeightsComponent
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

# The weight version in an engine's last token is taken as its current one for
# this long.
VERSION_TTL_S = 1.0


def sample_content_hash(run: StepRun, sample: SampleRun) -> str:
    """Return the hash of the class, prompt and token limit of a sample."""
    group = sample.group
    cached = run.content_hash_by_group.get(group.group)
    if cached is None:
        cached = run.content_hash_by_group[group.group] = content_hash(
            run.row.class_name,
            {'prompt': group.prompt, 'max_tokens': group.max_tokens},
        )
    return cached


def pending_sample_views(run: StepRun) -> list[SampleView]:
    """Return the samples without a result as the groups policy sees them."""
    return [
        SampleView(
            position=position,
            content=sample_content_hash(run, sample),
            max_tokens=sample.group.max_tokens,
        )
        for position, sample in enumerate(run.samples)
        if sample.result is None
    ]


class StalenessCheck:
    """Check staleness bounds.

    Versions come from generated tokens, not from the orders given to engines.
    """

    __slots__ = ('context', 'weights', '_version_by_endpoint')

    def __init__(self, context: Context) -> None:
        """Start without known engine versions."""
        self.context = context
        self.weights: WeightsComponent = context.component(WeightsComponent)
        self._version_by_endpoint: dict[str, tuple[int, float]] = {}

    def record_version(self, endpoint: str, version: int) -> None:
        """Record the weight version of a token from an engine."""
        now = self.context.clock.now()
        self._version_by_endpoint[endpoint] = (version, now)
        state = self.context.endpoints.by_id.get(endpoint)
        if state is not None:
            state.version = version

    def last_token(self, endpoint: str) -> tuple[int, float]:
        """Return the version and the time of an engine's last token."""
        return self._version_by_endpoint.get(endpoint, (0, float('-inf')))

    def has_engine(self, run: StepRun, sample: SampleRun, pool: str) -> bool:
        """Return whether any engine of the pool may run a sample."""
        total = len(self.context.endpoints.ids_by_pool.get(pool, []))
        return total > len(self.excluded_engines(run, sample, pool))

    def excluded_engines(
        self, run: StepRun, sample: SampleRun, pool: str
    ) -> set[str]:
        """Return the engines that must not run a sample now.

        These are the engines that are known to run a version outside the
        staleness bound and, as long as others remain, the engines on which
        the last attempts at the sample failed.
        """
        ids = self.context.endpoints.ids_by_pool.get(pool, [])
        stale = self._stale_engines(run)
        stale_or_failed = stale | sample.failed_endpoints
        return stale if len(ids) <= len(stale_or_failed) else stale_or_failed

    def _stale_engines(self, run: StepRun) -> set[str]:
        """Return engines whose last recent token is outside the bound."""
        now = self.context.clock.now()
        newest = self.weights.newest(run.row.model)
        for endpoint, (_, at_s) in list(self._version_by_endpoint.items()):
            if now - at_s > VERSION_TTL_S:
                del self._version_by_endpoint[endpoint]
        return {
            endpoint
            for endpoint, (version, _) in self._version_by_endpoint.items()
            if endpoint in self.context.endpoints.by_id
            and not self._viable(run, version, newest)
        }

    def _viable(
        self,
        run: StepRun,
        oldest: int | None,
        newest: int,
        remaining_s: float = 0,
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
                remaining_s,
            )
        )

    def tokens_viable(
        self, run: StepRun, versions: list[VersionRange]
    ) -> bool:
        """Return whether tokens are within the staleness bound now."""
        newest = self.weights.newest(run.row.model)
        return self._viable(run, oldest_version(versions), newest)

    def viable(
        self, run: StepRun, attempt: Attempt, sample: SampleRun
    ) -> bool:
        """Return whether an attempt will end within the staleness bound."""
        return self._viable(
            run,
            oldest_version(attempt.versions),
            self.weights.newest(run.row.model),
            self._remaining_s(run, attempt, sample),
        )

    def _remaining_s(
        self, run: StepRun, attempt: Attempt, sample: SampleRun
    ) -> float:
        groups = self.context.policy('groups')
        rate = groups.rate(attempt.endpoint)
        if rate <= 0:
            return 0.0
        expected = groups.expected_tokens(
            sample_content_hash(run, sample), sample.group.max_tokens
        )
        return float(max(0.0, expected - len(attempt.tokens)) / rate)
