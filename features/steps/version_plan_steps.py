"""Steps that call the plan of version loads directly."""

from behave import given, then, when

from anvilcove.decisions.version_roll import (
    EngineVersions,
    ModelTarget,
    assign_models,
    plan_loads,
)

MODELS = ('m', 'n')


@given('{count:d} engines that hold version 1 of two models')
def engines(context, count):
    """Describe the engines."""
    context.engines = [
        EngineVersions(f'e{i}', dict.fromkeys(MODELS, 1)) for i in range(count)
    ]
    context.targets = dict.fromkeys(MODELS, 1)
    context.loads = []


def needs(context):
    """Return the needs of both models; the second has more work."""
    return [
        ModelTarget(model, context.targets[model], work)
        for work, model in enumerate(MODELS)
    ]


@when('each model gets {count:d} more versions, each loaded before the next')
def name_versions(context, count):
    """Name versions in turn and carry out every order."""
    for _ in range(count):
        for model in MODELS:
            context.targets[model] += 1
            while True:
                orders = plan_loads(0.0, needs(context), context.engines)
                if not orders:
                    break
                for order in orders:
                    engine = next(
                        e
                        for e in context.engines
                        if e.endpoint == order.endpoint
                    )
                    engine.version_by_model[order.model] = order.version
                    context.loads.append(order)


@then(
    'at most {most:d} loads of each model were ordered for its {count:d} '
    'versions'
)
def loads(context, most, count):
    """Compare with the free share: engines over models for each version.

    The engine that does not divide belongs to one of the models.
    """
    assert len(context.loads) <= len(MODELS) * most, len(context.loads)
    for model in MODELS:
        own = [order for order in context.loads if order.model == model]
        assert len(own) >= count, len(own)


@then('every engine followed one model all the time')
def followed(context):
    """Check that no engine changed sides."""
    models = {}
    for order in context.loads:
        models.setdefault(order.endpoint, set()).add(order.model)
    assert all(len(found) == 1 for found in models.values()), models


@when('every engine of the first model is lost')
def lose(context):
    """Remove the engines that follow a model."""
    model_by_endpoint = assign_models(needs(context), context.engines)
    context.engines = [
        e
        for e in context.engines
        if model_by_endpoint[e.endpoint] != MODELS[0]
    ]
    assert context.engines


@then('both models are held in their newest version somewhere')
def held(context):
    """Check the newest versions."""
    for model in MODELS:
        newest = context.targets[model]
        assert any(
            e.version_by_model[model] == newest for e in context.engines
        )


@given('{count:d} idle engines that hold version 1 of three models')
def idle_engines(context, count):
    """Describe engines that all hold the same."""
    context.engines = [
        EngineVersions(f'e{i}', dict.fromkeys(('m', 'n', 'o'), 1))
        for i in range(count)
    ]


@when('version {version:d} of the first model is named')
def name_one(context, version):
    """Keep what each model should have."""
    context.needs = [
        ModelTarget('m', version),
        ModelTarget('n', 1),
        ModelTarget('o', 1),
    ]


@then('{count:d} of its {total:d} engines are ordered to load')
def ordered(context, count, total):
    """Plan the loads of this moment."""
    own = [
        endpoint
        for endpoint, model in assign_models(
            context.needs, context.engines
        ).items()
        if model == 'm'
    ]
    assert len(own) == total, own
    orders = plan_loads(0.0, context.needs, context.engines)
    assert len(orders) == count, orders
    context.ordered = {order.endpoint for order in orders}


@then('none of its engines is ordered to load')
def none_ordered(context):
    """Plan the loads of this moment."""
    orders = plan_loads(0.0, context.needs, context.engines)
    assert not orders, orders


def ordered_engines(context):
    """Return the engines that the last orders named."""
    return [e for e in context.engines if e.endpoint in context.ordered]


@when('these are loading')
def are_loading(context):
    """Let the ordered engines load."""
    for engine in ordered_engines(context):
        engine.busy = True


@when('these have loaded')
def have_loaded(context):
    """Let the ordered engines hold the version."""
    for engine in ordered_engines(context):
        engine.busy = False
        engine.version_by_model['m'] = context.needs[0].target
