"""Assignment of models to engines and scheduling of version loads."""

from msgspec import Struct
from xxhash import xxh3_64_intdigest

# Share of the engines that may load at the same time. The weight source serves
# about this many at full speed, and the others continue to answer.
MAX_LOADING_SHARE = 0.4
# New steps accept versions that are at most this far behind the newest one.
MAX_USABLE_LAG = 1


class EngineVersions(Struct):
    """Loaded versions and state of one engine.

    `busy` tells that it is loading a version. No order is given before
    `retry_at_s`. `in_flight` counts the requests of this daemon there.
    """

    endpoint: str
    version_by_model: dict[str, int]
    busy: bool = False
    retry_at_s: float = 0.0
    in_flight: int = 0


class ModelTarget(Struct):
    """Version that a model should have, and the amount of its work."""

    model: str
    target: int
    work: float = 1.0


class LoadOrder(Struct, frozen=True):
    """Order to an engine to load a version of a model."""

    endpoint: str
    model: str
    version: int


def plan_loads(
    now: float, needs: list[ModelTarget], engines: list[EngineVersions]
) -> list[LoadOrder]:
    """Return the load orders that may be given now.

    An engine pauses its runs while it loads. Steps also accept the version
    before the newest one, so an engine that has it loads the newest only when
    it is idle, or while fewer than half of the model's engines have the newest
    or are loading. The next step follows soon after its version is named: at
    most half of a model's engines load for it at the same time, so that its
    longest items can start on the others. An engine that lags further behind
    is ordered whether it is idle or not.
    """
    model_by_endpoint = assign_models(needs, engines)
    max_orders = max(int(len(engines) * MAX_LOADING_SHARE), 1)
    max_orders -= sum(engine.busy for engine in engines)
    orders: list[LoadOrder] = []
    for need in needs:
        assigned = [
            engine
            for engine in engines
            if model_by_endpoint.get(engine.endpoint) == need.model
        ]
        for engine in _engines_to_load(now, need, assigned)[
            : max(max_orders, 0)
        ]:
            max_orders -= 1
            orders.append(LoadOrder(engine.endpoint, need.model, need.target))
    return orders


def _engines_to_load(
    now: float, need: ModelTarget, assigned: list[EngineVersions]
) -> list[EngineVersions]:
    """Return the engines of a model that should load now, idle ones first."""

    def lag(engine: EngineVersions) -> int:
        return need.target - engine.version_by_model.get(need.model, 0)

    half = (len(assigned) + 1) // 2
    loading = sum(engine.busy for engine in assigned)
    still_needed = half - sum(
        lag(engine) <= 0 or engine.busy for engine in assigned
    )
    to_load: list[EngineVersions] = []
    for engine in sorted(
        assigned, key=lambda e: (e.in_flight, -lag(e), e.endpoint)
    ):
        if lag(engine) <= 0 or engine.busy or engine.retry_at_s > now:
            continue
        if lag(engine) > MAX_USABLE_LAG:
            to_load.append(engine)
        elif not engine.in_flight and loading + len(to_load) < half:
            to_load.append(engine)
        elif len(to_load) < still_needed:
            to_load.append(engine)
    return to_load


def assign_models(
    needs: list[ModelTarget], engines: list[EngineVersions]
) -> dict[str, str]:
    """Return the model whose versions each engine loads.

    Each model gets an equal number of engines, as only that many loads of each
    version are free; the remainder goes to the models with the most work. An
    engine keeps the model whose newest version it is closest to, so the
    assignment needs no stored state.
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


def _quotas(needs: list[ModelTarget], engine_count: int) -> dict[str, int]:
    if not needs:
        return {}
    share, remainder = divmod(engine_count, len(needs))
    quota = {need.model: share for need in needs}
    for need in sorted(needs, key=lambda need: (-need.work, need.model))[
        :remainder
    ]:
        quota[need.model] += 1
    return quota
