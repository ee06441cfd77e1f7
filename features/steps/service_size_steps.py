"""Steps that run the policies for the size of a service on a model."""

import json

from behave import given, then, when
from size_model import SizeModel

from anvilcove.decisions.size_mix import (
    EngineGroup,
    MixLimits,
    cheapest_mix,
    safe_count,
)
from anvilcove.platform.rows import decode_desired_state, decode_endpoint
from anvilcove.ports.store import RowId, StoredRow
from anvilcove.state.size_bounds import SizeBounds

BOUNDS = SizeBounds(1, 20, 4.0, 0.4, {'a': 1.0, 'b': 1.1, 'c': 1.2})


def trainer(start_s, end_s, items, seconds, period_s=4.0):
    """Return the steps of a trainer: time, items, mean seconds of an item."""
    count = int((end_s - start_s) / period_s)
    return [(start_s + n * period_s, items, seconds) for n in range(count)]


def interface_away(model):
    """Let orders fail for 10 s."""
    model.away_until_s = model.now + 10.0


def crash(model):
    """Lose three engines and, for 2 s, all orders."""
    del model.engines[:3]
    model.away_until_s = model.now + 2.0


# Run time, reserved and reclaimable engines by data centre, steps, events,
# share of slow engines.
LOADS = {
    'a trainer starts, doubles, stops': (
        200,
        (2, 0),
        trainer(2, 62, 60, 2.0) + trainer(62, 110, 120, 2.0),
    ),
    'four trainers in phase': (160, (5, 0), trainer(2, 150, 60, 2.0) * 4),
    'four trainers out of phase': (
        160,
        (5, 0),
        [step for n in range(4) for step in trainer(2 + n, 150, 60, 2.0)],
    ),
    'a wave of 11 s': (
        400,
        (3, 0),
        trainer(2, 390, 40, 2.0) + trainer(6, 390, 150, 2.0, 11.0),
    ),
    "a group is reclaimed at a step's end": (
        120,
        (2, 5),
        trainer(2, 110, 160, 2.0),
        [(42.5, lambda model: model.reclaim('a'))],
    ),
    'a flood': (
        80,
        (4, 0),
        trainer(2, 70, 40, 2.0) + trainer(30, 42, 9000, 1.0),
    ),
    'a flood at the start': (
        80,
        (4, 0),
        trainer(2, 70, 40, 2.0) + trainer(2, 14, 9000, 1.0),
    ),
    'a fifth of the engines slow': (
        160,
        (5, 0),
        trainer(2, 150, 150, 1.4),
        [],
        0.2,
    ),
    'the interface is away for 10 s': (
        140,
        (2, 0),
        trainer(2, 130, 60, 2.0) + trainer(50, 130, 60, 2.0),
        [(50, interface_away)],
    ),
    'a third of the capacity': (600, (6, 0), trainer(2, 590, 75, 2.0)),
    'no engines in one data centre': (
        120,
        (3, 0),
        trainer(2, 110, 60, 2.0) + trainer(42, 110, 120, 2.0),
        [(1, lambda model: model.sold_out.add('a'))],
    ),
    'engines crash and an order is lost': (
        60,
        (4, 0),
        trainer(2, 50, 60, 2.0),
        [(20, crash)],
    ),
}


@when('the jobs of "{name}" run with each size policy')
def run_load(context, name):
    """Run the same load with each policy and print the figures."""
    seconds, (reserved, reclaimable), steps, events, slow_share = (
        *LOADS[name],
        *([], 0.0)[len(LOADS[name]) - 3 :],
    )
    counts = {
        EngineGroup(centre, kind): reclaimable if kind else reserved
        for centre in 'abc'
        for kind in (False, True)
    }
    context.models = {}
    for variant in ('fixed', 'utilization', 'demand'):
        model = SizeModel(variant, BOUNDS, counts, 4.0, slow_share)
        model.run(seconds, steps, events)
        context.models[variant] = model
        print(
            f'{variant}: {model.late()} of {len(model.steps)} steps late, '
            f'price {model.cost:.0f}, {len(model.orders)} orders'
        )


@then('with `demand` at most {count:d} steps are late')
def check_late(context, count):
    """Compare the number of late steps with its bound."""
    assert context.models['demand'].late() <= count


