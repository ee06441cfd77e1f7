"""Steps that call the order of waiting items."""

from behave import given, then, when

from anvilcove.decisions.item_order import HintCalibration, latest_start_s

OBJECTIVE_S = 7.5
OBSERVED = 50


@given('items of {hint:d} hinted tokens took {seconds:g} s each')
def observed(context, hint, seconds):
    """Learn the scale of the hints."""
    context.scale = HintCalibration()
    context.steps = []
    for _ in range(OBSERVED):
        context.scale.observe(hint, seconds)


@given(
    'a step submitted at {seconds:g} s with items of {one:d} and {two:d} '
    'tokens'
)
def step(context, seconds, one, two):
    """Describe a step."""
    context.steps += [(seconds, one), (seconds, two)]


@when('the items of both steps wait')
def wait(context):
    """Put the items into order."""

    def start_s(item):
        submitted_s, hint = item
        expected_s = context.scale.expected_s(hint, OBJECTIVE_S)
        return latest_start_s(submitted_s, OBJECTIVE_S, expected_s)

    context.order = sorted(context.steps, key=start_s)


@then('they start in the order {names}')
def order(context, names):
    """Compare the order."""
    found = [f'{seconds:g}/{hint}' for seconds, hint in context.order]
    assert found == names.split(', '), found
