"""Placement of models, adapters and roles on engines by demand."""

from math import ceil

from anvilcove.decisions.registry import policy
from anvilcove.decisions.types import (
    PlacedEndpoint,
    PlacementDemand,
    PlacementOrder,
    PlacementState,
)
from anvilcove.settings.host import HostSettings

# Utilization at which queueing delay stays short relative to service time.
TARGET_UTILIZATION = 0.75
# Time that a shortage must last before an engine is reassigned.
MIN_SHORTAGE_S = 10.0
# Time for which a reassigned engine is not reassigned again.
COOL_DOWN_S = 120.0
# Engines that one plan reassigns at most.
MAX_MOVES_PER_PLAN = 1

ModelRole = tuple[str, str]


@policy('placement', 'demand')
class DemandPlacement:
    """Reassign engines from a surplus to a lasting shortage, few at once."""

    __slots__ = ('_short_since_s', '_moved_at_s')

    def __init__(self, settings: HostSettings) -> None:
        """Start without recorded shortages and moves."""
        self._short_since_s: dict[ModelRole, float] = {}
        self._moved_at_s: dict[str, float] = {}

    def plan(self, now: float, state: PlacementState) -> list[PlacementOrder]:
        """Return the orders to give now, each with its reason."""
        needed = _needed_engines(state)
        placed_by_key: dict[ModelRole, list[PlacedEndpoint]] = {}
        for placed in state.endpoints:
            placed_by_key.setdefault((placed.model, placed.role), []).append(
                placed
            )
        orders: list[PlacementOrder] = []
        for demand in sorted(
            state.demands, key=lambda d: (d.model, d.role, d.adapter)
        ):
            key = (demand.model, demand.role)
            if len(orders) < MAX_MOVES_PER_PLAN and self._has_lasting_shortage(
                now, key, needed[key], len(placed_by_key.get(key, []))
            ):
                orders.extend(self._move(now, demand, needed, placed_by_key))
        return orders + _adapter_orders(state)

    def _has_lasting_shortage(
        self, now: float, key: ModelRole, needed: int, count: int
    ) -> bool:
        if count >= needed:
            self._short_since_s.pop(key, None)
            return False
        since_s = self._short_since_s.setdefault(key, now)
        return count == 0 or now - since_s >= MIN_SHORTAGE_S

    def _move(
        self,
        now: float,
        demand: PlacementDemand,
        needed: dict[ModelRole, int],
        placed_by_key: dict[ModelRole, list[PlacedEndpoint]],
    ) -> list[PlacementOrder]:
        key = (demand.model, demand.role)
        donor = self._choose_donor(now, key, needed, placed_by_key)
        if donor is None:
            return []
        self._moved_at_s[donor.endpoint] = now
        self._short_since_s.pop(key, None)
        reason = (
            f'{demand.model} {demand.role} needs {needed[key]} servers '
            f'and has {len(placed_by_key.get(key, []))}'
        )
        orders = []
        if donor.model != demand.model:
            orders.append(
                PlacementOrder(
                    endpoint=donor.endpoint,
                    kind='load_model',
                    model=demand.model,
                    version=demand.version,
                    reason=reason,
                )
            )
        if donor.role != demand.role:
            orders.append(
                PlacementOrder(
                    endpoint=donor.endpoint,
                    kind='set_role',
                    role=demand.role,
                    reason=reason,
                )
            )
        return orders

    def _choose_donor(
        self,
        now: float,
        wanted: ModelRole,
        needed: dict[ModelRole, int],
        placed_by_key: dict[ModelRole, list[PlacedEndpoint]],
    ) -> PlacedEndpoint | None:
        candidates = [
            placed
            for key, engines in placed_by_key.items()
            if key != wanted and len(engines) > needed.get(key, 0)
            for placed in engines
            if now - self._moved_at_s.get(placed.endpoint, float('-inf'))
            >= COOL_DOWN_S
        ]
        # Changing the role is cheaper than loading the weights of a model.
        return min(
            candidates,
            key=lambda p: (p.model != wanted[0], p.in_flight, p.endpoint),
            default=None,
        )


def _needed_engines(state: PlacementState) -> dict[ModelRole, int]:
    needed_slots: dict[ModelRole, float] = {}
    for demand in state.demands:
        key = (demand.model, demand.role)
        mean_slots = demand.requests_per_s * demand.service_time_s
        misses_target = demand.on_time_share < demand.target_share
        # A missed target needs one engine more than the mean load does.
        extra_slots = state.slots if misses_target else 0.0
        needed_slots[key] = (
            needed_slots.get(key, 0.0)
            + mean_slots / TARGET_UTILIZATION
            + extra_slots
        )
    return {
        key: max(ceil(v / state.slots), 1) for key, v in needed_slots.items()
    }


def _adapter_orders(state: PlacementState) -> list[PlacementOrder]:
    orders = []
    for demand in state.demands:
        if not demand.adapter or demand.requests_per_s <= 0:
            continue
        engines = [
            placed
            for placed in state.endpoints
            if placed.model == demand.model and placed.role == demand.role
        ]
        if not engines or any(demand.adapter in p.adapters for p in engines):
            continue
        target = min(engines, key=lambda p: (len(p.adapters), p.endpoint))
        orders.append(
            PlacementOrder(
                endpoint=target.endpoint,
                kind='load_adapter',
                model=demand.model,
                adapter=demand.adapter,
                reason=f'no server of {demand.model} holds {demand.adapter}',
            )
        )
    return orders
