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


@then('every engine holds the newest version of each model or the one before')
def check_usable(context):
    """Check that each engine can be used for the next step of each model."""
    for engine in context.engines:
        for model in MODELS:
            lag = context.targets[model] - engine.version_by_model[model]
            assert lag <= 1, (engine, context.targets)


@when(
    'every engine that holds the newest version of the first model is removed'
)
def remove_engines(context):
    """Remove the engines that hold the newest version of the first model."""
    newest = context.targets[MODELS[0]]
    left = [
        e for e in context.engines if e.version_by_model[MODELS[0]] < newest
    ]
    assert 0 < len(left) < len(context.engines), left
    context.engines = left


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
        EngineVersions(f'e{i}', dict.fromkeys('mno', 1)) for i in range(count)
    ]


@given('{count:d} idle engines that hold version 1 of two models')
def describe_engines_of_two(context, count):
    """Describe idle engines that hold the same version of two models."""
    context.engines = [
        EngineVersions(f'e{i}', dict.fromkeys('mn', 1)) for i in range(count)
    ]


@given(
    'engines {numbers} hold version {version:d} of the first model and run '
    'its items'
)
def describe_running(context, numbers, version):
    """Describe engines that run items of the first model."""
    describe_versions(context, numbers, version)
    for engine in numbered(context, numbers):
        engine.in_flight_by_model = {'m': 3}


@given('engines {numbers} hold version {version:d} of the first model')
def describe_versions(context, numbers, version):
    """Set the version of the first model."""
    for engine in numbered(context, numbers):
        engine.version_by_model['m'] = version


@given('engines {numbers} hold version {version:d} of the other models')
def describe_others(context, numbers, version):
    """Set the versions of the other models."""
    for engine in numbered(context, numbers):
        engine.version_by_model |= {'n': version, 'o': version}
    context.others = version


def numbered(context, numbers):
    """Return the engines with the given numbers."""
    return [context.engines[int(n)] for n in numbers.split(', ')]


@when('version {version:d} of the first model is named')
def name_version(context, version):
    """Set the target version of each model."""
    others = getattr(context, 'others', 1)
    context.needs = [
        ModelTarget(model, version if model == 'm' else others)
        for model in context.engines[0].version_by_model
    ]


@when(
    'version {version:d} of the first model and {others:d} of the others are '
    'named'
)
def name_versions_of_all(context, version, others):
    """Set the target version of each model."""
    context.others = others
    name_version(context, version)


@when('no item of the first model has run for {seconds:g} s')
def let_model_idle(context, seconds):
    """Set the time for which the first model was idle."""
    context.needs[0].idle_s = seconds


@when('the items of engine {number:d} have ended')
def end_items_of(context, number):
    """Let an engine run no item."""
    context.engines[number].in_flight_by_model = {}


def planned(context):
    """Return the orders for the current state."""
    return plan_loads(0.0, context.needs, context.engines)


@then('engine {number:d} is ordered to load')
def check_engine_ordered(context, number):
    """Check which engine is the only one that is ordered."""
    assert [o.endpoint for o in planned(context)] == [f'e{number}']


@then('{count:d} of its engines is ordered to load')
def check_count(context, count):
    """Check the number of orders."""
    orders = planned(context)
    assert len(orders) == count, orders


@then('no load of the first model is ordered')
def check_others_first(context):
    """Check that all orders are for the other models."""
    orders = planned(context)
    assert orders, orders
    assert all(order.model != 'm' for order in orders), orders


@then('{count:d} of its {total:d} engines are ordered to load')
def check_ordered(context, count, total):
    """Plan the loads for the current state and count the orders."""
    own = assign_models(context.needs, context.engines)['m']
    assert len(own) == total, own
    orders = planned(context)
    assert len(orders) == count, orders
    context.ordered = {order.endpoint for order in orders}


@then('none of its engines is ordered to load')
def check_none_ordered(context):
    """Plan the loads for the current state and expect no order."""
    orders = planned(context)
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
