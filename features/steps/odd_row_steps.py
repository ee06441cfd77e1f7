"""Steps with rows and headers whose values no decoder expects."""

import json
import random
from types import SimpleNamespace

from bad_input_steps import VALID_SERVER, row
from behave import given, then, when
from loguru import logger
from multidict import CIMultiDict

from anvilcove.control.endpoints import EndpointRegistry
from anvilcove.control.watch import TableWatch
from anvilcove.decisions.access import Admitted
from anvilcove.jobs.reader import ResultPage
from anvilcove.native.membership import decode_members
from anvilcove.platform.family import PlatformRows
from anvilcove.platform.job_paths import RESULTS_PREFIX, JobPaths
from anvilcove.platform.listeners import _deadline_s
from anvilcove.platform.names import DEADLINE_MS
from anvilcove.platform.submissions import LENGTH_HINT, _length_hint
from anvilcove.ports.errors import StoreUnavailable
from anvilcove.ports.store import RowId, RowTransaction, RowWrite
from anvilcove.standins.memory_store import MemoryStore
from anvilcove.standins.virtual_loop import LoopClock, VirtualLoop

LONG_NUMBER = '9' * 5000
CHANGE_BY_ODDITY = {
    'a superscript digit in its port': {'address': '127.0.0.9:80²'},
    'Arabic digits in its port': {'address': '127.0.0.9:٨٠'},
    'a port of 5000 digits': {'address': f'127.0.0.9:{LONG_NUMBER}'},
    'port 0': {'address': '127.0.0.9:0'},
    'port 65536': {'address': '127.0.0.9:65536'},
    'a host name instead of an address': {'address': 'db.example:80'},
    'a line end in its address': {'address': '127.0.0.9\r\n:80'},
    'a start time of 4299 digits': {'born': 10**4298},
    'a slot count of 400 digits': {'batch-size': 10**399},
    'a version of 40 digits': {'models': [{'name': 'm', 'version': 10**39}]},
}
NESTED_FIELD = {'a state': 'state', 'a service': 'service', 'models': 'models'}


def odd_value(oddity):
    """Return the bytes of an endpoint row with one odd value."""
    if oddity in CHANGE_BY_ODDITY:
        return json.dumps(VALID_SERVER | CHANGE_BY_ODDITY[oddity]).encode()
    subject, _, depth = oddity.removesuffix(' deep').partition(' nested ')
    name = NESTED_FIELD.get(subject, 'unknown')
    value = '[' * int(depth) + ']' * int(depth)
    text = json.dumps(VALID_SERVER | {name: 0})
    return text.replace(f'"{name}": 0', f'"{name}": {value}').encode()


@given('an endpoint row with {oddity} next to a valid row')
def write_odd_row(context, oddity):
    """Create a full read with the odd row before the valid one."""
    logger.remove()
    valid = json.dumps(VALID_SERVER).encode()
    context.rows = [
        row('servers', 'odd', odd_value(oddity)),
        row('servers', 'good', valid),
    ]


@then('only the valid endpoint is registered')
def check_registered(context):
    """Apply the rows as a full read and as changes."""
    for full_read in (True, False):
        registry = EndpointRegistry()
        PlatformRows().apply_endpoint_rows(
            context.rows, full_read, registry, 0, False
        )
        assert set(registry.entry_by_endpoint) == {'good/17'}


@given('a watch whose reader fails at the row {key}')
def create_watch(context, key):
    """Create a watch on virtual time."""
    logger.remove()
    context.virtual = VirtualLoop()
    context.add_cleanup(context.virtual.close)
    context.store = MemoryStore(context.virtual)
    context.applied, context.skipped = set(), []

    def apply(rows, full_read):
        for found in rows:
            if found.id.key == key:
                raise RuntimeError('an error that nobody foresaw')
        context.applied |= {found.id.key for found in rows}

    context.watch = TableWatch(
        't',
        [''],
        context.store,
        LoopClock(context.virtual),
        random.Random(1),
        apply,
    )
    context.watch.on_skipped = context.skipped.append


def write_rows(context, names):
    """Write rows in one transaction."""
    keys = names.replace(' and ', ', ').split(', ')
    context.store.apply(
        RowTransaction(
            writes=[RowWrite(RowId('t', '', key), b'x') for key in keys]
        )
    )


def pass_time(context, seconds):
    """Let virtual time pass."""

    async def wait():
        await context.watch._clock.sleep(seconds)

    context.virtual.run_until_complete(wait())


@when('the rows {names} are there before it starts')
def start_watch(context, names):
    """Write rows and start the watch."""
    write_rows(context, names)
    context.task = context.virtual.create_task(context.watch.run())
    context.add_cleanup(end_task, context)
    pass_time(context, 1.0)


def end_task(context):
    """Cancel the watch and let it end."""
    context.task.cancel()
    pass_time(context, 0.1)


