"""Placement of models, adapters and roles by demand against targets."""

from math import ceil

from anvilcove.decisions.registry import policy
from anvilcove.decisions.types import (
    PlacedEndpoint,
    PlacementDemand,
    PlacementOrder,
    PlacementState,
)
from anvilcove.settings.daemon import HostSettings

# Utilization at which waits stay short compared with the service time.
TARGET_UTILIZATION = 0.75
# A shortage must last this long before a server is moved.
HOLD_S = 10.0
# A server that was moved stays for this long.
COOL_DOWN_S = 120.0
# Servers moved by one plan.
MAX_MOVES = 1

ModelRole = tuple[str, str]


@policy('placement', 'demand')
class DemandPlacement:
    """Move few servers, from surplus to lasting shortage."""

    __slots__ = ('_short_since', '_moved_at_s')

    def __init__(self, settings: HostSettings) -> None:
        """Start without shortages."""
        self._short_since: dict[ModelRole, float] = {}
        self._moved_at_s: dict[str, float] = {}

    def plan(self, now: float, state: PlacementState) -> list[PlacementOrder]:
        """Return the orders to give now, each with its reason."""
        needed = _needed(state)
        held: dict[ModelRole, list[PlacedEndpoint]] = {}
        for placed in state.endpoints:
            held.setdefault((placed.model, placed.role), []).append(placed)
        orders: list[PlacementOrder] = []
        for demand in sorted(
            state.demands, key=lambda d: (d.model, d.role, d.adapter)
        ):
            key = (demand.model, demand.role)
            if len(orders) < MAX_MOVES and self._lasting_shortage(
                now, key, needed[key], len(held.get(key, []))
            ):
                orders.extend(self._move(now, demand, needed, held))
        return orders + _adapter_orders(state)

    def _lasting_shortage(
        self, now: float, key: ModelRole, needed: int, held: int
    ) -> bool:
        if held >= needed:
            self._short_since.pop(key, None)
            return False
        since_s = self._short_since.setdefault(key, now)
        return held == 0 or now - since_s >= HOLD_S

    def _move(
        self,
        now: float,
        demand: PlacementDemand,
        needed: dict[ModelRole, int],
        held: dict[ModelRole, list[PlacedEndpoint]],
    ) -> list[PlacementOrder]:
        key = (demand.model, demand.role)
        donor = self._donor(now, key, needed, held)
        if donor is None:
            return []
        self._moved_at_s[donor.endpoint] = now
        self._short_since.pop(key, None)
        reason = (
            f'{demand.model} {demand.role} needs {needed[key]} servers '
            f'and has {len(held.get(key, []))}'
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

    def _donor(
        self,
        now: float,
        wanted: ModelRole,
        needed: dict[ModelRole, int],
        held: dict[ModelRole, list[PlacedEndpoint]],
    ) -> PlacedEndpoint | None:
        candidates = [
            placed
            for key, group in held.items()
            if key != wanted and len(group) > needed.get(key, 0)
            for placed in group
            if now - self._moved_at_s.get(placed.endpoint, float('-inf'))
            >= COOL_DOWN_S
        ]
        # A change of role is cheaper than a load of other weights.
        return min(
            candidates,
            key=lambda p: (p.model != wanted[0], p.in_flight, p.endpoint),
            default=None,
        )


def _needed(state: PlacementState) -> dict[ModelRole, int]:
    busy: dict[ModelRole, float] = {}
    for demand in state.demands:
        key = (demand.model, demand.role)
        work = demand.requests_per_s * demand.service_time_s
        late = demand.on_time_share < demand.target_share
        # A missed target asks for a server more than the mean load does.
        extra = state.slots if late else 0.0
        busy[key] = busy.get(key, 0.0) + work / TARGET_UTILIZATION + extra
    return {key: max(ceil(v / state.slots), 1) for key, v in busy.items()}


def _adapter_orders(state: PlacementState) -> list[PlacementOrder]:
    orders = []
    for demand in state.demands:
        if not demand.adapter or demand.requests_per_s <= 0:
            continue
        group = [
            placed
            for placed in state.endpoints
            if placed.model == demand.model and placed.role == demand.role
        ]
        if not group or any(demand.adapter in p.adapters for p in group):
            continue
        target = min(group, key=lambda p: (len(p.adapters), p.endpoint))
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
