"""Steps that call the ordering of waiting items directly."""

from behave import given, then, when

from anvilcove.decisions.item_order import HintCalibration, latest_start_s

OBJECTIVE_S = 7.5
OBSERVATION_COUNT = 50


@given('items with a length hint of {hint:d} tokens took {seconds:g} s each')
def observe(context, hint, seconds):
    """Let the scale of the hints learn from observed items."""
    context.scale = HintCalibration()
    context.steps = []
    for _ in range(OBSERVATION_COUNT):
        context.scale.observe(hint, seconds)


@given(
    'a step submitted at {seconds:g} s with items of {one:d} and {two:d} '
    'tokens'
)
def describe_step(context, seconds, one, two):
    """Add the two items of a step."""
    context.steps += [(seconds, one), (seconds, two)]


@when('the waiting items of both steps are ordered')
def order_items(context):
    """Sort the items by their latest start."""

    def start_s(item):
        submitted_s, hint = item
        expected_s = context.scale.expected_s(hint, OBJECTIVE_S)
        return latest_start_s(submitted_s, OBJECTIVE_S, expected_s)

    context.order = sorted(context.steps, key=start_s)


@then('they start in the order {names}')
def check_order(context, names):
    """Compare the order in which the items start."""
    found = [f'{seconds:g}/{hint}' for seconds, hint in context.order]
    assert found == names.split(', '), found
