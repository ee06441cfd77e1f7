"""Number of engines of a service by data centre and kind."""

import math

from msgspec.structs import replace

from anvilcove.decisions.registry import policy
from anvilcove.decisions.service_demand import DEMAND_MEMORY_S, ServiceDemand
from anvilcove.decisions.size_decrease import reduced_mix
from anvilcove.decisions.size_mix import (
    EngineGroup,
    MixLimits,
    cheapest_mix,
    count_by_centre,
    price_of,
    safe_count,
)
from anvilcove.decisions.size_policy import TOPIC, ServiceState, SizePolicy
from anvilcove.state.size_bounds import SizeBounds

# No decrease in this time after the policy starts: a new holder of the duty
# does not know the demand before, and a few steps do not show how the demand
# varies. An engine that is missing costs a step, one too many costs little.
FIRST_DECREASE_S = 120.0
# Time between an increase and the next decrease, required by the platform.
DECREASE_AFTER_INCREASE_S = 20.0
# Time between two decreases, so that the demand shows the effect of one.
DECREASE_PERIOD_S = 10.0
# Largest decrease, and largest exchange for cheaper engines, at a time.
STEP_SHARE = 0.1
# Engines that a decrease leaves beyond the need, as a share of it. Without
# them, small changes of the learned slot time alternate with decreases.
DECREASE_MARGIN = 0.1
# Engines kept beyond what the demand needs.
SPARE_ENGINES = 1
# Time between comparisons with the cheapest mix, which take 0.3 ms.
EXCHANGE_PERIOD_S = 10.0
# Smallest saving for which engines are exchanged for cheaper ones, as a share
# of the price of the engines that are exchanged.
MIN_SAVING_SHARE = 0.05


