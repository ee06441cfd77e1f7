"""Steps that offer work to the admission policy."""

from behave import given, then, when

from anvilcove.decisions.admission import DeadlineAdmission
from anvilcove.decisions.types import Admit, PoolLoad, Refuse
from anvilcove.settings.classes import InteractiveClass


@given(
    'a pool whose batch work takes {batch:g} s and whose interactive work '
    '{own:g} s'
)
def make_pool(context, batch, own):
    """Fill the pool with batch work."""
    context.load = PoolLoad(
        endpoints=6,
        limit=12.0,
        in_flight=12,
        queued=20,
        queued_by_priority={0: 0, 1: 20},
        service_time_s=batch,
        own_service_time_s=own,
    )


@when('interactive work with a deadline of {deadline:g} s is offered')
def offer(context, deadline):
    """Offer one request at time 1."""
    target = InteractiveClass(
        name='ask', pool='p', deadline_ms=int(deadline * 1000)
    )
    policy = DeadlineAdmission(None)
    context.verdict = policy.offer(1.0, target, context.load, 1.0 + deadline)


@then('it is admitted')
def check_admitted(context):
    """Check the verdict."""
    assert isinstance(context.verdict, Admit), context.verdict


@then('it is refused')
def check_refused(context):
    """Check the verdict."""
    assert isinstance(context.verdict, Refuse), context.verdict
