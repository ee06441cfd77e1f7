"""What the holder of the duty for sizes knows of the services."""

from collections import Counter
from collections.abc import Iterator

from anvilcove.control.desired import Service
from anvilcove.control.duty_context import DutyContext
from anvilcove.control.endpoints import EndpointEntry
from anvilcove.control.size_rows import SizesByGroup
from anvilcove.decisions.size_mix import EngineGroup
from anvilcove.decisions.size_policy import (
    ServiceState,
    SizeChange,
    SizePolicy,
)
from anvilcove.state.size_bounds import SizeBounds

# An engine is usable if its version is at most this far behind the newest.
MAX_USABLE_LAG = 1
# Until this time after the first look, endpoints may still be starting. An
# order of a lower number would end them.
SETTLING_S = 3.0


class SizedService:
    """What the holder knows of one service."""

    __slots__ = ('policy', 'known', 'found_at_s', 'unconfirmed', 'state')

    def __init__(self, policy: SizePolicy, found_at_s: float) -> None:
        """Start without rows."""
        self.policy = policy
        self.known: SizesByGroup = {}
        self.found_at_s = found_at_s
        # Orders that were not answered, or that an earlier holder has written.
        self.unconfirmed: dict[EngineGroup, SizeChange] = {}
        self.state: ServiceState | None = None

    def is_settled(self, now: float) -> bool:
        """Tell whether all that ran at the start has been listed."""
        ordered = any(size.row.ordered for size in self.known.values())
        return ordered or now - self.found_at_s >= SETTLING_S


class ServiceView:
    """Endpoints and jobs as known at the time of a decision."""

    __slots__ = ('entries_by_service', 'centres', 'loads', 'models')

    def __init__(self, context: DutyContext) -> None:
        """Group what this daemon has read."""
        self.entries_by_service: dict[str, list[EndpointEntry]] = {}
        self.centres = {node.data_centre for node in context.nodes.alive()}
        self.centres.add(context.settings.data_centre)
        for entry in context.registry.entry_by_endpoint.values():
            entries = self.entries_by_service.setdefault(entry.service, [])
            entries.append(entry)
            self.centres.add(entry.data_centre)
        self.loads = context.job_loads.by_service()
        self.models = context.job_loads.models_in_use()

    def is_usable(
        self,
        service: Service,
        entry: EndpointEntry,
        newest_by_model: dict[str, int],
    ) -> bool:
        """Tell whether an endpoint holds a version that new work accepts."""
        if service.engine is None or not service.engine.models:
            return True
        models = self.models.intersection(service.engine.models)
        return any(
            entry.version_by_model.get(model, 0)
            >= newest_by_model.get(model, 1) - MAX_USABLE_LAG
            for model in models or service.engine.models
        )

    def entries(self, service: str) -> list[EndpointEntry]:
        """Return the endpoints of a service."""
        return self.entries_by_service.get(service, [])


def allowed_groups(
    bounds: SizeBounds,
    running: Counter[EngineGroup],
    sized: SizedService,
    view: ServiceView,
) -> Iterator[EngineGroup]:
    """Yield the groups of which endpoints run or may be ordered.

    A data centre of the price list that nothing else names is left out.
    """
    used = {group.data_centre for group in running}
    used |= {group.data_centre for group in sized.known}
    used |= view.centres & bounds.price_by_data_centre.keys()
    for centre in sorted(used):
        yield EngineGroup(centre)
        group = EngineGroup(centre, True)
        # If they are no cheaper, only those that run count.
        if bounds.reclaimable_price < 1.0 or group in running:
            yield group


def sizes_status(
    by_service: dict[str, SizedService],
) -> dict[str, dict[str, object]]:
    """Return a row for operators for each group; empty if not the holder."""
    found: dict[str, dict[str, object]] = {}
    for service, sized in by_service.items():
        states = sized.state.states if sized.state else {}
        for group, counts in states.items():
            found[f'{service}/{group.data_centre}/{group.kind}'] = {
                'ordered': counts.ordered,
                'running': counts.running,
                'usable': counts.usable,
                'needed_in_total': sized.policy.needed,
                'unanswered': group in sized.unconfirmed,
            }
    return found


def slots_of(service: Service, entries: list[EndpointEntry]) -> int:
    """Return the most common number of slots of an endpoint."""
    counts = Counter(entry.slots for entry in entries)
    if counts:
        return counts.most_common(1)[0][0]
    return service.engine.slots if service.engine else 1
