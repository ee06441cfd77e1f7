"""Which engines serve which model, and when they load a new version."""

from msgspec import Struct
from xxhash import xxh3_64_intdigest

# Share of the engines that may load at once; the weights' source serves about
# this many at full speed, and the others go on answering.
LOADING_SHARE = 0.4
# Versions behind the newest one that new steps still accept.
USABLE_LAG = 1


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
    """Return the orders that may be given now.

    A load stops the runs of an engine for its time. Steps accept the version
    before the newest one too, so an engine that has it is ordered when it is
    idle, once half of the model's engines have the newest. The next step comes
    just after its version is named: no more than half of the engines load at
    once, so that its longest items can start on the others.
    """
    model_by_endpoint = assign(needs, engines)
    room = max(int(len(engines) * LOADING_SHARE), 1)
    room -= sum(engine.busy for engine in engines)
    orders: list[LoadOrder] = []
    for need in needs:
        own = [
            engine
            for engine in engines
            if model_by_endpoint.get(engine.endpoint) == need.model
        ]
        for engine in _due(now, need, own)[: max(room, 0)]:
            room -= 1
            orders.append(LoadOrder(engine.endpoint, need.model, need.target))
    return orders


def _due(
    now: float, need: ModelNeed, own: list[EngineHolding]
) -> list[EngineHolding]:
    """Return the engines of a model that should load now, best first."""

    def lag(engine: EngineHolding) -> int:
        return need.target - engine.version_by_model.get(need.model, 0)

    half = (len(own) + 1) // 2
    loading = sum(engine.busy for engine in own)
    wanted = half - sum(lag(engine) <= 0 or engine.busy for engine in own)
    due: list[EngineHolding] = []
    for engine in sorted(
        own, key=lambda e: (e.in_flight, -lag(e), e.endpoint)
    ):
        if lag(engine) <= 0 or engine.busy or engine.retry_at_s > now:
            continue
        if lag(engine) > USABLE_LAG:
            due.append(engine)
        elif not engine.in_flight and loading + len(due) < half:
            due.append(engine)
        elif len(due) < wanted:
            due.append(engine)
    return due


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