@policy(TOPIC, 'demand')
class DemandSize(SizePolicy):
    """Order what the known jobs need, and decrease slowly.

    The start size is kept until the demand is known. The target has to hold
    when the largest reclaimable group goes, with one engine to spare.
    """

    __slots__ = (
        'demand',
        '_increased_at_s',
        '_decreased_at_s',
        '_compared_at_s',
        '_prices',
        '_summed',
        '_safe',
        '_least',
    )

    def __init__(self) -> None:
        """Start without a history."""
        super().__init__()
        self.demand = ServiceDemand()
        self._increased_at_s = -math.inf
        self._decreased_at_s = -math.inf
        self._compared_at_s = -math.inf
        # Sums of the groups, computed again when a number changes.
        self._summed: dict[EngineGroup, int] = {}
        self._safe = self._least = 0
        # Price of each group, and the bounds that it follows from.
        self._prices: tuple[SizeBounds | None, dict[EngineGroup, float]] = (
            None,
            {},
        )

    def _wanted(
        self, now: float, state: ServiceState
    ) -> dict[EngineGroup, int]:
        limits = self._limits(now, state)
        counts = limits.floor_by_group
        needed = self._needed_engines(now, state)
        if counts != self._summed:
            self._summed = counts
            self._safe = safe_count(counts)
            self._least = min(count_by_centre(counts).values(), default=0)
        if self._safe < needed or self._least < limits.min_per_data_centre:
            mix = cheapest_mix(needed, limits)
            increase = {g: n for g, n in mix.items() if n > counts[g]}
            if increase:
                self.reason = (
                    f'{needed} engines needed' if needed else 'minimum'
                )
                self.gain = f'{sum(mix.values()) - sum(counts.values())} more'
                self._increased_at_s = now
                return increase
        if self.needed is None or not self._may_decrease(now, state):
            return {}
        return self._decrease(now, needed, limits) or self._exchange(
            now, needed, limits
        )

    def _limits(self, now: float, state: ServiceState) -> MixLimits:
        """Return the limits, with the present mix as floors.

        Of a data centre that has no engines left, only those that run count.
        """
        bounds = state.bounds
        floors = {group: n.ordered for group, n in state.states.items()}
        caps = {}
        for group, counts in (
            state.states.items() if self._refused_until_s else ()
        ):
            if self._is_refused(now, group):
                caps[group] = min(counts.ordered, counts.running)
        floors |= caps
        known_bounds, prices = self._prices
        if known_bounds is not bounds or prices.keys() != floors.keys():
            prices = {
                g: bounds.price(g.data_centre, g.reclaimable) for g in floors
            }
            self._prices = (bounds, prices)
        return MixLimits(bounds.minimum, bounds.maximum, prices, floors, caps)

    def _needed_engines(self, now: float, state: ServiceState) -> int:
        """Return the engines that have to remain in any case."""
        bounds, slots = state.bounds, max(state.slots, 1)
        most = bounds.maximum * len({g.data_centre for g in state.states})
        usable = ordered = 0
        for counts in state.states.values():
            usable += counts.usable
            ordered += counts.ordered
        self.demand.observe(now, state.jobs, usable * slots, most * slots)
        needed_slots = self.demand.needed_slots(now)
        if needed_slots is None:
            self.needed = None
            return 0
        needed = math.ceil(needed_slots / slots) + SPARE_ENGINES
        missing = self.demand.missing_slots(
            state.jobs,
            usable * slots,
            max(ordered - usable, 0) * slots,
            bounds.boot_s,
        )
        extra = math.ceil(missing / slots)
        if extra and ordered + extra <= most:
            # Work that even the largest size cannot complete orders nothing.
            needed = max(needed, ordered + extra)
        self.needed = min(needed, most)
        return self.needed

    def _may_decrease(self, now: float, state: ServiceState) -> bool:
        assert self._started_at_s is not None
        if (
            now - self.demand.unservable_at_s <= DEMAND_MEMORY_S
            or now - self._started_at_s < FIRST_DECREASE_S
            or now - self._increased_at_s < DECREASE_AFTER_INCREASE_S
            or now - self._decreased_at_s < DECREASE_PERIOD_S
        ):
            return False
        if any(job.open and job.age_s > job.objective_s for job in state.jobs):
            # Steps are late: fewer engines would make that worse.
            return False
        states = state.states.values()
        usable = sum([counts.usable for counts in states])
        return usable >= (self.needed or 0) and all(
            [counts.running >= counts.ordered for counts in states]
        )

    def _decrease(
        self, now: float, needed: int, limits: MixLimits
    ) -> dict[EngineGroup, int]:
        """Return at most one step fewer engines, the dearest ones first."""
        kept = needed + math.ceil(needed * DECREASE_MARGIN)
        before = limits.floor_by_group
        counts = reduced_mix(kept, _step(before), limits)
        changed = {g: n for g, n in counts.items() if n != before[g]}
        if changed:
            self._decreased_at_s = now
            self.reason = f'{needed} engines needed'
            self.gain = f'{safe_count(counts)} still hold if a group goes'
        return changed

    def _exchange(
        self, now: float, needed: int, limits: MixLimits
    ) -> dict[EngineGroup, int]:
        """Return one step more of cheaper engines if the mix is too dear.

        The dearer ones go with the next decrease.
        """
        if (
            now - self._decreased_at_s < DECREASE_AFTER_INCREASE_S
            or now - self._compared_at_s < EXCHANGE_PERIOD_S
        ):
            return {}
        self._compared_at_s = now
        counts, prices = limits.floor_by_group, limits.price_by_group
        kept = needed + math.ceil(needed * DECREASE_MARGIN)
        best = cheapest_mix(kept, replace(limits, floor_by_group={}))
        target = dict(counts)
        left, in_use = _step(counts), count_by_centre(counts)
        for group in sorted(counts, key=lambda g: (prices[g], g)):
            room = limits.max_per_data_centre - in_use[group.data_centre]
            more = min(best.get(group, 0) - counts[group], room, left)
            if more > 0:
                in_use[group.data_centre] += more
                target[group] += more
                left -= more
        # The engines that the next decrease removes have to cost more than
        # those that are added. Otherwise it would remove the same ones again.
        price = price_of(counts, prices)
        after = reduced_mix(
            kept, _step(target), replace(limits, floor_by_group=target)
        )
        saving = price - price_of(after, prices)
        if saving <= price * MIN_SAVING_SHARE * STEP_SHARE:
            return {}
        self._increased_at_s = now
        self.reason = 'cheaper mix'
        self.gain = f'saves {saving:.3g} per s after the next decrease'
        return {g: n for g, n in target.items() if n != counts[g]}


def _step(counts: dict[EngineGroup, int]) -> int:
    return max(int(sum(counts.values()) * STEP_SHARE), 1)
