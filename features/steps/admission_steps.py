"""Steps for the admission policy."""

from behave import given, then, when

from anvilcove.decisions.admission import DeadlineAdmission
from anvilcove.decisions.types import Admit, PoolLoad, Refuse
from anvilcove.settings.classes import InteractiveClass


@given(
    'a pool whose batch work takes {batch_s:g} s and whose interactive work '
    'takes {interactive_s:g} s'
)
def make_pool(context, batch_s, interactive_s):
    """Create the load of a pool that is full and has batch work queued.

    The mean service time of the pool is that of batch work.
    """
    context.load = PoolLoad(
        endpoints=6,
        limit=12.0,
        in_flight=12,
        queued=20,
        queued_by_priority={0: 0, 1: 20},
        service_time_s=batch_s,
        own_service_time_s=interactive_s,
    )


@when('interactive work with a deadline of {deadline_s:g} s is offered')
def offer(context, deadline_s):
    """Offer one request at time 1.0 to the policy."""
    target = InteractiveClass(
        name='ask', pool='p', deadline_ms=int(deadline_s * 1000)
    )
    policy = DeadlineAdmission(None)
    context.verdict = policy.offer(1.0, target, context.load, 1.0 + deadline_s)


@then('it is admitted')
def check_admitted(context):
    """Check that the policy admitted the request."""
    assert isinstance(context.verdict, Admit), context.verdict


@then('it is refused')
def check_refused(context):
    """Check that the policy refused the request."""
    assert isinstance(context.verdict, Refuse), context.verdict
