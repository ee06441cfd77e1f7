"""The duties of a daemon, and the registry of their work."""

import asyncio
from collections.abc import Callable
from functools import partial
from importlib import import_module
from typing import TypeVar

from anvilcove.control.duties import Duty
from anvilcove.control.duty_context import DutyContext, DutyWork
from anvilcove.state.background_tasks import Work

# Share of the permitted rate that is used; the interface may count its
# seconds differently.
RATE_SHARE = 0.8
DUTY_MODULES = (
    'anvilcove.control.service_sizes',
    'anvilcove.control.usage_reports',
)

WorkFactory = Callable[['Duty', DutyContext], DutyWork]
WORK_BY_DUTY: dict[str, WorkFactory] = {}
F = TypeVar('F', bound=WorkFactory)


def duty(name: str) -> Callable[[F], F]:
    """Register the decorated class as the work of a duty."""

    def register(factory: F) -> F:
        WORK_BY_DUTY[name] = factory
        return factory

    return register


class DutyBoard:
    """The duties that the settings ask for, and their work."""

    __slots__ = ('_duty_by_name', '_work_by_name')

    def __init__(self, context: DutyContext) -> None:
        """Build the duties; without an interface there are none."""
        self._duty_by_name: dict[str, Duty] = {}
        self._work_by_name: dict[str, DutyWork] = {}
        settings = context.settings.duty_calls
        if not settings.address:
            return
        for module in DUTY_MODULES:
            import_module(module)
        names = [name for name in settings.duties if name in WORK_BY_DUTY]
        rate = min(settings.rate_per_s, settings.duty_per_s) * RATE_SHARE
        for name in names:
            built = Duty(name, context, rate / len(names))
            self._duty_by_name[name] = built
            self._work_by_name[name] = WORK_BY_DUTY[name](built, context)

    def duty(self, name: str) -> Duty | None:
        """Return a duty, None if the settings do not ask for it."""
        return self._duty_by_name.get(name)

    def work(self, name: str) -> DutyWork | None:
        """Return the work of a duty, None if it is not asked for."""
        return self._work_by_name.get(name)

    def all(self) -> list[Duty]:
        """Return all duties."""
        return list(self._duty_by_name.values())

    def unable(self) -> list[str]:
        """Return the names of the duties whose calls fail here."""
        return [duty.name for duty in self.all() if duty.is_unable()]

    def loops(self) -> dict[str, Work]:
        """Return what runs in the background, by name."""
        loops: dict[str, Work] = {}
        for duty in self.all():
            loops[f'lease of {duty.name}'] = duty.lease.run
            work = self._work_by_name[duty.name]
            loops[f'duty {duty.name}'] = partial(duty.run_work, work)
        return loops

    async def release(self) -> None:
        """Release the leases before this daemon leaves."""
        await asyncio.gather(*(duty.lease.release() for duty in self.all()))
