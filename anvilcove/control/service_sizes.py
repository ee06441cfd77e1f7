"""Order the sizes of services while this daemon holds the duty."""

from collections import Counter

from loguru import logger

from anvilcove.control.desired import Service
from anvilcove.control.duties import Duty
from anvilcove.control.duty_board import duty
from anvilcove.control.duty_context import DutyContext
from anvilcove.control.size_rows import (
    SizeConflict,
    SizeRecords,
)
from anvilcove.control.sized_services import (
    ServiceView,
    SizedService,
    allowed_groups,
    slots_of,
)
from anvilcove.decisions.service_size import DemandSize
from anvilcove.decisions.size_mix import EngineGroup
from anvilcove.decisions.size_policy import (
    GroupState,
    ServiceState,
    SizeChange,
)
from anvilcove.ports.duties import (
    DutyError,
    DutyRejected,
    NoneAvailable,
    SizeOrder,
)
from anvilcove.ports.errors import StoreAnswerLost, StoreUnavailable
from anvilcove.settings.node import SIZES
from anvilcove.state.size_bounds import SizeBounds
from anvilcove.telemetry.logs import DECISION

PERIOD_S = 1.0
# Nothing is decided on rows of endpoints that are older than this.
MAX_VIEW_AGE_S = 1.5
ACCEPTED = 'accepted'


