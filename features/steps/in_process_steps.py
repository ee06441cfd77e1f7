"""Steps for scenarios that run a site in one process."""

import asyncio
import json
import uuid

from behave import given, then, when
from in_process import InProcessSite
from request_steps import claim_states, post, record_outcome
from site_steps import host_url, run, wait_for

from anvilcove.commands.requests.dispatch import Dispatcher
from anvilcove.decisions.types import RouteRequest


@given('a site in one process with {hosts:d} hosts and {services:d} services')
@given('a site in one process with {hosts:d} host and {services:d} service')
def start_in_process(context, hosts, services):
    """Start daemons and stand-ins on the event loop of the scenario."""
    context.site = InProcessSite()
    run(context, context.site.start(hosts, services))


@given('host {host:w} is paused past the deadline after its next claim')
def hook_pause(context, host):
    """Set the clock of the host ahead once its next claim is written."""
    context.site.table_by_host[host].hook = 'pause'


@given('host {host:w} is paused and the store goes down after its next claim')
def hook_pause_and_outage(context, host):
    """As a pause, and let the store go down at the same time."""
    context.site.table_by_host[host].hook = 'pause and outage'


@given('the claims of host {host:w} are delayed')
def hook_delay(context, host):
    """Hold back the claims of a host and lose their responses."""
    context.site.table_by_host[host].hook = 'delay'


@when('the delayed claims of host {host:w} take effect')
def apply_delayed(context, host):
    """Apply the claims that were held back."""
    run(context, context.site.table_by_host[host].apply_delayed())


@when('host {host:w} is stopped')
def stop_host(context, host):
    """Stop a daemon."""
    run(context, context.site.stop_host(host))


@when('host {host:w} is restarted')
def restart_host(context, host):
    """Replace a daemon by one without its state in memory."""

    async def restart():
        await context.site.stop_host(host)
        await context.site.start_host(host)
        daemon = context.site.daemon_by_host[host]
        await wait_for(lambda: accepts_work(daemon))

    run(context, restart())


async def accepts_work(daemon):
    """Return whether a daemon accepts new work."""
    return not daemon.context.refusal_reason()


@when(
    'posting {key} is sent to host {host:w} with a deadline of '
    '{deadline_ms:d} ms'
)
def post_with_deadline(context, key, host, deadline_ms):
    """Send a posting with a short deadline."""
    outcome = run(context, post(context, host, key, deadline_ms=deadline_ms))
    record_outcome(context, outcome)


@when('{count:d} postings are sent at the same time to host {host:w}')
def post_many(context, count, host):
    """Send postings with different keys concurrently."""

    async def send():
        keys = [f'many-{number}' for number in range(count)]
        return await asyncio.gather(*(post(context, host, k) for k in keys))

    for outcome in run(context, send()):
        record_outcome(context, outcome)


@then('the claims were written in at most {count:d} transactions')
def check_group_commit(context, count):
    """Check that claims were written in shared transactions."""
    written = sum(t.claim_writes for t in context.site.table_by_host.values())
    assert 0 < written <= count, written


@then('every posting ran 1 time')
def check_every_posting(context):
    """Check that each answered posting was started exactly once."""
    ran = [
        line['body']['posting']
        for service in context.site.service_by_id.values()
        for line in service.journal
        if line['event'] == 'started'
    ]
    answered = {o['answer']['echo']['posting'] for o in context.outcomes}
    assert sorted(ran) == sorted(answered), ran


@given('the fault switches of the services are set to {switches}')
@when('the fault switches of the services are set to {switches}')
def set_service_faults(context, switches):
    """Set fault switches of every service of the site in one process."""
    for service in context.site.service_by_id.values():
        service.set_faults(json.loads(switches))


@then('the claim of posting {key} went through {states}')
def check_claim_states(context, key, states):
    """Wait until exactly these states were written for the claim of a key."""
    expected = states.split(', ')

    async def reached():
        return await claim_states(context, key) == expected

    run(context, wait_for(reached))


@given('the services refuse all calls')
def refuse_calls(context):
    """Set the queue so that the services refuse every call."""
    for service in context.site.service_by_id.values():
        service.options.queue = -service.options.workers


@when('the services accept calls')
def accept_calls(context):
    """Give the services a queue of the usual length again."""
    for service in context.site.service_by_id.values():
        service.options.queue = 64


@when('a lookup is sent to host {host:w}')
def send_lookup(context, host):
    """Send a repeatable request."""
    record_outcome(context, run(context, lookup(context, host)))


@when(
    'a lookup is sent to host {host:w} with a deadline of {deadline_ms:d} ms'
)
def send_lookup_with_deadline(context, host, deadline_ms):
    """Send a repeatable request with a short deadline."""
    outcome = run(context, lookup(context, host, deadline_ms=deadline_ms))
    record_outcome(context, outcome)


async def lookup(context, host, **changes):
    """Send a lookup whose body contains the identifier of the request."""
    request_id = f'{host}.{uuid.uuid4().hex}'
    context.last_id = request_id
    body = {'lookup': request_id}
    changes = {'request_id': request_id, 'body': body, **changes}
    return await post(
        context, host, '', class_name='lookup', repeatable=True, **changes
    )


