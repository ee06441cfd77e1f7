"""Engines that are left out for a time because they fail or refuse items."""

from loguru import logger

from anvilcove.control.endpoints import EndpointRegistry
from anvilcove.decisions.ejection import MIN_AVAILABLE_SHARE
from anvilcove.decisions.failure_attribution import (
    SOUND_SHARE,
    FailureAttribution,
    Run,
)
from anvilcove.state.clock import Clock
from anvilcove.telemetry.logs import DECISION

# Time that an engine is not used after it refused an item. An engine refuses
# items for about a second while it loads a version.
REFUSAL_EJECTION_S = 0.15
# First ejection; it doubles with each further one up to the maximum. An engine
# that fails without a sound run is ejected for the maximum at once.
FIRST_EJECTION_S = 0.8
MAX_EJECTION_S = 6.0
# An engine that comes back after failures is as before once it may run this
# many items at once.
MAX_ALLOWED_ITEMS = 16
# Reasons of ejections: the engine could not be reached, a run broke off, or it
# fails much more of its runs than others.
UNREACHABLE = 'unreachable'
BROKEN = 'broken'
FAILING = 'failing'
MAX_BROKEN_RUNS = 64


class EngineEjection:
    """Ejection of one engine, and its failures since the last sound run."""

    __slots__ = (
        'until_s',
        'shortest_until_s',
        'reason',
        'breaks',
        'relapses',
        'broken_runs',
        'allowed_items',
        'refusing_until_s',
        'refusing_content',
    )

    def __init__(self) -> None:
        """Start with an engine in use."""
        self.until_s = float('-inf')
        # End of the ejection if a run shows that the engine is partly sound.
        self.shortest_until_s = float('-inf')
        # Reason of the last ejection until its end was seen, '' afterwards.
        self.reason = ''
        # Ejections for broken runs since the last completed one.
        self.breaks = 0
        # Ejections for failures since it last ran all its items.
        self.relapses = 0
        # Runs that broke off since a run last produced something.
        self.broken_runs: list[Run] = []
        # Items that it may run at once, since it was ejected for failures;
        # each completed run adds one. None for no limit.
        self.allowed_items: int | None = None
        # Until when it is not used since it refused an item, and the content
        # of that item.
        self.refusing_until_s = float('-inf')
        self.refusing_content = ''

    def ends_at_s(self) -> float:
        """Return from when the engine may be used."""
        return max(self.until_s, self.refusing_until_s)