@then('no policy has fewer late steps')
def check_best(context):
    """Compare the late steps with those of the baselines."""
    late = {name: model.late() for name, model in context.models.items()}
    assert late['demand'] == min(late.values()), late


@then('`demand` costs at most {factor:g} times as much as `{other}`')
def check_cost(context, factor, other):
    """Compare the price with that of a baseline."""
    ratio = context.models['demand'].cost / context.models[other].cost
    assert ratio <= factor, ratio


@then('at least 20 s pass between an increase and a decrease')
def check_flapping(context):
    """Compare the times of orders in both directions."""
    orders = context.models['demand'].orders
    increases = [at_s for at_s, change, _ in orders if change > 0]
    for at_s, change, group in orders:
        before = [i for i in increases if i <= at_s]
        assert change >= 0 or not before or at_s - before[-1] >= 19.9, group


@then('only reclaimed engines cut items')
def check_cut(context):
    """Check that ordered decreases let work finish."""
    model = context.models['demand']
    assert not model.cut or model.sold_out, model.cut


@then('`demand` orders nothing')
def check_no_increase(context):
    """Check that no order was given."""
    assert not context.models['demand'].orders


@then('refusals of `demand` in a data centre are at least 10 s apart')
def check_refusals(context):
    """Check that some were refused, and how far apart."""
    times = sorted({at_s for at_s, _ in context.models['demand'].refusals})
    assert len(times) > 1, times
    assert all(b - a >= 9.9 for a, b in zip(times, times[1:], strict=False))


@then('`demand` repeats the order at once and after 6 to 8 s')
def check_repeated(context):
    """Check the times of orders that repeat a number."""
    model = context.models['demand']
    repeats = [
        at_s for at_s, before, number in model.tried if before == number
    ]
    assert 20 <= repeats[0] <= 21 and 6 <= repeats[1] - repeats[0] <= 8


@given('data centres with prices {prices}, reclaimable ones at {fraction:g}')
def describe_prices(context, prices, fraction):
    """Set the prices of the groups."""
    context.prices = {
        EngineGroup(f'dc{number}', kind): float(price)
        * (fraction if kind else 1.0)
        for number, price in enumerate(prices.split(','))
        for kind in (False, True)
    }


@when('12 engines are needed with at most {maximum:d} in a data centre')
def plan_mix(context, maximum):
    """Compute the cheapest mix."""
    limits = MixLimits(0, maximum, context.prices, {}, {})
    context.mix = cheapest_mix(12, limits)


@then(
    'the mix has {reserved:d} reserved and {reclaimable:d} reclaimable engines'
)
def check_mix(context, reserved, reclaimable):
    """Compare the numbers of both kinds."""
    found = [0, 0]
    for group, count in context.mix.items():
        found[group.reclaimable] += count
    assert found == [reserved, reclaimable], context.mix


@then('12 engines remain when the largest group goes')
def check_safe(context):
    """Check the mix without its largest reclaimable group."""
    assert safe_count(context.mix) >= 12, context.mix


@when('the desired state has the scaling {scaling}')
def decode_scaling(context, scaling):
    """Decode a desired state with one service."""
    service = {'name': 's', 'scaling': json.loads(scaling)}
    state = {'version': 1, 'services': [service]}
    decoded = decode_desired_state(json.dumps(state).encode())
    context.bounds = decoded.services_by_name['s'].size_bounds


@then('the bounds are {expected}')
def check_bounds(context, expected):
    """Compare the bounds, and the prices of both kinds in `a`."""
    found, text = context.bounds, 'none'
    if found is not None:
        prices = found.price('a', False), found.price('a', True)
        text = f'{found.minimum} {found.maximum} {found.boot_s:g} '
        text += ' '.join(map(str, prices))
    assert text == expected, text


@when("an endpoint's row has the fields {fields}")
def decode_row(context, fields):
    """Decode the row of an endpoint."""
    row = {'state': 'ready', 'service': 's', 'address': '1.2.3.4:5'}
    row |= {'zone': 'a', **json.loads(fields)}
    value = json.dumps(row).encode()
    context.entry = decode_endpoint(StoredRow(RowId('t', '', 'e'), value, 1))


@then('it is listed as {expected}')
def check_listed(context, expected):
    """Compare whether it is reclaimable and leaves, and when."""
    entry = context.entry
    found = f'{entry.reclaimable} {entry.draining} {entry.leaves_s}'
    assert found == expected, found