@when('{count:d} lookups are sent at the same time to host {host:w}')
def send_lookups(context, count, host):
    """Send repeatable requests concurrently."""

    async def send():
        return await asyncio.gather(
            *(lookup(context, host) for _ in range(count))
        )

    for outcome in run(context, send()):
        record_outcome(context, outcome)


@then('every answer belongs to its request')
def check_own_answers(context):
    """Check that each answer echoes the request that it answers."""
    for outcome in context.outcomes:
        echo = outcome['answer']['echo']
        assert echo == {'lookup': outcome['request_id']}, outcome


@when('a queued request gets a slot at an endpoint that then starts leaving')
def leave_before_send(context):
    """Mark an endpoint as leaving after the grant of its slot, before its use.

    Both endpoints are full, so that the lookup is queued until the first
    slot is released. The second slot is released only after the mark.
    """
    daemon = context.site.daemon_by_host['h1']
    view = daemon.context.endpoints
    dispatcher = daemon.context.component(Dispatcher)

    async def mark_while_queued():
        slots = [fill(daemon.context, dispatcher, e) for e in list(view.by_id)]
        waiting = asyncio.create_task(lookup(context, 'h1'))
        await wait_for(lambda: queued(dispatcher))
        context.leaving_endpoint = slots[0].state.endpoint
        slots[0].release('ok')
        view.mark_leaving(context.leaving_endpoint)
        slots[1].release('ok')
        return await waiting

    record_outcome(context, run(context, mark_while_queued()))


def fill(context, dispatcher, endpoint):
    """Limit an endpoint to one request and acquire its only slot."""
    state = context.endpoints.by_id[endpoint]
    state.limit = 1.0
    others = set(context.endpoints.by_id) - {endpoint}
    request = RouteRequest(
        request_id='filler',
        class_name='lookup',
        kind='interactive',
        pool=state.pool,
        excluded=others,
    )
    slot = dispatcher.try_acquire(request)
    assert slot is not None
    return slot


async def queued(dispatcher):
    """Return whether exactly one request is queued."""
    return dispatcher.queued('account-app') == 1


@then('the leaving endpoint received no call')
def check_leaving_endpoint(context):
    """Check that the leaving endpoint received nothing."""
    journal = context.site.service_by_id[context.leaving_endpoint].journal
    assert not any(line['event'] == 'received' for line in journal), journal


@when('a caller of host {host:w} disconnects during its lookup')
def disconnect_during_lookup(context, host):
    """Close the connection of a caller once a service runs its request."""
    dispatcher = context.site.daemon_by_host[host].context.component(
        Dispatcher
    )
    context.dispatcher = dispatcher

    async def disconnect():
        sending = asyncio.create_task(
            lookup(context, host, deadline_ms=600_000)
        )
        await wait_for(lambda: started(context))
        sending.cancel()
        await asyncio.gather(sending, return_exceptions=True)

    run(context, disconnect())


@when('posting {key} is running')
def wait_until_running(context, key):
    """Wait until a service runs something; the posting is the only request."""
    run(context, wait_for(lambda: started(context)))


async def started(context):
    """Return whether a service has started any call."""
    return any(
        line['event'] == 'started'
        for service in context.site.service_by_id.values()
        for line in service.journal
    )


@then('its slot at the endpoint is free again')
def check_slot(context):
    """Wait until no attempt is in flight in the pool."""

    async def free():
        return context.dispatcher.load('account-app', '').in_flight == 0

    run(context, wait_for(free))


@when('the recorded outcomes are cleared')
def clear_outcomes(context):
    """Start a new list of outcomes."""
    context.outcomes = []


@when('its outcome is requested from host {host:w}')
def request_outcome(context, host):
    """Request the outcome of the last request from another host."""

    async def fetch():
        url = f'{host_url(context, host)}/v1/requests/{context.last_id}'
        async with context.session.get(url) as response:
            return await response.json()

    record_outcome(context, run(context, fetch()))


@when('its identifier is sent with another body to host {host:w}')
def send_other_body(context, host):
    """Send the identifier of the last request with another body."""
    message = {**context.message, 'body': {'lookup': 'other'}}
    record_outcome(context, run(context, post(context, host, '', **message)))


@then('no request was started')
def check_none_started(context):
    """Check that no service started a call."""
    check_started(context, 0)


@then('{count:d} request was started')
def check_started(context, count):
    """Check how many calls the services started."""
    lines = [
        line
        for service in context.site.service_by_id.values()
        for line in service.journal
        if line['event'] == 'started'
    ]
    assert len(lines) == count, lines


@then('each truncated or crossed answer was requested again')
def check_requested_again(context):
    """Check that each unusable answer led to exactly one more call."""
    lines = [
        line
        for service in context.site.service_by_id.values()
        for line in service.journal
    ]
    unusable = sum(line.get('completed') is False for line in lines)
    assert unusable > 0
    check_started(context, len(context.outcomes) + unusable)


@then('every refusal has a retry-after time')
def check_retry_after(context):
    """Check that each refusal has a positive retry-after time."""
    assert all(o['retry_after_ms'] > 0 for o in context.outcomes)


@then('postings with these changes are refused with 400')
def check_validation(context):
    """Send invalid postings; each must be refused with a reason."""
    for row in context.table:
        changes = json.loads(row['change'])
        answer = run(context, post(context, 'h1', 'strict', **changes))
        assert answer['status'] == 400 and answer['reason'], (row, answer)
