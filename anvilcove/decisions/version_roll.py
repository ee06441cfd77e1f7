"""Assignment of models to engines and scheduling of version loads."""

from msgspec import Struct, field
from xxhash import xxh3_64_intdigest

# Share of the engines that may load at the same time. The weight source serves
# about this many at full speed, and the others continue to answer.
MAX_LOADING_SHARE = 0.4
# New steps accept versions that are at most this far behind the newest one.
MAX_USABLE_LAG = 1
# Engines per model, as a multiple of its equal share. With two shares, half of
# a model's engines can load a version while the other half runs its items.
SHARES_PER_MODEL = 2
# A model without items for this long loads its newest version on all its
# engines, as nobody waits for them.
IDLE_MODEL_S = 2.0


class EngineVersions(Struct):
    """Loaded versions and state of one engine.

    `busy` tells that it is loading a version. No order is given before
    `retry_at_s`. `in_flight_by_model` counts the items of this daemon there.
    """

    endpoint: str
    version_by_model: dict[str, int]
    busy: bool = False
    retry_at_s: float = 0.0
    in_flight_by_model: dict[str, int] = field(default_factory=dict)


class ModelTarget(Struct):
    """Version that a model should have, and the amount of its work.

    `idle_s` is the time for which none of its items has run.
    """

    model: str
    target: int
    work: float = 1.0
    idle_s: float = 0.0


class LoadOrder(Struct, frozen=True):
    """Order to an engine to load a version of a model."""

    endpoint: str
    model: str
    version: int


def plan_loads(
    now: float, needs: list[ModelTarget], engines: list[EngineVersions]
) -> list[LoadOrder]:
    """Return the load orders that may be given now.

    An engine pauses the runs of a model while it loads a version of it, and
    continues those of other models. A step accepts the newest version at its
    start and the one before. So the engines of a model form two halves that
    load in turn: while one half runs a step, the other becomes idle at the
    end of the step before, and loads in time for the next one.
    """
    endpoints_by_model = assign_models(needs, engines)
    max_orders = max(int(len(engines) * MAX_LOADING_SHARE), 1)
    max_orders -= sum(engine.busy for engine in engines)
    wanted: list[_WantedLoad] = []
    for need in needs:
        assigned = [
            engine
            for engine in engines
            if engine.endpoint in endpoints_by_model[need.model]
        ]
        wanted += _wanted_loads(now, need, assigned)
    # Models with the fewest usable engines come first.
    wanted.sort(key=lambda load: load.usable_share)
    orders: dict[str, LoadOrder] = {}
    for load in wanted:
        if len(orders) < max_orders:
            orders.setdefault(load.order.endpoint, load.order)
    return list(orders.values())


class _WantedLoad(Struct):
    """Load that a model would order, with its share of usable engines.

    The share counts the loads of the same model that are ordered before it.
    """

    order: LoadOrder
    usable_share: float


def _wanted_loads(
    now: float, need: ModelTarget, assigned: list[EngineVersions]
) -> list[_WantedLoad]:
    """Return the loads of a model that should start now, most urgent first.

    An engine without items of the model loads at once if new steps can't use
    its version. If they can, it loads only until half of the engines have the
    newest version, and while the others suffice for the current step. A busy
    engine loads only if too few can be used otherwise.
    """

    def lag(engine: EngineVersions) -> int:
        return _lag(need, engine)

    def running(engine: EngineVersions) -> int:
        return engine.in_flight_by_model.get(need.model, 0)

    half = max(len(assigned) // 2, 1)
    usable = sum(lag(e) <= MAX_USABLE_LAG and not e.busy for e in assigned)
    loading = sum(e.busy for e in assigned)
    newest = sum(lag(e) <= 0 or e.busy for e in assigned)
    if need.idle_s >= IDLE_MODEL_S:
        newest = loading
    candidates = [
        e
        for e in assigned
        if lag(e) > 0 and not e.busy and e.retry_at_s <= now
    ]
    wanted: list[_WantedLoad] = []
    for engine in sorted(
        candidates, key=lambda e: (running(e), -lag(e), e.endpoint)
    ):
        ready = usable + loading + len(wanted)
        outdated = lag(engine) > MAX_USABLE_LAG
        if outdated and running(engine) and ready >= half:
            continue
        if not outdated:
            if running(engine) or newest >= half or usable <= half:
                continue
            newest += 1
            usable -= 1
        order = LoadOrder(engine.endpoint, need.model, need.target)
        wanted.append(_WantedLoad(order, ready / len(assigned)))
    return wanted


def assign_models(
    needs: list[ModelTarget], engines: list[EngineVersions]
) -> dict[str, set[str]]:
    """Return the engines of each model.

    Each model gets SHARES_PER_MODEL times its equal share, as its engines load
    only every second version: no more loads of each version are free than
    there are engines for one model. An engine keeps the models whose newest
    versions it is closest to, so the assignment needs no stored state.
    """
    quota = _quotas(needs, len(engines))
    capacity = dict.fromkeys(
        (engine.endpoint for engine in engines),
        min(SHARES_PER_MODEL, len(needs)),
    )
    endpoints_by_model: dict[str, set[str]] = {
        need.model: set() for need in needs
    }
    pairs = sorted(
        (
            (
                max(_lag(need, engine) - MAX_USABLE_LAG, 0),
                xxh3_64_intdigest(f'{engine.endpoint}/{need.model}'.encode()),
                engine.endpoint,
                need.model,
            )
            for need in needs
            for engine in engines
            if need.model in engine.version_by_model
        ),
    )
    for _, _, endpoint, model in pairs:
        if capacity[endpoint] > 0 and quota[model] > 0:
            endpoints_by_model[model].add(endpoint)
            capacity[endpoint] -= 1
            quota[model] -= 1
    return endpoints_by_model


def _lag(need: ModelTarget, engine: EngineVersions) -> int:
    return need.target - engine.version_by_model.get(need.model, 0)


def _quotas(needs: list[ModelTarget], engine_count: int) -> dict[str, int]:
    """Return the number of engines of each model."""
    if not needs:
        return {}
    shares = min(SHARES_PER_MODEL, len(needs)) * engine_count
    share, remainder = divmod(shares, len(needs))
    quota = {need.model: share for need in needs}
    for need in sorted(needs, key=lambda need: (-need.work, need.model))[
        :remainder
    ]:
        quota[need.model] += 1
    return quota
