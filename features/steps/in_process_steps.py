"""Steps of the scenarios that run a site in one process."""

import asyncio
import json
import uuid

from behave import given, then, when
from in_process import InProcessSite
from request_steps import claim_states, post, remember
from site_steps import host_url, run, wait_for

from anvilcove.commands.requests.dispatch import Dispatcher
from anvilcove.decisions.types import RouteRequest


@given('a site in one process with {hosts:d} hosts and {services:d} services')
@given('a site in one process with {hosts:d} host and {services:d} service')
def start_in_process(context, hosts, services):
    """Start daemons and stand-ins on the loop of the scenario."""
    context.site = InProcessSite()
    run(context, context.site.start(hosts, services))


@given('the next claim of host {host:w} ends in a pause past the deadline')
def hook_pause(context, host):
    """Let the clock jump after the next claim was written."""
    context.site.table_by_host[host].hook = 'pause'


@given('the next claim of host {host:w} ends in a pause and an outage')
def hook_pause_and_outage(context, host):
    """Let the store go down while the process is paused."""
    context.site.table_by_host[host].hook = 'pause and outage'


@given('the claims of host {host:w} are delayed')
def hook_delay(context, host):
    """Let the claims take effect only after their answers were given up."""
    context.site.table_by_host[host].hook = 'delay'


@when('the delayed claims of host {host:w} take effect')
def apply_delayed(context, host):
    """Apply what was delayed."""
    run(context, context.site.table_by_host[host].apply_delayed())


@when('host {host:w} is stopped')
def stop_host(context, host):
    """Stop a daemon."""
    run(context, context.site.stop_host(host))


@when('host {host:w} is started again')
def start_again(context, host):
    """Replace a daemon by one without its memory."""

    async def replace():
        await context.site.stop_host(host)
        await context.site.start_host(host)
        daemon = context.site.daemon_by_host[host]
        await wait_for(lambda: confirmed(daemon))

    run(context, replace())


async def confirmed(daemon):
    """Tell whether a daemon takes work."""
    return not daemon.context.refusal_reason()


@when('posting {key} is sent to host {host:w} with {wait_ms:d} ms left')
def post_in_a_hurry(context, key, host, wait_ms):
    """Send one key with a short deadline."""
    outcome = run(context, post(context, host, key, deadline_ms=wait_ms))
    remember(context, outcome)


@when('{count:d} postings are sent at the same time to host {host:w}')
def post_many(context, count, host):
    """Send many keys at once."""

    async def send():
        keys = [f'many-{number}' for number in range(count)]
        return await asyncio.gather(*(post(context, host, k) for k in keys))

    for outcome in run(context, send()):
        remember(context, outcome)


@then('the claims were written in at most {count:d} transactions')
def check_group_commit(context, count):
    """Check that claims share transactions."""
    written = sum(t.claim_writes for t in context.site.table_by_host.values())
    assert 0 < written <= count, written


@then('every posting ran 1 time')
def check_every_posting(context):
    """Check that no posting was left out or ran twice."""
    ran = [
        line['body']['posting']
        for service in context.site.service_by_id.values()
        for line in service.journal
        if line['event'] == 'started'
    ]
    answered = {o['answer']['echo']['posting'] for o in context.outcomes}
    assert sorted(ran) == sorted(answered), ran


@given('the services switch {switches}')
@when('the services switch {switches}')
def set_service_faults(context, switches):
    """Set fault switches of every service in this process."""
    for service in context.site.service_by_id.values():
        service.set_faults(json.loads(switches))


@then('the claim of posting {key} went through {states}')
def check_claim_states(context, key, states):
    """Wait until the row of a key has gone through some states."""
    expected = states.split(', ')

    async def reached():
        return await claim_states(context, key) == expected

    run(context, wait_for(reached))


@given('the services refuse all calls')
def refuse_calls(context):
    """Let the services answer that they ran nothing."""
    for service in context.site.service_by_id.values():
        service.options.queue = -service.options.workers


@when('the services accept calls')
def accept_calls(context):
    """Let the services run calls again."""
    for service in context.site.service_by_id.values():
        service.options.queue = 64


@when('a lookup is sent to host {host:w}')
def send_lookup(context, host):
    """Send a repeatable request."""
    remember(context, run(context, lookup(context, host)))


@when('a lookup is sent to host {host:w} with {wait_ms:d} ms left')
def send_lookup_in_a_hurry(context, host, wait_ms):
    """Send a repeatable request with a short deadline."""
    outcome = run(context, lookup(context, host, deadline_ms=wait_ms))
    remember(context, outcome)


async def lookup(context, host, **changes):
    """Send a lookup whose body names its identifier."""
    request_id = f'{host}.{uuid.uuid4().hex}'
    context.last_id = request_id
    body = {'lookup': request_id}
    changes = {'request_id': request_id, 'body': body, **changes}
    return await post(
        context, host, '', class_name='lookup', repeatable=True, **changes
    )


