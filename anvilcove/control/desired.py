"""The operator's desired state: routes, services and limits."""

from msgspec import Struct, field

SAFE = 'safe'
UNSAFE = 'unsafe'
STREAM = 'stream'
JOB = 'job'

DEFAULT_MAX_HEADER_BYTES = 16_384
DEFAULT_MAX_BODY_BYTES = 33_554_432
DEFAULT_IDLE_TIMEOUT_S = 15.0


class Target(Struct, frozen=True):
    """A service that a route leads to and its share of the requests."""

    service: str
    weight: float = 1.0


class JobTargets(Struct, frozen=True):
    """What the operator asks of the batch jobs of a route."""

    result_objective_s: float
    item_lifetime_s: float
    single_version: bool = False


class Route(Struct, frozen=True):
    """How the requests of a host and path prefix are served."""

    name: str
    host: str
    prefix: str
    kind: str
    timeout_s: float
    objective_s: float
    priority: int
    targets: tuple[Target, ...]
    max_attempts: int
    resumable: bool = False
    job: JobTargets | None = None

    @property
    def repeatable(self) -> bool:
        """Tell whether a request may run more than once."""
        return self.kind == SAFE


class EngineTraits(Struct, frozen=True):
    """What the operator says of the engines of a service."""

    slots: int
    models: tuple[str, ...]


class Service(Struct, frozen=True):
    """A pool of endpoints."""

    name: str
    max_connections: int
    engine: EngineTraits | None = None


class CallerLimits(Struct, frozen=True):
    """Bounds of what a caller may send."""

    max_header_bytes: int = DEFAULT_MAX_HEADER_BYTES
    max_body_bytes: int = DEFAULT_MAX_BODY_BYTES
    idle_timeout_s: float = DEFAULT_IDLE_TIMEOUT_S


class DesiredState(Struct, frozen=True):
    """One version of the operator's declarations."""

    version: int
    routes: tuple[Route, ...] = ()
    services_by_name: dict[str, Service] = field(default_factory=dict)
    limits: CallerLimits = field(default_factory=CallerLimits)

    def find(self, host: str, path: str) -> Route | None:
        """Return the route with the longest prefix of a path."""
        best: Route | None = None
        for route in self.routes:
            if route.host != host or not path.startswith(route.prefix):
                continue
            if best is None or len(route.prefix) > len(best.prefix):
                best = route
        return best


class DesiredStateView:
    """The newest desired state that this daemon has seen."""

    __slots__ = ('current', 'adopted_at_s', 'model_versions')

    def __init__(self) -> None:
        """Start without a desired state."""
        self.current: DesiredState | None = None
        self.adopted_at_s = 0.0
        # Newest version that a trainer has named, by model.
        self.model_versions: dict[str, int] = {}

    def adopt(self, state: DesiredState, now: float) -> bool:
        """Put a newer version in force; return False if it is not newer."""
        if self.current is not None and state.version <= self.current.version:
            return False
        self.current = state
        self.adopted_at_s = now
        return True

    def name_version(self, model: str, version: int) -> bool:
        """Note a named version of a model; return whether it was news."""
        if version <= self.model_versions.get(model, 0):
            return False
        self.model_versions[model] = version
        return True
