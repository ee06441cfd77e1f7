"""Interfaces of the decision policies.

Every policy is constructed with the daemon's settings. `now` is monotonic
time in seconds. Policies read no clock, open no socket and use only the
random generator that they are given.
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
    """Decide whether a request may wait for an endpoint."""

    def offer(
        self,
        now: float,
        target: ClassTarget,
        load: PoolLoad,
        deadline_at_s: float,
    ) -> Admit | Refuse:
        """Admit the request or refuse it early as not run."""


class LimitPolicy(Protocol):
    """Learn how many requests each endpoint takes from this daemon."""

    def limit(self, endpoint: str) -> float:
        """Return the current limit, also for an unknown endpoint."""

    def finished(self, now: float, result: AttemptResult) -> None:
        """Learn from a finished attempt; `in_flight` is before its end."""

    def forget(self, endpoint: str) -> None:
        """Drop what is known of an endpoint."""


class RoutingPolicy(Protocol):
    """Choose an endpoint for a request."""

    def choose(
        self,
        now: float,
        request: RouteRequest,
        view: EndpointView,
        rng: random.Random,
    ) -> Route | NoRoute:
        """Choose among the endpoints that have room."""

    def finished(
        self, now: float, result: AttemptResult, pool: str, kind: str
    ) -> None:
        """Learn from a finished attempt of a class kind in a pool."""

    def observe_cache(
        self, now: float, endpoint: str, events: list[CacheEvent]
    ) -> None:
        """Learn the prefix cache of an endpoint from late, gappy events."""


class EjectionPolicy(Protocol):
    """Keep failing or slow endpoints out for a while, with a floor."""

    def finished(
        self, now: float, result: AttemptResult, pool: list[str]
    ) -> float:
        """Return until when the endpoint is ejected, 0 for not ejected."""


class RetryPolicy(Protocol):
    """Bound the retries of the whole daemon."""

    def started(self, now: float) -> None:
        """Count a first attempt; it earns a share of a retry."""

    def next_attempt(
        self, now: float, request: RetryRequest, rng: random.Random
    ) -> RetryAfter | GiveUp:
        """Spend a retry from the budget or give up at once."""


class HedgingPolicy(Protocol):
    """Decide when a second attempt runs beside a slow first one."""

    def finished(self, class_name: str, latency_s: float) -> None:
        """Learn the latencies of a class."""

    def delay_s(self, class_name: str) -> float | None:
        """Return the delay before the second attempt, None for never."""

    def spend(self) -> bool:
        """Take one hedge from the budget when its delay has passed."""


class QuarantinePolicy(Protocol):
    """Find the content that crashes the endpoints that run it."""

    def crashed(self, now: float, endpoint: str, contents: list[str]) -> None:
        """Count a crash against every content in flight there."""

    def finished(self, now: float, content: str) -> None:
        """Clear a content that ran to its end."""

    def forgive(
        self, now: float, endpoint: str, contents: list[str], reachable: bool
    ) -> None:
        """Take back a crash; an unreachable endpoint leaves one suspicion."""

    def verdict(self, now: float, content: str) -> Allow | Isolate | Reject:
        """Tell how a content may run."""

    def merge(self, now: float, digests: list[SuspectDigest]) -> None:
        """Adopt the counts of a peer."""

    def digests(self, now: float) -> list[SuspectDigest]:
        """Return the counts to gossip, most recent first."""


class PlacementPolicy(Protocol):
    """Decide which engine holds which model, adapter, version and role."""

    def plan(self, now: float, state: PlacementState) -> list[PlacementOrder]:
        """Return the orders to give now, each with its reason."""


class EntriesPolicy(Protocol):
    """Choose the entry hosts that a caller is told."""

    def choose(
        self,
        now: float,
        caller: str,
        data_centre: str,
        hosts: list[HostMember],
        load_by_host: dict[str, int],
    ) -> list[HostMember]:
        """Return up to three hosts, best first."""
