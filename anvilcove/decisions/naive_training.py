"""Simplest variants of the training policies, the baseline."""

from anvilcove.decisions.groups import (
    NORMAL_PRIORITY,
    Move,
    Rerun,
    SampleView,
    StragglerView,
    Wait,
    WaitingStep,
)
from anvilcove.decisions.registry import policy
from anvilcove.decisions.rollout import RolloutState, WeightLoadOrder
from anvilcove.settings.host import HostSettings


@policy('groups', 'naive')
@policy('groups', 'in_order')
class InOrder:
    """Start samples in the step's order and wait for stragglers."""

    __slots__ = ()

    def __init__(self, settings: HostSettings) -> None:
        """Take no settings."""

    def starting_order(
        self, now: float, samples: list[SampleView]
    ) -> list[int]:
        """Return the positions in the given order."""
        return [sample.position for sample in samples]

    def next_step(self, now: float, needs: list[WaitingStep]) -> WaitingStep:
        """Return the step that was opened first."""
        return min(needs, key=lambda need: need.opened_at_s)

    def engine_priority(
        self, need: WaitingStep, left_in_group: int, group_size: int
    ) -> int:
        """Return the same priority for every sample."""
        return NORMAL_PRIORITY

    def finished(self, content: str, tokens: int, max_tokens: int) -> None:
        """Ignore the length."""

    def observe_rate(self, endpoint: str, tokens: int, seconds: float) -> None:
        """Ignore the rate."""

    def rate(self, endpoint: str) -> float:
        """Return 0, as no rates are measured."""
        return 0.0

    def expected_tokens(self, content: str, max_tokens: int) -> float:
        """Return the maximum length."""
        return float(max_tokens)

    def handle_straggler(
        self, now: float, view: StragglerView
    ) -> Move | Rerun | Wait:
        """Leave every sample where it runs."""
        return Wait()


@policy('staleness', 'naive')
@policy('staleness', 'ignore')
class IgnoreStaleness:
    """Run every sample to its end; the bound is checked later.

    Samples that are too stale are still found when the batch is made final.
    """

    __slots__ = ()

    def __init__(self, settings: HostSettings) -> None:
        """Take no settings."""

    def published(self, now: float, model: str, version: int) -> None:
        """Ignore the version."""

    def viable(
        self,
        now: float,
        oldest: int,
        newest: int,
        bound: int,
        model: str = '',
        remaining_s: float = 0.0,
    ) -> bool:
        """Regard every sample as viable."""
        return True


@policy('rollout', 'naive')
@policy('rollout', 'all_at_once')
class AllAtOnce:
    """Order every engine to load the newest version at once."""

    __slots__ = ()

    def __init__(self, settings: HostSettings) -> None:
        """Take no settings."""

    def plan(self, now: float, state: RolloutState) -> list[WeightLoadOrder]:
        """Return an order for each engine that has another version."""
        return [
            WeightLoadOrder(server.endpoint, state.target, 'all at once')
            for server in state.servers
            if server.version != state.target and not server.swapping
        ]
