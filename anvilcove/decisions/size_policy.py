"""Common part and baselines of the policies for the size of a service."""

import math
import random

from msgspec import Struct

from anvilcove.decisions.registry import policy
from anvilcove.decisions.service_demand import JobLoad
from anvilcove.decisions.size_mix import EngineGroup
from anvilcove.state.size_bounds import SizeBounds

TOPIC = 'service_size'
# Added to the boot time before missing engines are ordered again.
RESEND_MARGIN_S = 2.0
# A data centre without available engines is left out for this time.
REFUSED_S = 10.0


class GroupState(Struct):
    """Engines of a group: ordered, running and with a version in use.

    Engines that are leaving do not count as running.
    """

    ordered: int
    running: int
    usable: int


class ServiceState(Struct):
    """Engines and jobs of a service as the decision sees them.

    `slots` are those of one engine. `states` has each allowed group.
    """

    bounds: SizeBounds
    slots: int
    states: dict[EngineGroup, GroupState]
    jobs: list[JobLoad]


class SizeChange(Struct):
    """Order of a number of engines of a group.

    `cost_per_s` is the change of the price per second, negative if the order
    saves money. The same number as before repeats an order.
    """

    group: EngineGroup
    before: int
    number: int
    reason: str
    gain: str
    cost_per_s: float = 0.0


class SizePolicy:
    """Common part of the policies: repeat orders whose engines are missing.

    Subclasses return the wanted numbers of the groups that change.
    """

    __slots__ = (
        '_refused_until_s',
        '_running',
        '_sent_at_s',
        '_started_at_s',
        'needed',
        'reason',
        'gain',
    )

    def __init__(self) -> None:
        """Start without a history."""
        self._refused_until_s: dict[str, float] = {}
        self._running: dict[EngineGroup, int] = {}
        self._sent_at_s: dict[EngineGroup, float] = {}
        self._started_at_s: float | None = None
        # Engines that the demand needs, None if unknown.
        self.needed: int | None = None
        self.reason = ''
        self.gain = ''

    def refused(self, now: float, data_centre: str) -> None:
        """Leave a data centre out for a while: it has no engines left."""
        self._refused_until_s[data_centre] = now + REFUSED_S

    def decide(
        self, now: float, state: ServiceState, rng: random.Random
    ) -> list[SizeChange]:
        """Return the orders to give now."""
        if self._started_at_s is None:
            self._started_at_s = now
        wanted = self._wanted(now, state)
        changes = []
        for group, counts in state.states.items():
            if counts.running >= counts.ordered and group not in wanted:
                # The time runs from when engines begin to be missing.
                if self._sent_at_s:
                    self._sent_at_s.pop(group, None)
                continue
            number = wanted.get(group, counts.ordered)
            if not self._is_refused(now, group):
                change = self._change(now, group, number, state)
                if change is not None:
                    changes.append(change)
                    self._sent_at_s[group] = now
        self._running = {g: s.running for g, s in state.states.items()}
        return changes

    def _change(
        self, now: float, group: EngineGroup, number: int, state: ServiceState
    ) -> SizeChange | None:
        """Return the order of a number, or its repetition if it is due."""
        counts, bounds = state.states[group], state.bounds
        if number != counts.ordered:
            price = bounds.price(group.data_centre, group.reclaimable)
            return SizeChange(
                group,
                counts.ordered,
                number,
                self.reason,
                self.gain,
                (number - counts.ordered) * price,
            )
        if not self._is_missing(now, group, counts, bounds):
            return None
        gain = f'{number - counts.running} engines replaced'
        return SizeChange(group, number, number, 'engines are missing', gain)

    def _is_refused(self, now: float, group: EngineGroup) -> bool:
        until_s = self._refused_until_s
        return bool(until_s) and now < until_s.get(group.data_centre, now)

    def _is_missing(
        self,
        now: float,
        group: EngineGroup,
        counts: GroupState,
        bounds: SizeBounds,
    ) -> bool:
        """Tell whether an order has to be repeated.

        It is at once when engines were lost, and then after the boot time.
        """
        if counts.running < self._running.get(group, 0):
            return True
        sent_at_s = self._sent_at_s.setdefault(group, now)
        return now - sent_at_s > bounds.boot_s + RESEND_MARGIN_S

    def _wanted(
        self, now: float, state: ServiceState
    ) -> dict[EngineGroup, int]:
        """Return the numbers of groups that change."""
        raise NotImplementedError


@policy(TOPIC, 'fixed')
class FixedSize(SizePolicy):
    """Keep the number at the start and replace lost engines."""

    __slots__ = ()

    def _wanted(
        self, now: float, state: ServiceState
    ) -> dict[EngineGroup, int]:
        return {}


@policy(TOPIC, 'utilization')
class UtilizationSize(SizePolicy):
    """Change the number by a fifth when utilization crosses a threshold."""

    __slots__ = ()

    HIGH = 0.8
    LOW = 0.3
    CHANGE_SHARE = 0.2

    def _wanted(
        self, now: float, state: ServiceState
    ) -> dict[EngineGroup, int]:
        running = sum(s.running for s in state.states.values())
        open_items = sum(j.total - j.listed for j in state.jobs if j.open)
        used = open_items / max(running * state.slots, 1)
        if self.LOW <= used <= self.HIGH:
            return {}
        sign = 1 if used > self.HIGH else -1
        self.reason = 'utilization'
        ordered_by_centre: dict[str, int] = {}
        for group, counts in state.states.items():
            ordered_by_centre.setdefault(group.data_centre, 0)
            ordered_by_centre[group.data_centre] += counts.ordered
        found = {}
        for group, counts in state.states.items():
            if group.reclaimable and not counts.ordered:
                continue
            change = sign * math.ceil(counts.ordered * self.CHANGE_SHARE)
            total = ordered_by_centre[group.data_centre] + change
            if state.bounds.minimum <= total <= state.bounds.maximum:
                ordered_by_centre[group.data_centre] = total
                found[group] = max(counts.ordered + change, 0)
        return found
