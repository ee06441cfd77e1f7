"""Steps that call the planning of version loads directly."""

from behave import given, then, when

from anvilcove.decisions.version_roll import (
    EngineVersions,
    ModelTarget,
    assign_models,
    plan_loads,
)

MODELS = ('m', 'n')


@given('{count:d} engines that hold version 1 of two models')
def describe_engines(context, count):
    """Describe engines that hold the same version of both models."""
    context.engines = [
        EngineVersions(f'e{i}', dict.fromkeys(MODELS, 1)) for i in range(count)
    ]
    context.targets = dict.fromkeys(MODELS, 1)
    context.loads = []


def model_needs(context):
    """Return the needs of both models; the second has more work."""
    return [
        ModelTarget(model, context.targets[model], work)
        for work, model in enumerate(MODELS)
    ]


@when('each model gets {count:d} more versions, each loaded before the next')
def name_versions(context, count):
    """Name versions of the models in turn and carry out every order."""
    for _ in range(count):
        for model in MODELS:
            context.targets[model] += 1
            while True:
                orders = plan_loads(0.0, model_needs(context), context.engines)
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
def check_loads(context, most, count):
    """Check the number of loads.

    Each version is loaded by the engines of its model, the share being
    engines / models. An engine left over by the division belongs to one of
    the models, so the upper bound holds for the sum over both.
    """
    assert len(context.loads) <= len(MODELS) * most, len(context.loads)
    for model in MODELS:
        own = [order for order in context.loads if order.model == model]
        assert len(own) >= count, len(own)


@then('every engine was ordered to load versions of one model only')
def check_single_model(context):
    """Check that no engine changed from one model to the other."""
    models = {}
    for order in context.loads:
        models.setdefault(order.endpoint, set()).add(order.model)
    assert all(len(found) == 1 for found in models.values()), models


@when('every engine that is assigned to the first model is removed')
def remove_engines(context):
    """Remove the engines that are assigned to the first model."""
    model_by_endpoint = assign_models(model_needs(context), context.engines)
    context.engines = [
        e
        for e in context.engines
        if model_by_endpoint[e.endpoint] != MODELS[0]
    ]
    assert context.engines


@then('at least one engine holds the newest version of each model')
def check_newest(context):
    """Check that some engine holds the newest version of each model."""
    for model in MODELS:
        newest = context.targets[model]
        assert any(
            e.version_by_model[model] == newest for e in context.engines
        )


@given('{count:d} idle engines that hold version 1 of three models')
def describe_idle_engines(context, count):
    """Describe idle engines that hold the same version of all models."""
    context.engines = [
        EngineVersions(f'e{i}', dict.fromkeys(('m', 'n', 'o'), 1))
        for i in range(count)
    ]


@when('version {version:d} of the first model is named')
def name_version(context, version):
    """Set the target version of each model."""
    context.needs = [
        ModelTarget('m', version),
        ModelTarget('n', 1),
        ModelTarget('o', 1),
    ]


@then('{count:d} of its {total:d} engines are ordered to load')
def check_ordered(context, count, total):
    """Plan the loads for the current state and count the orders."""
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
def check_none_ordered(context):
    """Plan the loads for the current state and expect no order."""
    orders = plan_loads(0.0, context.needs, context.engines)
    assert not orders, orders


def ordered_engines(context):
    """Return the engines that the last orders were sent to."""
    return [e for e in context.engines if e.endpoint in context.ordered]


@when('the ordered engines are loading')
def start_loading(context):
    """Mark the ordered engines as busy."""
    for engine in ordered_engines(context):
        engine.busy = True


@when('the ordered engines have loaded')
def finish_loading(context):
    """Let the ordered engines hold the version."""
    for engine in ordered_engines(context):
        engine.busy = False
        engine.version_by_model['m'] = context.needs[0].target
