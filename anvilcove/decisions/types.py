"""Input and result types of the decision policies."""

from typing import Any

from msgspec import Struct, field

INTERACTIVE = 'interactive'
BACKGROUND = 'background'
TRAINER = 'trainer'

PRIORITY_BY_KIND = {INTERACTIVE: 0, BACKGROUND: 1, TRAINER: 1}


class Admit(Struct, frozen=True):
    """Admit the request; a lower priority number is served first."""

    priority: int = 0


class Refuse(Struct, frozen=True):
    """Refuse the request before it has run."""

    reason: str
    retry_after_s: float


class PoolLoad(Struct):
    """Load of one pool as one daemon sees it.

    `service_time_s` is the mean of all classes of the pool, which determines
    how fast slots become free. `own_service_time_s` is that of the class of
    the request, 0 if not measured.
    """

    endpoints: int
    limit: float
    in_flight: int
    queued: int
    queued_by_priority: dict[int, int] = field(default_factory=dict)
    service_time_s: float = 0.0
    own_service_time_s: float = 0.0


class RouteRequest(Struct):
    """Properties of a request that routing depends on.

    `software` is the only version of the endpoints' software that may take it,
    None for any. A request of `last_resort` takes ejected endpoints, too. Its
    work counts for `workspace`, '' for none.
    """

    request_id: str
    class_name: str
    kind: str
    pool: str
    content: str = ''
    prefixes: list[str] = field(default_factory=list)
    excluded: set[str] = field(default_factory=set)
    deadline_at_s: float = 0.0
    isolated: bool = False
    software: str | None = None
    last_resort: bool = False
    workspace: str = ''

    def suits(self, software: str) -> bool:
        """Tell whether endpoints of a software version may take it."""
        return self.software is None or self.software == software


class Candidate(Struct):
    """State of an endpoint that was compared in a decision."""

    endpoint: str
    in_flight: int
    limit: float
    report_age_s: float
    score: float


class Route(Struct):
    """Endpoint chosen for a request."""

    endpoint: str
    candidates: list[Candidate]
    reason: str


class NoRoute(Struct):
    """No endpoint can take the request now."""

    reason: str


class Allow(Struct, frozen=True):
    """Run the request normally."""


class Isolate(Struct, frozen=True):
    """Run the request alone on its endpoint, without a second attempt."""

    crashes: int


class Reject(Struct, frozen=True):
    """Never run the request again."""

    crashes: int


OK = 'ok'
OVERLOADED = 'overloaded'
ERROR = 'error'
CRASH = 'crash'
CANCELLED = 'cancelled'


class AttemptResult(Struct, frozen=True):
    """Result of one attempt at an endpoint.

    `queue_ratio` is queue length / capacity in the last load report.
    `slowness` is that of the endpoint as its answer names it, None if it does
    not, and `load_share` the share of its slots that were in use or asked for.
    `content` is a hash of what the request runs, '' if it is unknown or can't
    be the cause of the outcome.
    """

    endpoint: str
    outcome: str
    latency_s: float
    in_flight: int = 1
    class_name: str = ''
    queue_ratio: float = 0.0
    slowness: float | None = None
    load_share: float = 0.0
    content: str = ''


class RetryRequest(Struct, frozen=True):
    """A failed attempt that may be retried.

    `expected_s` is the expected duration of the next attempt.
    """

    attempt: int
    deadline_at_s: float
    expected_s: float = 0.0


class RetryAfter(Struct, frozen=True):
    """Retry after a delay."""

    delay_s: float


class GiveUp(Struct, frozen=True):
    """Do not retry."""

    reason: str


class PlacedEndpoint(Struct):
    """Model, version, adapters and role of an engine."""

    endpoint: str
    model: str
    role: str = ''
    version: int = 0
    adapters: list[str] = field(default_factory=list)
    in_flight: int = 0


class PlacementDemand(Struct):
    """Demand for a model and role, with its on-time shares.

    `on_time_share` is the measured share of requests that finish on time,
    `target_share` the required one.
    """

    model: str
    requests_per_s: float
    service_time_s: float
    role: str = ''
    adapter: str = ''
    version: int = 0
    on_time_share: float = 1.0
    target_share: float = 0.0


class PlacementState(Struct):
    """Live engines of a pool, slots per engine and the demand."""

    endpoints: list[PlacedEndpoint]
    demands: list[PlacementDemand]
    slots: float = 1.0


class PlacementOrder(Struct, frozen=True):
    """Order to an engine, with its reason; `kind` as in EngineOrder."""

    endpoint: str
    kind: str
    reason: str
    model: str = ''
    version: int = 0
    adapter: str = ''
    role: str = ''


class DecisionRecord(Struct):
    """A decision as it is logged and returned to operators."""

    at_s: float
    decision: str
    subject: str
    class_name: str
    choice: str
    reason: str
    candidates: list[Candidate] = field(default_factory=list)
    revision: int = 0
    extra: dict[str, Any] = field(default_factory=dict)
