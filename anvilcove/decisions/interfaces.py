"""Interfaces of the decision policies.

Every policy is constructed with the daemon's settings. `now` is monotonic
time in seconds. Policies read no clock, do no I/O and use only the random
generator that is passed to them.
"""

import random
from typing import Protocol

from anvilcove.decisions.types import (
    Admit,
    Allow,
    AttemptResult,
    GiveUp,
    Isolate,
    NoRoute,
    PlacementOrder,
    PlacementState,
    PoolLoad,
    Refuse,
    Reject,
    RetryAfter,
    RetryRequest,
    Route,
    RouteRequest,
)
from anvilcove.messages.engines import CacheEvent
from anvilcove.messages.membership import HostMember
from anvilcove.messages.peers import SuspectDigest
from anvilcove.settings.classes import ClassTarget
from anvilcove.state.endpoints import EndpointView


class AdmissionPolicy(Protocol):
    """Decide whether a request may be queued for an endpoint."""

    def offer(
        self,
        now: float,
        target: ClassTarget,
        load: PoolLoad,
        deadline_at_s: float,
    ) -> Admit | Refuse:
        """Admit the request, or refuse it before it has run."""


class LimitPolicy(Protocol):
    """Adapt the concurrency limit of this daemon at each endpoint."""

    def limit(self, endpoint: str) -> float:
        """Return the current limit; the initial one for a new endpoint."""

    def finished(self, now: float, result: AttemptResult) -> None:
        """Adjust the limit; `in_flight` still includes the attempt."""

    def forget(self, endpoint: str) -> None:
        """Delete the limit of an endpoint."""


class RoutingPolicy(Protocol):
    """Choose an endpoint for a request."""

    def choose(
        self,
        now: float,
        request: RouteRequest,
        view: EndpointView,
        rng: random.Random,
    ) -> Route | NoRoute:
        """Choose an endpoint that can take one more request."""

    def finished(
        self, now: float, result: AttemptResult, pool: str, kind: str
    ) -> None:
        """Record an attempt of a class of kind `kind` in a pool."""

    def observe_cache(
        self, now: float, endpoint: str, events: list[CacheEvent]
    ) -> None:
        """Apply prefix-cache events, which may be late or incomplete."""


class EjectionPolicy(Protocol):
    """Eject failing or slow endpoints for a time, but never all."""

    def finished(
        self, now: float, result: AttemptResult, pool: list[str]
    ) -> float:
        """Return the end of the endpoint's ejection, 0 if not ejected."""

    def heard(self, now: float, endpoint: str) -> float:
        """Record that a run at an endpoint goes on; return as `finished`."""

    def limits_endpoint(self, result: AttemptResult) -> bool:
        """Tell whether an endpoint takes less work after a failed attempt."""

    def take_changes(self) -> dict[str, float]:
        """Return the ejections of other endpoints that have changed since.

        The values are as those of `finished`.
        """


class RetryPolicy(Protocol):
    """Bound the number of retries of the whole daemon."""

    def started(self, now: float) -> None:
        """Record a first attempt, which adds to the budget."""

    def next_attempt(
        self, now: float, request: RetryRequest, rng: random.Random
    ) -> RetryAfter | GiveUp:
        """Take a retry from the budget and return its delay, or give up."""


class HedgingPolicy(Protocol):
    """Decide when a slow request gets a second, parallel attempt."""

    def finished(self, class_name: str, latency_s: float) -> None:
        """Record the latency of a finished request."""

    def delay_s(self, class_name: str) -> float | None:
        """Return the delay before the second attempt, None for never."""

    def spend(self) -> bool:
        """Take one hedge from the budget; return whether there was one."""


class QuarantinePolicy(Protocol):
    """Find request contents that crash endpoints."""

    def crashed(self, now: float, endpoint: str, contents: list[str]) -> None:
        """Count a crash for each content that was in flight there."""

    def finished(self, now: float, content: str) -> None:
        """Clear the crashes of a content that ran to its end."""

    def retract_crashes(
        self, now: float, endpoint: str, contents: list[str], reachable: bool
    ) -> None:
        """Clear crashes counted for an endpoint that may not have crashed.

        If it is unreachable, each content keeps one open crash, however many
        endpoints are unreachable.
        """

    def verdict(self, now: float, content: str) -> Allow | Isolate | Reject:
        """Return whether a content runs normally, alone or not at all."""

    def merge(self, now: float, digests: list[SuspectDigest]) -> None:
        """Merge the counts of a peer."""

    def digests(self, now: float) -> list[SuspectDigest]:
        """Return the counts to gossip, last changed content first."""


class PlacementPolicy(Protocol):
    """Decide which model, adapter, version and role each engine has."""

    def plan(self, now: float, state: PlacementState) -> list[PlacementOrder]:
        """Return the orders to give now, each with its reason."""


class EntriesPolicy(Protocol):
    """Choose the entry hosts that are returned to a caller."""

    def choose(
        self,
        now: float,
        caller: str,
        data_centre: str,
        hosts: list[HostMember],
        load_by_host: dict[str, int],
    ) -> list[HostMember]:
        """Return up to three hosts, the preferred one first."""
