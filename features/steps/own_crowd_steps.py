"""Steps with crowds of clients at the listener of the own interface."""

import asyncio
import json
from functools import cache

from behave import given, then, when
from crowd_steps import OPEN_S, SENDING_S
from site_steps import apply_classes, run, send_request

from anvilcove.demo.site import PEER_KEY, Site, SiteShape
from anvilcove.settings.daemon import LimitSettings
from anvilcove.soak.crowds import Crowd, Target, crowd_kind
from anvilcove.soak.process_usage import MIB, UsageSampler

HOST = 'h1'
# A host decodes one of these requests at a time.
FIELDS_INTERVAL_S = 0.3
CLASSES = """
classes:
  - kind: interactive
    name: lookup
    pool: account-app
    deadline_ms: 20000
    on_time_share: 0.99
"""


def echoed_requests(target, number):
    """Send a request whose answer repeats its body."""
    message = {
        'request_id': f'crowd.{number}',
        'class_name': 'lookup',
        'caller': 'crowd',
        'body': {'text': 'x' * (target.body_bytes - 1000)},
    }
    body = json.dumps(message).encode()
    yield target.head(number, f'Content-Length: {len(body)}')
    yield body


@cache
def many_fields(count):
    """Return an object of empty fields as JSON.

    It is kept, as crowds share their event loop with the servers of a site.
    """
    return b'{%s}' % b','.join(b'"%x":""' % field for field in range(count))


@crowd_kind('requests of many fields', interval_s=FIELDS_INTERVAL_S)
def requests_of_many_fields(target, number):
    """Send a request whose body takes far more memory than its bytes."""
    start = b'{"request_id":"crowd.%d","class_name":"lookup",' % number
    start += b'"caller":"crowd","body":'
    fields = many_fields((target.body_bytes - 1000) // 14)
    size = len(start) + len(fields) + 1
    assert size <= target.body_bytes
    yield target.head(number, f'Content-Length: {size}')
    yield start
    yield fields
    yield b'}'


crowd_kind('echoed requests')(echoed_requests)
crowd_kind('echoed requests that are not read', reads=False)(echoed_requests)


@given('a running host with {memory:d} MiB and bodies of up to {body:d} MiB')
def start_host(context, memory, body):
    """Start one daemon before one service."""
    shape = SiteShape('test', ['z'], 1, ('advisor-llm', 1), ('account-app', 1))
    context.site = Site(shape, context.folder)
    context.site.plan()
    settings = context.site.settings_by_host[HOST]
    settings.limits = LimitSettings(body_bytes=body * MIB, memory_mb=memory)
    context.memory_mb, context.body_bytes = memory, body * MIB
    run(context, context.site.start(context.session))
    context.text = CLASSES
    apply_classes(context)


@when('{count:d} clients come to {path} with {kind}')
def send_own_crowd(context, count, path, kind):
    """Let the clients send, then stay open for a while."""
    settings = context.site.settings_by_host[HOST]
    ip, _, port = settings.listen_address.rpartition(':')
    target = Target(
        f'{path}?',
        lambda _: (f'Host: {HOST}', f'Authorization: Bearer {PEER_KEY}'),
        context.body_bytes,
    )
    crowd = Crowd(kind, [(ip, int(port))], target, count)

    async def send():
        async with crowd.running():
            await crowd.sent(SENDING_S)
            await asyncio.sleep(OPEN_S)

    process = context.site.processes.by_name[HOST]
    sampler = UsageSampler(process.pid, ip)
    context.usage = sampler.usage
    with sampler:
        run(context, send())


@then('the host lives and stayed within its memory')
def check_memory(context):
    """Compare the samples with the memory of the host."""
    usage = context.usage
    found = (
        f'resident and unread {usage.memory_bytes / MIB:.0f} MiB, unread '
        f'{usage.unread_bytes / MIB:.0f}, {usage.descriptors} descriptors'
    )
    print(found)
    assert context.site.processes.by_name[HOST].returncode is None, found
    assert usage.memory_bytes <= context.memory_mb * MIB, found


@then('an ordinary request is answered by the host')
def check_ordinary(context):
    """Send a small request on a connection of its own."""
    send_request(context, '{"n": 1}', 'lookup', HOST)
    assert context.outcome['outcome'] == 'answered', context.outcome