class EngineEjections:
    """Eject engines that fail, as long as enough of a service remain.

    What an item fails at several engines is not charged to any of them. An
    engine whose run broke off is ejected until another run there goes on.
    """

    __slots__ = (
        '_registry',
        '_clock',
        '_failures',
        '_refusals',
        '_by_endpoint',
    )

    def __init__(self, registry: EndpointRegistry, clock: Clock) -> None:
        """Start with all engines in use."""
        self._registry = registry
        self._clock = clock
        self._failures = FailureAttribution()
        self._refusals = FailureAttribution()
        self._by_endpoint: dict[str, EngineEjection] = {}

    def prune(self) -> None:
        """Drop engines that have left the registry."""
        known = self._registry.entry_by_endpoint
        for endpoint in list(self._by_endpoint):
            if endpoint not in known:
                del self._by_endpoint[endpoint]
                self._failures.forget(endpoint)

    def progressed(self, run: Run) -> None:
        """Record that a run has produced something."""
        ejection = self._by_endpoint.get(run.endpoint)
        if ejection is not None:
            ejection.broken_runs.clear()
            if ejection.reason == BROKEN and self._is_ejected(ejection):
                self._end(run.endpoint, ejection)
            elif ejection.reason == FAILING:
                ejection.until_s = ejection.shortest_until_s
        if not run.recorded:
            self._refusals.clear(run.content)
            self._failures.progressed(run)

    def succeeded(self, run: Run) -> None:
        """Record a completed generation."""
        self.progressed(run)
        ejection = self._ejection(run.endpoint)
        ejection.breaks = 0
        if ejection.allowed_items and not self._is_ejected(ejection):
            ejection.allowed_items += 1
            if ejection.allowed_items > MAX_ALLOWED_ITEMS:
                ejection.allowed_items = None
                ejection.relapses = 0
        for endpoint in self._failures.succeeded(run):
            self._eject_outlier(endpoint)
        if ejection.reason == FAILING:
            self._judge_again(run.endpoint)

    def item_failed(self, run: Run) -> None:
        """Record an answer that reported a failed item."""
        relieved = self._failures.failed(self._clock.now(), run)
        self._apply(run, relieved)

    def broke(self, run: Run) -> None:
        """Record a run that ended without an answer, or with a malformed one.

        The engine is ejected at once, as it may have crashed.
        """
        ejection = self._ejection(run.endpoint)
        # All runs that one crash ends count as one failure.
        counted = not self._is_ejected(ejection)
        relieved = self._failures.failed(self._clock.now(), run, counted)
        ejection.broken_runs.append(run)
        del ejection.broken_runs[:-MAX_BROKEN_RUNS]
        self._apply(run, relieved)
        may_be_down = counted and self._failures.blames(run)
        if may_be_down and not self._is_ejected(ejection):
            self._eject_for_break(run.endpoint, ejection, BROKEN)

    def unreachable(self, endpoint: str) -> None:
        """Eject an engine to which no connection could be opened."""
        ejection = self._ejection(endpoint)
        if self._is_ejected(ejection):
            ejection.reason = UNREACHABLE
            return
        self._failures.failed(self._clock.now(), Run(endpoint, ''))
        self._eject_for_break(endpoint, ejection, UNREACHABLE)

    def refused(self, run: Run) -> None:
        """Briefly skip an engine that refused an item without running it.

        An item that several engines refuse, such as one larger than their
        memory, does not keep other items from them.
        """
        now = self._clock.now()
        for endpoint in self._refusals.failed(now, run, counted=False):
            ejection = self._ejection(endpoint)
            if ejection.refusing_content == run.content:
                ejection.refusing_until_s = now
        if run.charged:
            ejection = self._ejection(run.endpoint)
            ejection.refusing_until_s = now + REFUSAL_EJECTION_S
            ejection.refusing_content = run.content

    def is_sound(self, endpoint: str) -> bool | None:
        """Tell whether an engine completes most of its runs, if known.

        One that has failed is not sound before it may run all items again.
        """
        ejection = self._by_endpoint.get(endpoint)
        if ejection is not None and (
            self._is_ejected(ejection) or ejection.allowed_items is not None
        ):
            return False
        return self._failures.is_sound(endpoint)

    def ends_at_s(self, endpoint: str) -> float:
        """Return the time from which an engine may be used."""
        ejection = self._by_endpoint.get(endpoint)
        return float('-inf') if ejection is None else ejection.ends_at_s()

    def allowed_items(self, endpoint: str, slots: int) -> int:
        """Return how many items an engine with `slots` may run at once.

        One that comes back after failures begins with a single item.
        """
        ejection = self._by_endpoint.get(endpoint)
        if ejection is None or ejection.allowed_items is None:
            return slots
        if self._is_ejected(ejection):
            return slots
        return min(slots, ejection.allowed_items)

    def left_out(self, service: str) -> set[str]:
        """Return the engines of a service that are not to be used now."""
        now = self._clock.now()
        return {
            endpoint
            for endpoint, ejection in self._by_endpoint.items()
            if ejection.ends_at_s() > now
            and self._service(endpoint) == service
        }

    def last_resort(self, service: str) -> set[str]:
        """Return the engines left out that are used if others are full.

        A share of a service stays in use, whatever its runs fail; of those
        left out it is the engines that fail least. No item can be the cause
        that an engine can't be reached, so such engines are not used.
        """
        left_out = self.left_out(service)
        size = len(self._pool(service))
        excess = len(left_out) - int(size * (1 - MIN_AVAILABLE_SHARE))
        if excess <= 0:
            return set()
        reachable = [e for e in left_out if not self._is_unreachable(e)]
        reachable.sort(
            key=lambda e: (self._failures.failure_share(e), self.ends_at_s(e))
        )
        return set(reachable[:excess])

    def _is_unreachable(self, endpoint: str) -> bool:
        ejection = self._by_endpoint[endpoint]
        return ejection.reason == UNREACHABLE and self._is_ejected(ejection)

    def _service(self, endpoint: str) -> str:
        entry = self._registry.entry_by_endpoint.get(endpoint)
        return '' if entry is None else entry.service

    def _pool(self, service: str) -> list[str]:
        return [
            endpoint
            for endpoint, entry in self._registry.entry_by_endpoint.items()
            if entry.service == service and not entry.draining
        ]

    def _ejection(self, endpoint: str) -> EngineEjection:
        ejection = self._by_endpoint.get(endpoint)
        if ejection is None:
            ejection = self._by_endpoint[endpoint] = EngineEjection()
        if ejection.reason and not self._is_ejected(ejection):
            if ejection.reason == FAILING:
                self._failures.halve(endpoint)
            ejection.reason = ''
        return ejection

    def _is_ejected(self, ejection: EngineEjection) -> bool:
        return ejection.until_s > self._clock.now()

    def _apply(self, run: Run, relieved: list[str]) -> None:
        """Follow the charges that a failed run has changed."""
        for endpoint in relieved:
            ejection = self._ejection(endpoint)
            if ejection.reason == BROKEN and not any(
                one.charged for one in ejection.broken_runs
            ):
                ejection.broken_runs.clear()
                self._end(endpoint, ejection)
        self._judge_again(run.endpoint)
        if self._failures.blames(run):
            self._eject_outlier(run.endpoint)

    def _judge_again(self, endpoint: str) -> None:
        """End ejections of engines that no longer fail more than others."""
        pool = self._pool(self._service(endpoint))
        for other in pool:
            ejection = self._by_endpoint.get(other)
            if (
                ejection is not None
                and ejection.reason == FAILING
                and self._is_ejected(ejection)
                and not self._failures.is_outlier(other, pool, SOUND_SHARE)
            ):
                self._end(other, ejection)

    def _eject_outlier(self, endpoint: str) -> None:
        ejection = self._ejection(endpoint)
        if ejection.reason == FAILING:
            return
        pool = self._pool(self._service(endpoint))
        if not self._failures.is_outlier(endpoint, pool):
            return
        shortest_s = _ejection_s(ejection.relapses)
        partly_sound = self._failures.has_sound_run(endpoint)
        ejection.relapses += 1
        ejection.allowed_items = 1
        ejection.shortest_until_s = self._clock.now() + shortest_s
        ejection_s = shortest_s if partly_sound else MAX_EJECTION_S
        self._eject(endpoint, ejection, FAILING, ejection_s)

    def _eject_for_break(
        self, endpoint: str, ejection: EngineEjection, reason: str
    ) -> None:
        ejection_s = _ejection_s(ejection.breaks)
        ejection.breaks += 1
        self._eject(endpoint, ejection, reason, ejection_s)

    def _eject(
        self,
        endpoint: str,
        ejection: EngineEjection,
        reason: str,
        ejection_s: float,
    ) -> None:
        ejection.reason = reason
        ejection.until_s = self._clock.now() + ejection_s
        logger.bind(
            endpoint=endpoint,
            for_s=ejection_s,
            reason=reason,
            breaks=ejection.breaks,
            relapses=ejection.relapses,
            failure_share=round(self._failures.failure_share(endpoint), 2),
        ).log(DECISION, 'engine ejected')

    def _end(self, endpoint: str, ejection: EngineEjection) -> None:
        ejection.until_s = self._clock.now()
        ejection.breaks = max(ejection.breaks - 1, 0)
        logger.bind(endpoint=endpoint, reason=ejection.reason).log(
            DECISION, 'ejection of an engine ended early'
        )
        if ejection.reason == FAILING:
            ejection.allowed_items = None
            ejection.relapses = max(ejection.relapses - 1, 0)
        ejection.reason = ''


def _ejection_s(earlier: int) -> float:
    """Return the time of an ejection that follows `earlier` ones."""
    return min(FIRST_EJECTION_S * 2.0**earlier, MAX_EJECTION_S)