@duty(SIZES)
class ServiceSizes:
    """Decide on the sizes once per second and order what changes."""

    __slots__ = ('_duty', '_context', '_records', '_fence', 'by_service')

    def __init__(self, held: Duty, context: DutyContext) -> None:
        """Order nothing before `run`."""
        self._duty = held
        self._context = context
        self._records = SizeRecords(context.store)
        # Fence under which the rows were read, None while they are unknown.
        self._fence: int | None = None
        self.by_service: dict[str, SizedService] = {}

    async def run(self) -> None:
        """Decide periodically while the duty is held, without end."""
        while True:
            if self._duty.fence() is None:
                self._forget()
            else:
                try:
                    await self.decide_all()
                except SizeConflict as conflict:
                    logger.bind(service=str(conflict)).info('sizes read again')
                    self._forget()
                except (StoreUnavailable, StoreAnswerLost) as error:
                    # A write may have been applied: the rows are read again,
                    # and what was learned of the demand remains.
                    logger.bind(reason=str(error)).info('sizes not ordered')
                    self._fence = None
            await self._context.clock.sleep(PERIOD_S)

    def _forget(self) -> None:
        self._fence = None
        self.by_service.clear()

    async def decide_all(self) -> None:
        """Decide on each service with bounds and send the orders."""
        state, context = self._context.desired.current, self._context
        if state is None or context.endpoints_age_s() > MAX_VIEW_AGE_S:
            return
        await self._read_rows()
        view = ServiceView(context)
        for service in state.services_by_name.values():
            if service.size_bounds is None:
                self.by_service.pop(service.name, None)
            elif not await self._decide(service, service.size_bounds, view):
                # The interface does not answer now.
                return

    async def _decide(
        self, service: Service, bounds: SizeBounds, view: ServiceView
    ) -> bool:
        """Decide on one service; return whether its orders were answered."""
        now, name = self._context.clock.now(), service.name
        sized = self._sized(name)
        states = await self._group_states(service, bounds, sized, view)
        if not sized.is_settled(now):
            return True
        sized.state = ServiceState(
            bounds,
            slots_of(service, view.entries(name)),
            states,
            view.loads.get(name, []),
        )
        changes = sized.policy.decide(now, sized.state, self._context.rng)
        return await self._order(name, sized, changes)

    def _sized(self, service: str) -> SizedService:
        sized = self.by_service.get(service)
        if sized is None:
            sized = self.by_service[service] = SizedService(
                DemandSize(), self._context.clock.now()
            )
        return sized

    async def _read_rows(self) -> None:
        """Read the rows after the duty was taken or a write failed.

        Orders of an earlier holder may not have arrived and are repeated.
        """
        fence = self._duty.fence()
        if fence is None or fence == self._fence:
            return
        for name, known in (await self._records.read()).items():
            sized = self._sized(name)
            for group, size in known.items():
                own = sized.known.get(group)
                number, row = size.row.number, size.row
                if row.ordered and (
                    row.fence != fence
                    or own is None
                    or own.row.number != number
                ):
                    sized.unconfirmed[group] = SizeChange(
                        group, number, number, 'repeated from its row', ''
                    )
            sized.known = known
        self._fence = fence

    async def _group_states(
        self,
        service: Service,
        bounds: SizeBounds,
        sized: SizedService,
        view: ServiceView,
    ) -> dict[EngineGroup, GroupState]:
        """Return the groups; record the size of those that have no row.

        What runs is the first target, also where more run than were found as
        long as nothing was ordered.
        """
        running, usable = self._count(service, view)
        found = {
            group: running[group]
            for group in allowed_groups(bounds, running, sized, view)
            if group not in sized.known
            or (
                not sized.known[group].row.ordered
                and sized.known[group].row.number < running[group]
            )
        }
        fence = self._duty.fence()
        if found and fence is not None:
            await self._records.write(
                service.name, sized.known, found, fence, ordered=False
            )
        return {
            group: GroupState(size.row.number, running[group], usable[group])
            for group, size in sorted(sized.known.items())
        }

    def _count(
        self, service: Service, view: ServiceView
    ) -> tuple[Counter[EngineGroup], Counter[EngineGroup]]:
        """Return the endpoints of each group, and those that are usable."""
        running: Counter[EngineGroup] = Counter()
        usable: Counter[EngineGroup] = Counter()
        newest = self._context.desired.newest_version_by_model
        for entry in view.entries(service.name):
            if not entry.draining and entry.leaves_s is None:
                group = EngineGroup(entry.data_centre, entry.reclaimable)
                running[group] += 1
                usable[group] += view.is_usable(service, entry, newest)
        return running, usable

    async def _order(
        self, service: str, sized: SizedService, changes: list[SizeChange]
    ) -> bool:
        """Write and send orders; return whether the interface answers."""
        fence = self._duty.fence()
        if fence is None:
            return False
        if changes:
            await self._records.write(
                service,
                sized.known,
                {change.group: change.number for change in changes},
                fence,
                ordered=True,
            )
        sized.unconfirmed |= {change.group: change for change in changes}
        # Increases first: steps may wait for them.
        pending = sorted(
            sized.unconfirmed.values(), key=lambda c: c.before - c.number
        )
        for change in pending:
            outcome = await self._send(service, change)
            self._log(service, sized, change, outcome)
            if outcome in (NoneAvailable.__name__, DutyRejected.__name__):
                del sized.unconfirmed[change.group]
                await self._withdraw(service, sized, change, fence)
            elif outcome != ACCEPTED:
                return False
            else:
                del sized.unconfirmed[change.group]
        return True

    async def _send(self, service: str, change: SizeChange) -> str:
        group = change.group
        order = SizeOrder(
            service, group.data_centre, change.number, group.reclaimable
        )

        async def call(fence: int) -> None:
            await self._context.port.order_size(fence, order)

        try:
            await self._duty.perform(f'{service}/{group.data_centre}', call)
        except DutyError as error:
            return type(error).__name__
        return ACCEPTED

    async def _withdraw(
        self,
        service: str,
        sized: SizedService,
        change: SizeChange,
        fence: int,
    ) -> None:
        """Record that an order was refused: the number before stands.

        For a repeated one it is what runs, so that others replace the rest.
        """
        group, number = change.group, change.before
        now = self._context.clock.now()
        sized.policy.refused(now, group.data_centre)
        if change.number == change.before and sized.state:
            counts = sized.state.states.get(group)
            number = min(number, counts.running if counts else 0)
        await self._records.write(
            service, sized.known, {group: number}, fence, ordered=False
        )

    def _log(
        self,
        service: str,
        sized: SizedService,
        change: SizeChange,
        outcome: str,
    ) -> None:
        group, policy = change.group, sized.policy
        logger.bind(
            service=service,
            data_centre=group.data_centre,
            kind=group.kind,
            size_from=change.before,
            size_to=change.number,
            reason=change.reason,
            cost_per_s=round(change.cost_per_s, 4),
            gain=change.gain,
            needed=policy.needed,
            outcome=outcome,
        ).log(DECISION, 'size ordered')
