"""Scheduling of rollout samples, and moving or rerunning of stragglers."""

from collections import OrderedDict

from msgspec import Struct

from anvilcove.decisions.registry import policy
from anvilcove.settings.host import HostSettings

# Engines serve higher priorities first. Requests of callers use 0 and above,
# so the priority of every sample is below 0. The last quarter of a group gets
# the tail priority, and samples of a waiting trainer get the bonus.
NORMAL_PRIORITY = -10
TAIL_PRIORITY = -6
WAITING_BONUS = 2
TAIL_SHARE = 0.25

MAX_PROMPTS = 10_000
SMOOTHING = 0.3
# A second attempt must be expected to end sooner by this factor and by this
# time: it takes capacity from other samples, and rates are estimates.
MIN_SPEEDUP = 1.5
MIN_SAVED_S = 0.2
# Fixed time of a second attempt: export and import of the KV cache, and the
# first token.
MOVE_COST_S = 0.1


class SampleView(Struct):
    """A sample that waits for an engine."""

    position: int
    content: str
    max_tokens: int


class WaitingStep(Struct):
    """A step with samples that wait for an engine.

    `waiting_since_s` is when its trainer began to wait, None if it does not.
    """

    trainer: str
    step: int
    opened_at_s: float
    waiting_since_s: float | None
    missing: int


class StragglerView(Struct):
    """A running sample that may be slow.

    `viable` tells whether its tokens so far stay within the staleness bound.
    `silent_s` is the time since its last token. `rate` is the tokens per
    second of its engine, `rates` those of the engines with free capacity.
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
    """Continue at another engine from the tokens generated so far."""

    endpoint: str


class Rerun(Struct, frozen=True):
    """Restart from the prompt at another engine."""

    endpoint: str


class Wait(Struct, frozen=True):
    """Leave the attempt running where it is."""


@policy('groups', 'longest_first')
class LongestFirst:
    """Start the longest expected samples first and move stragglers."""

    __slots__ = (
        '_length_by_content',
        '_mean_length_ratio',
        '_rate_by_endpoint',
    )

    def __init__(self, settings: HostSettings) -> None:
        """Start without learned lengths and rates."""
        self._length_by_content: OrderedDict[str, float] = OrderedDict()
        self._mean_length_ratio = 1.0
        self._rate_by_endpoint: dict[str, float] = {}

    def starting_order(
        self, now: float, samples: list[SampleView]
    ) -> list[int]:
        """Return the positions of the samples in starting order."""
        ordered = sorted(
            samples,
            key=lambda s: -self.expected_tokens(s.content, s.max_tokens),
        )
        return [sample.position for sample in ordered]

    def next_step(self, now: float, needs: list[WaitingStep]) -> WaitingStep:
        """Return the step whose sample starts next.

        The trainer that has waited longest comes first, so that no trainer
        starves. If none waits, the step that was opened first is next.
        """
        return min(needs, key=_step_sort_key)

    def engine_priority(
        self, need: WaitingStep, left_in_group: int, group_size: int
    ) -> int:
        """Return the priority of a sample in the queue of an engine."""
        tail = left_in_group <= max(1.0, group_size * TAIL_SHARE)
        priority = TAIL_PRIORITY if tail else NORMAL_PRIORITY
        if need.waiting_since_s is not None:
            priority += WAITING_BONUS
        return priority

    def finished(self, content: str, tokens: int, max_tokens: int) -> None:
        """Update the expected length of a prompt with a finished sample."""
        previous = self._length_by_content.pop(content, float(tokens))
        self._length_by_content[content] = _smooth(previous, tokens)
        if len(self._length_by_content) > MAX_PROMPTS:
            self._length_by_content.popitem(last=False)
        self._mean_length_ratio = _smooth(
            self._mean_length_ratio, tokens / max_tokens
        )

    def observe_rate(self, endpoint: str, tokens: int, seconds: float) -> None:
        """Update the token rate of an engine with one attempt."""
        if tokens > 0 and seconds > 0:
            rate = tokens / seconds
            known = self._rate_by_endpoint.get(endpoint, rate)
            self._rate_by_endpoint[endpoint] = _smooth(known, rate)

    def rate(self, endpoint: str) -> float:
        """Return the tokens per second of an engine, 0 if not measured."""
        return self._rate_by_endpoint.get(endpoint, 0.0)

    def expected_tokens(self, content: str, max_tokens: int) -> float:
        """Return the expected length of a sample in tokens."""
        known = self._length_by_content.get(content)
        expected = (
            self._mean_length_ratio * max_tokens if known is None else known
        )
        return min(expected, float(max_tokens))

    def handle_straggler(
        self, now: float, view: StragglerView
    ) -> Move | Rerun | Wait:
        """Move or rerun a sample if that ends it much sooner than waiting."""
        endpoint = max(view.rates, key=view.rates.__getitem__, default='')
        best_rate = view.rates.get(endpoint, 0.0)
        if best_rate <= 0:
            return Wait()
        remaining_tokens = self._expected_remaining_tokens(view)
        wait_s = _expected_remaining_s(view, remaining_tokens)
        move_s = MOVE_COST_S + remaining_tokens / best_rate
        rerun_s = MOVE_COST_S + (view.tokens + remaining_tokens) / best_rate
        second_attempt_s = move_s if view.viable else rerun_s
        if (
            wait_s < second_attempt_s * MIN_SPEEDUP
            or wait_s - second_attempt_s < MIN_SAVED_S
        ):
            return Wait()
        return Move(endpoint) if view.viable else Rerun(endpoint)

    def _expected_remaining_tokens(self, view: StragglerView) -> float:
        expected = self.expected_tokens(view.content, view.max_tokens)
        if view.tokens < expected:
            return expected - view.tokens
        # Past the expected length: lengths are skewed, so half of the tokens
        # that are still allowed is a safe estimate.
        return max(1.0, (view.max_tokens - view.tokens) / 2)


def _expected_remaining_s(
    view: StragglerView, remaining_tokens: float
) -> float:
    rate = view.rate
    if rate <= 0:
        # No token yet: estimate twice the time that it has already taken.
        return view.running_s * 2
    return max(remaining_tokens / rate, view.silent_s * 2)


def _step_sort_key(need: WaitingStep) -> tuple[bool, float, int]:
    waiting = need.waiting_since_s
    since = need.opened_at_s if waiting is None else waiting
    return (waiting is None, since, need.step)


def _smooth(previous: float, value: float) -> float:
    return previous + SMOOTHING * (value - previous)
