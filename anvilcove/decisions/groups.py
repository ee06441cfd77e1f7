"""Order of rollout samples, shares of trainers and stragglers."""

from collections import OrderedDict

from msgspec import Struct

from anvilcove.decisions.registry import policy
from anvilcove.settings.daemon import HostSettings

# Engines serve higher numbers first. Callers' requests use 0 and above, so
# every priority of a sample stays below 0.
NORMAL_PRIORITY = -10
TAIL_PRIORITY = -6
WAITING_BONUS = 2
TAIL_SHARE = 0.25

REMEMBERED_PROMPTS = 10_000
LEARNING_SHARE = 0.3
# A second attempt must be expected to end this much sooner: it costs room
# that other samples could use, and rates are estimates.
MIN_GAIN = 1.5
MIN_SAVED_S = 0.2
# Time of a move besides the tokens: export, import and the first token.
MOVE_COST_S = 0.1


class SampleView(Struct):
    """What is known of a sample that waits for an engine."""

    position: int
    content: str
    max_tokens: int


class StepNeed(Struct):
    """A step with waiting samples; `waiting_since_s` of its trainer."""

    trainer: str
    step: int
    opened_at_s: float
    waiting_since_s: float | None
    missing: int


class StragglerView(Struct):
    """A running sample; `viable` tells whether its tokens stay in bound.

    `rates` are the tokens per second of the engines with room.
    """

    content: str
    tokens: int
    max_tokens: int
    running_s: float
    silent_s: float
    rate: float
    viable: bool
    rates: dict[str, float]


class Move(Struct, frozen=True):
    """Continue at another engine from the tokens so far."""

    endpoint: str


class Rerun(Struct, frozen=True):
    """Run again from the prompt at another engine."""

    endpoint: str


class Wait(Struct, frozen=True):
    """Let the attempt run."""


@policy('groups', 'longest_first')
class LongestFirst:
    """Start likely long samples first and move stragglers."""

    __slots__ = ('_length_by_content', '_mean_share', '_rate_by_endpoint')

    def __init__(self, settings: HostSettings) -> None:
        """Start without earlier lengths."""
        self._length_by_content: OrderedDict[str, float] = OrderedDict()
        self._mean_share = 1.0
        self._rate_by_endpoint: dict[str, float] = {}

    def order(self, now: float, samples: list[SampleView]) -> list[int]:
        """Return the positions of the samples, the first to start first."""
        ordered = sorted(
            samples,
            key=lambda s: -self.expected_tokens(s.content, s.max_tokens),
        )
        return [sample.position for sample in ordered]

    def next(self, now: float, needs: list[StepNeed]) -> StepNeed:
        """Return the step whose sample starts next.

        The trainer that has waited longest comes first, so that each trainer
        is served some time; without waiting ones the oldest step does.
        """
        return min(needs, key=_idle_order)

    def engine_priority(
        self, need: StepNeed, left_in_group: int, group_size: int
    ) -> int:
        """Return the priority of a sample at the engine."""
        tail = left_in_group <= max(1.0, group_size * TAIL_SHARE)
        priority = TAIL_PRIORITY if tail else NORMAL_PRIORITY
        if need.waiting_since_s is not None:
            priority += WAITING_BONUS
        return priority

    def finished(self, content: str, tokens: int, max_tokens: int) -> None:
        """Learn the length of a finished sample."""
        before = self._length_by_content.pop(content, float(tokens))
        self._length_by_content[content] = _learn(before, tokens)
        if len(self._length_by_content) > REMEMBERED_PROMPTS:
            self._length_by_content.popitem(last=False)
        self._mean_share = _learn(self._mean_share, tokens / max_tokens)

    def observe_rate(self, endpoint: str, tokens: int, seconds: float) -> None:
        """Learn the tokens per second of one attempt at an engine."""
        if tokens > 0 and seconds > 0:
            rate = tokens / seconds
            known = self._rate_by_endpoint.get(endpoint, rate)
            self._rate_by_endpoint[endpoint] = _learn(known, rate)

    def rate(self, endpoint: str) -> float:
        """Return the learned tokens per second, 0 if not known."""
        return self._rate_by_endpoint.get(endpoint, 0.0)

    def expected_tokens(self, content: str, max_tokens: int) -> float:
        """Return the expected length of a sample of a prompt."""
        known = self._length_by_content.get(content)
        expected = self._mean_share * max_tokens if known is None else known
        return min(expected, float(max_tokens))

    def straggler(
        self, now: float, view: StragglerView
    ) -> Move | Rerun | Wait:
        """Choose what is expected to end the sample soonest."""
        endpoint = max(view.rates, key=view.rates.__getitem__, default='')
        best = view.rates.get(endpoint, 0.0)
        if best <= 0:
            return Wait()
        left = self._expected_left(view)
        wait_s = _wait_s(view, left)
        move_s = MOVE_COST_S + left / best
        rerun_s = MOVE_COST_S + (view.tokens + left) / best
        ends_s = move_s if view.viable else rerun_s
        if wait_s < ends_s * MIN_GAIN or wait_s - ends_s < MIN_SAVED_S:
            return Wait()
        return Move(endpoint) if view.viable else Rerun(endpoint)

    def _expected_left(self, view: StragglerView) -> float:
        expected = self.expected_tokens(view.content, view.max_tokens)
        if view.tokens < expected:
            return expected - view.tokens
        # Past the expected length: lengths are skewed, half of what is
        # allowed is a safe guess.
        return max(1.0, (view.max_tokens - view.tokens) / 2)


def _wait_s(view: StragglerView, left: float) -> float:
    own = view.rate
    if own <= 0:
        # No token yet: expect as long again as it has already taken.
        return view.running_s * 2
    return max(left / own, view.silent_s * 2)


def _idle_order(need: StepNeed) -> tuple[bool, float, int]:
    waiting = need.waiting_since_s
    since = need.opened_at_s if waiting is None else waiting
    return (waiting is None, since, need.step)


def _learn(before: float, value: float) -> float:
    return before + LEARNING_SHARE * (value - before)
