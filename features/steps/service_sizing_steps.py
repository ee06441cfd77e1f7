"""Steps on the sizes of services in the class document."""

import yaml
from behave import then, when

from anvilcove.settings.classes import declaration_errors

POOLS = ('p', 'q')


@when('class declarations have the services {services}')
def validate(context, services):
    """Keep the errors of a document with two pools."""
    fields = {'kind': 'background', 'complete_within_ms': 1}
    classes = [{**fields, 'name': pool, 'pool': pool} for pool in POOLS]
    document = {'classes': classes, 'services': yaml.safe_load(services)}
    context.errors = declaration_errors(document)


@then('the places of their errors are {places}')
def check_places(context, places):
    """Compare the places within the services; `.` is the list itself."""
    found = [error.partition(': ')[0] for error in context.errors]
    expected = [
        f'document.services{place}'.rstrip('.')
        for place in places.split(', ')
        if place != 'none'
    ]
    assert found == expected, context.errors


@then('their only error is "{error}"')
def check_only(context, error):
    """Compare the whole error."""
    assert context.errors == [error], context.errors
