"""Steps for headers that callers list or declare."""

import asyncio
import hashlib
import json

from behave import given, then, when

from anvilcove.platform.engines import generation_headers
from anvilcove.platform.headers import end_to_end
from anvilcove.platform.standin import SMUGGLED, complete_text
from anvilcove.platform.standin_wire import (
    ItemSpec,
    read_page,
    request_headers,
    results_headers,
    results_path,
    reward_id,
    submission,
)
from anvilcove.platform.submissions import (
    DocumentRoom,
    JobFormatError,
    decode_job,
)
from anvilcove.ports.engines import Generation
from anvilcove.soak.site import (
    CALLERS_PORT,
    HOST,
    JOBS,
    MODEL,
    REWARDS,
    LoopbackSite,
)
from anvilcove.state.memory_room import FixedBounds, MemoryRoom

JOB = 'listed'
DONE_S = 30.0


@given('a loopback site with 1 daemon and {count:d} engines')
def start_site(context, count):
    """Start real processes."""

    async def start():
        context.site = LoopbackSite(
            context.folder, daemons=1, engines=count, servers=2
        )
        await context.site.start()
        await context.site.wait_until_ready()

    context.loop.run_until_complete(start())


@when('a job is submitted whose items list')
def submit(context):
    """Submit an item for each row, with a body that holds a request."""
    context.listed = [(row['name'], row['value']) for row in context.table]
    context.items = [
        ItemSpec(
            item_id=f'i{number}',
            path=f'{JOBS}i{number}',
            group=f'g{number // 4}',
            reward_path=f'{REWARDS}i{number}',
            body=SMUGGLED + b'%d' % number,
            headers={name: value, 'X-Item': f'i{number}'},
        )
        for number, (name, value) in enumerate(context.listed)
    ]
    url = f'http://{context.site.daemons[0].ip}:{CALLERS_PORT}'

    async def run():
        body = submission(HOST, MODEL, 1, 1, context.items)
        async with context.session.post(
            f'{url}{JOBS}{JOB}', data=body, headers=request_headers(HOST, JOB)
        ) as response:
            assert response.status == 202, await response.text()
        results = []
        deadline_at_s = context.loop.time() + DONE_S
        while len(results) < len(context.items):
            assert context.loop.time() < deadline_at_s, len(results)
            async with context.session.get(
                f'{url}{results_path(JOB, len(results))}',
                headers=results_headers(HOST, 1.0),
            ) as response:
                if response.status == 200:
                    results += read_page(await response.read()).results
            await asyncio.sleep(0.05)
        return results

    context.results = context.loop.run_until_complete(run())


@then('all of its items complete with all events')
def check_results(context):
    """Compare with the whole texts of the items."""
    for result in context.results:
        assert result.completed, result
        assert result.output == complete_text(result.item_id), result


@then('each item has run with its body and no other request has')
def check_runs(context):
    """Compare the bodies at the engines with those of the submission."""
    runs = {(run[0], run[2]) for e in context.site.engines for run in e.runs}
    expected = {
        (item.item_id, hashlib.sha256(item.body).hexdigest()[:8])
        for item in context.items
    }
    assert runs == expected, runs ^ expected
    rewards = {run[0] for s in context.site.servers for run in s.runs}
    assert rewards == {reward_id(i.item_id) for i in context.items}, rewards


@then('each run named its item, its time and its server once')
def check_names(context):
    """Check that no header of the service came twice."""
    for engine in context.site.engines:
        assert engine.runs and not engine.ambiguous_calls, (
            engine.ambiguous_calls
        )


@then('headers that are not listed above reach the engines')
def check_others(context):
    """Check the items' own header."""
    seen = {}
    for engine in context.site.engines:
        seen |= engine.own_header_by_attempt
    assert seen == {i.item_id: i.item_id for i in context.items}, seen


def decode(context, item):
    """Decode a submission of one item."""
    item = {'id': 'i', 'path': '/job/i', **item}
    room = DocumentRoom(MemoryRoom(FixedBounds(1 << 20)), 0)
    body = json.dumps({'requests': [item]}).encode()
    try:
        job = context.loop.run_until_complete(
            decode_job('j', HOST, JOBS, body, room, 65_536)
        )
        context.decoded = job.spec.items[0]
    except JobFormatError as error:
        context.error = str(error)


@when('a submission is decoded whose item lists {header}')
def decode_listed(context, header):
    """Decode an item with headers."""
    decode(context, {'headers': json.loads(header.replace('\\\\', '\\'))})


@when('a submission is decoded whose reward call has the host "{host}"')
def decode_reward(context, host):
    """Decode an item with a reward call."""
    call = {'id': 'r', 'host': json.loads(f'"{host}"'), 'path': '/'}
    decode(context, {'scorer-url': call})


@then('it is refused as {reason}')
def check_reason(context, reason):
    """Compare the reason."""
    assert context.error.endswith(f': {reason}'), context.error


@then('the listed item is for model {model} and has a length of {length:d}')
def check_decoded(context, model, length):
    """Check what was read from the headers."""
    found = (context.decoded.model, context.decoded.length_hint)
    assert found == (model, length), found


@then('Connection: {declared} leaves Host and Attempt-Id')
def check_declared(context, declared):
    """Filter headers of which some are declared to be of a connection."""
    own = [('Host', HOST), ('ATTEMPT-ID', 'a'), ('Model', 'm')]
    headers = [*own, ('x-a', '1'), ('connection', declared)]
    assert end_to_end(headers) == own, end_to_end(headers)


@then('headers that an answer names in Connection are not passed on')
def check_answer(context):
    """Filter the headers of an answer."""
    headers = [('X-A', '1'), ('Connection', 'x-a'), ('Keep-Alive', '5')]
    assert end_to_end([*headers, ('X-B', '2')]) == [('X-B', '2')]


@then('a relayed call of an earlier build has no header of its connection')
def check_relayed(context):
    """Filter what an earlier build takes from an item and sends to a peer."""
    listed = {'Content-Length': '6', 'transfer-encoding': 'chunked', 'x': 'y'}
    assert end_to_end(listed.items()) == [('x', 'y')]
    generation = Generation('i', HOST, '/', listed, b'', 1.0)
    sent = {name.lower() for name in generation_headers(generation, 'e')}
    assert sent & set(map(str.lower, listed)) == {'x'}, sent