@when('the rows {names} change after that')
def change_rows(context, names):
    """Write rows while the watch follows the table."""
    write_rows(context, names)
    pass_time(context, 2.0)


@then('the rows {names} were applied')
def check_applied(context, names):
    """Check that only the failing row is missing."""
    assert context.applied == set(names.replace(' and ', ', ').split(', '))


@then('at least {count:d} rows were counted as skipped')
def check_skipped(context, count):
    """Check the count."""
    assert sum(context.skipped) >= count, context.skipped


@then('the watch goes on')
def check_watch(context):
    """Check that a later row is applied."""
    write_rows(context, 'later')
    pass_time(context, 2.0)
    assert 'later' in context.applied
    assert not context.task.done()


class OneJob:
    """Jobs of a service that has one job, without results."""

    def __init__(self):
        """Start without a read."""
        self.waits_s = []

    async def page(self, job_id, after, wait_s, workspace):
        """Return a page and keep the time that the caller waits."""
        self.waits_s.append(wait_s)
        return ResultPage(1, [])


async def read_job(headers):
    """Read a job; return the status and how long the read may wait."""
    jobs = OneJob()
    service = SimpleNamespace(
        jobs=jobs,
        can_judge_access=lambda: True,
        admit_to_jobs=lambda host, key, job_id: Admitted(),
        has_workspaces=lambda: False,
    )
    response = await JobPaths(service, random.Random(1)).respond(
        SimpleNamespace(method='GET', headers=headers),
        f'{RESULTS_PREFIX}j1',
        'after=0',
    )
    return response.status, jobs.waits_s


@when('a caller sends {name} with the value {text}')
def send_header(context, name, text):
    """Decode a header as its reader does, and without the header."""
    logger.remove()

    def decode(headers):
        if name == DEADLINE_MS:
            return _deadline_s(SimpleNamespace(headers=headers))
        if name == LENGTH_HINT:
            return _length_hint(headers)
        return context.loop.run_until_complete(read_job(headers))

    context.with_header = decode(CIMultiDict({name: text}))
    context.without_header = decode(CIMultiDict())


@then('it is served as without the header')
def check_ignored(context):
    """Compare both outcomes."""
    assert context.with_header == context.without_header, context.with_header


HOST_ENTRY = {'host': 'h1', 'address': '10.0.0.1:80', 'data_centre': 'dc'}
ENDPOINT_ENTRY = {
    'endpoint': 'e1',
    'address': '10.0.0.2:80',
    'data_centre': 'dc',
    'pool': 'p',
    'kind': 'service',
}
ODD_ENTRIES = {
    'a port out of range': {'address': '10.0.0.3:99999'},
    'a superscript digit in its port': {'address': '10.0.0.3:80²'},
    'a line end in its address': {'address': '10.0.0.3\r\n:80'},
    'a number as its address': {'address': 7},
    'an unknown field': {'colour': 'red'},
    'a number of 5000 digits': {'colour': '@number'},
    'an unknown field nested 100000 deep': {'colour': '@nested'},
}
NESTED = '[' * 100_000 + ']' * 100_000


def odd_member(oddity):
    """Return the JSON of an odd entry of a list."""
    if oddity == 'a string for an entry':
        return '"e2"'
    entry = {**ENDPOINT_ENTRY, 'endpoint': 'e2'}
    if oddity == 'no address':
        del entry['address']
    text = json.dumps(entry | ODD_ENTRIES.get(oddity, {}))
    text = text.replace('"@number"', LONG_NUMBER)
    return text.replace('"@nested"', NESTED)


@given('a membership list of a host, an endpoint and an entry with {oddity}')
def write_members(context, oddity):
    """Encode a list with the odd entry first."""
    logger.remove()
    hosts, sound = json.dumps([HOST_ENTRY]), json.dumps(ENDPOINT_ENTRY)
    context.members = (
        f'{{"hosts":{hosts},"endpoints":[{odd_member(oddity)},{sound}]}}'
    ).encode()


@then('the host and the endpoint are read from it')
def check_members(context):
    """Decode the list."""
    members = decode_members(context.members)
    assert [host.host for host in members.hosts] == ['h1']
    assert [e.endpoint for e in members.endpoints] == ['e1']


@given('a membership list {state}')
def write_unreadable(context, state):
    """Encode a list that has nothing to read."""
    logger.remove()
    context.members = {
        'without a sound entry': b'{"hosts":[{"host":1}],"endpoints":["e"]}',
        'that is cut': b'{"hosts":[',
        'nested 100000 deep': NESTED.encode(),
    }[state]


@then('it is reported as unavailable')
def check_unavailable(context):
    """Check that the list before would be kept."""
    try:
        members = decode_members(context.members)
    except StoreUnavailable:
        return
    raise AssertionError(members)
