"""Which engines serve which model, and when they load a new version."""

from msgspec import Struct
from xxhash import xxh3_64_intdigest

# Share of the engines that may load at once; the weights' source serves about
# this many at full speed, and the others go on answering.
LOADING_SHARE = 0.4


class EngineHolding(Struct):
    """What is known of one engine.

    `busy` tells that it is loading, `retry_at_s` when an order may be given
    again, `in_flight` the work that this daemon has there.
    """

    endpoint: str
    version_by_model: dict[str, int]
    busy: bool = False
    retry_at_s: float = 0.0
    in_flight: int = 0


class ModelNeed(Struct):
    """The version that a model should have, and its share of the work."""

    model: str
    target: int
    work: float = 1.0


class LoadOrder(Struct, frozen=True):
    """Let an engine load a version."""

    endpoint: str
    model: str
    version: int


def plan_loads(
    now: float, needs: list[ModelNeed], engines: list[EngineHolding]
) -> list[LoadOrder]:
    """Return the orders that may be given now."""
    model_by_endpoint = assign(needs, engines)
    target_by_model = {need.model: need.target for need in needs}
    room = max(int(len(engines) * LOADING_SHARE), 1)
    room -= sum(engine.busy for engine in engines)
    room_by_model = _room_by_model(needs, engines, model_by_endpoint)
    orders: list[LoadOrder] = []
    for engine in sorted(engines, key=lambda e: (e.in_flight, e.endpoint)):
        model = model_by_endpoint.get(engine.endpoint)
        if model is None or engine.busy or engine.retry_at_s > now:
            continue
        target = target_by_model[model]
        behind = engine.version_by_model.get(model, 0) < target
        if not behind or room <= 0 or room_by_model[model] <= 0:
            continue
        room -= 1
        room_by_model[model] -= 1
        orders.append(LoadOrder(engine.endpoint, model, target))
    return orders


def assign(
    needs: list[ModelNeed], engines: list[EngineHolding]
) -> dict[str, str]:
    """Return the model that each engine follows.

    Engines are shared alike, since only as many loads of each version are
    free; what does not divide goes to the models with the most work. An
    engine stays with the model whose newest version it is closest to, so the
    assignment needs no memory.
    """
    quota = _quotas(needs, len(engines))
    pairs = sorted(
        (
            (
                need.target - engine.version_by_model.get(need.model, 0),
                xxh3_64_intdigest(f'{engine.endpoint}/{need.model}'.encode()),
                engine.endpoint,
                need.model,
            )
            for need in needs
            for engine in engines
            if need.model in engine.version_by_model
        ),
    )
    model_by_endpoint: dict[str, str] = {}
    for _, _, endpoint, model in pairs:
        if endpoint not in model_by_endpoint and quota[model] > 0:
            model_by_endpoint[endpoint] = model
            quota[model] -= 1
    return model_by_endpoint


def _quotas(needs: list[ModelNeed], engines: int) -> dict[str, int]:
    if not needs:
        return {}
    share, left = divmod(engines, len(needs))
    quota = {need.model: share for need in needs}
    for need in sorted(needs, key=lambda n: (-n.work, n.model))[:left]:
        quota[need.model] += 1
    return quota


def _room_by_model(
    needs: list[ModelNeed],
    engines: list[EngineHolding],
    model_by_endpoint: dict[str, str],
) -> dict[str, int]:
    """Return how many more engines of each model may load at once.

    Half of them go on answering, if there are two or more.
    """
    room = {}
    for need in needs:
        own = [
            e
            for e in engines
            if model_by_endpoint.get(e.endpoint) == need.model
        ]
        loading = sum(engine.busy for engine in own)
        room[need.model] = max(len(own) // 2, 1) - loading
    return room