@when('{count:d} lookups are sent at the same time to host {host:w}')
def send_lookups(context, count, host):
    """Send repeatable requests at once."""

    async def send():
        return await asyncio.gather(
            *(lookup(context, host) for _ in range(count))
        )

    for outcome in run(context, send()):
        remember(context, outcome)


@then('every answer belongs to its request')
def check_own_answers(context):
    """Check that each answer echoes the request that it answers."""
    for outcome in context.outcomes:
        echo = outcome['answer']['echo']
        assert echo == {'lookup': outcome['request_id']}, outcome


@when('a waiting request gets a place at an endpoint that then leaves')
def leave_before_send(context):
    """Mark an endpoint between the grant of a slot and its use."""
    daemon = context.site.daemon_by_host['h1']
    view = daemon.context.endpoints
    dispatcher = daemon.context.component(Dispatcher)

    async def leave():
        slots = [take(daemon.context, dispatcher, e) for e in list(view.by_id)]
        waiting = asyncio.create_task(lookup(context, 'h1'))
        await wait_for(lambda: queued(dispatcher))
        context.left = slots[0].state.endpoint
        slots[0].release('ok')
        view.mark_leaving(context.left)
        slots[1].release('ok')
        return await waiting

    remember(context, run(context, leave()))


def take(context, dispatcher, endpoint):
    """Fill an endpoint with one request."""
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
    """Tell whether a request waits."""
    return dispatcher.queued('account-app') == 1


@then('the endpoint that left got no call')
def check_left(context):
    """Check that nothing reached the leaving endpoint."""
    journal = context.site.service_by_id[context.left].journal
    assert not any(line['event'] == 'received' for line in journal), journal


@when('a caller of host {host:w} leaves during its lookup')
def leave_lookup(context, host):
    """Close the connection of a caller once its request runs."""
    dispatcher = context.site.daemon_by_host[host].context.component(
        Dispatcher
    )
    context.dispatcher = dispatcher

    async def leave():
        sending = asyncio.create_task(
            lookup(context, host, deadline_ms=600_000)
        )
        await wait_for(lambda: started(context))
        sending.cancel()
        await asyncio.gather(sending, return_exceptions=True)

    run(context, leave())


@when('posting {key} is running')
def wait_until_running(context, key):
    """Wait until a service runs the only posting."""
    run(context, wait_for(lambda: started(context)))


async def started(context):
    """Tell whether a service runs anything."""
    return any(
        line['event'] == 'started'
        for service in context.site.service_by_id.values()
        for line in service.journal
    )


@then('its place at the endpoint is free again')
def check_place(context):
    """Wait until the attempt of the caller has ended."""

    async def free():
        return context.dispatcher.load('account-app', '').in_flight == 0

    run(context, wait_for(free))


@when('the outcomes are forgotten')
def forget_outcomes(context):
    """Start a new list of outcomes."""
    context.outcomes = []


@when('its outcome is asked of host {host:w}')
def ask_outcome(context, host):
    """Attach to the last request at another host."""

    async def ask():
        url = f'{host_url(context, host)}/v1/requests/{context.last_id}'
        async with context.session.get(url) as response:
            return await response.json()

    remember(context, run(context, ask()))


@when('its identifier is sent with another body to host {host:w}')
def send_other_body(context, host):
    """Use the identifier of the last request for another one."""
    message = {**context.message, 'body': {'lookup': 'other'}}
    remember(context, run(context, post(context, host, '', **message)))


@then('no request was started')
def check_none_started(context):
    """Check that no service ran anything."""
    check_started(context, 0)


@then('{count:d} request was started')
def check_started(context, count):
    """Check how many calls the services ran."""
    lines = [
        line
        for service in context.site.service_by_id.values()
        for line in service.journal
        if line['event'] == 'started'
    ]
    assert len(lines) == count, lines


@then('each answer that was not whole was asked for again')
def check_asked_again(context):
    """Count the runs beyond those of the answers that were used."""
    lines = [
        line
        for service in context.site.service_by_id.values()
        for line in service.journal
    ]
    spoiled = sum(line.get('completed') is False for line in lines)
    assert spoiled > 0
    check_started(context, len(context.outcomes) + spoiled)


@then('every refusal names a time to come back')
def check_retry_after(context):
    """Check the retry-after time of each refusal."""
    assert all(o['retry_after_ms'] > 0 for o in context.outcomes)


@then('these changes of a posting are refused with 400')
def check_strict(context):
    """Send wrong postings; each must be refused with a reason."""
    for row in context.table:
        changes = json.loads(row['change'])
        answer = run(context, post(context, 'h1', 'strict', **changes))
        assert answer['status'] == 400 and answer['reason'], (row, answer)
