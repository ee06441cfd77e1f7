"""Property tests of the decoders of the platform adapter."""

import asyncio
import json
import random
from pathlib import Path

from behave import given, then
from hypothesis import given as for_all
from hypothesis import settings as hypothesis_settings
from hypothesis import strategies as st
from loguru import logger

from anvilcove.control.desired import DesiredStateView
from anvilcove.control.endpoints import EndpointRegistry
from anvilcove.messages.event_stream import EventStreamError
from anvilcove.platform.engines import read_events
from anvilcove.platform.family import PlatformRows
from anvilcove.platform.rows import decode_desired_state
from anvilcove.platform.settings import load_node_settings
from anvilcove.platform.store import PlatformStore
from anvilcove.platform.submissions import (
    DocumentRoom,
    JobFormatError,
    decode_job,
)
from anvilcove.ports.errors import (
    EndpointError,
    StoreAnswerLost,
    StoreUnavailable,
)
from anvilcove.ports.store import HistoryLost, RowId, RowPage, StoredRow
from anvilcove.ports.transport import StoreReply
from anvilcove.settings.errors import SettingsError
from anvilcove.state.memory_room import FixedBounds, MemoryRoom

DETERMINISTIC = hypothesis_settings(
    derandomize=True, database=None, deadline=None, max_examples=120
)
VALID_SERVER = {
    'service': 's',
    'address': '10.0.0.1:80',
    'zone': 'z',
    'version': 'v1',
    'batch-size': 4,
    'state': 'ready',
    'models': [{'name': 'm', 'version': 3, 'adapters': []}],
    'sequence': 4,
    'born': 17,
}
VALID_CONFIG = {
    'version': 7,
    'routes': [
        {
            'name': 'r',
            'host': 'h.example',
            'prefix': '/p/',
            'type': 'safe',
            'timeout-ms': 2000,
            'service': 's',
            'max-attempts': 2,
        }
    ],
    'services': [{'name': 's', 'max-conns': 10}],
    'limits': {'max-header-bytes': 16384},
}
VALID_JOB = {
    'step': 1,
    'model': 'm',
    'min-version': 1,
    'target-groups': 1,
    'requests': [
        {
            'id': 'i1',
            'path': '/p/1',
            'headers': {'Model': 'm'},
            'body': 'q83v',
            'token-count': 3,
            'group-id': 'g',
            'scorer-url': {
                'id': 'r1',
                'host': 'h.example',
                'path': '/q/',
                'body': 'q83v',
            },
        }
    ],
}
VALID_STORE_PAGE = {
    'rows': [
        {
            'table': 't',
            'part': '',
            'key': 'k',
            'value': 'bm9kZS0x',
            'row-version': 4,
        }
    ],
    'has-more': False,
    'row-version': 5,
    'now-ms': 1,
}
JSON_VALUES = st.recursive(
    st.none()
    | st.booleans()
    | st.integers(-(10**30), 10**30)
    | st.floats()
    | st.text(max_size=20),
    lambda inner: (
        st.lists(inner, max_size=3)
        | st.dictionaries(st.text(max_size=8), inner, max_size=3)
    ),
    max_leaves=8,
)


def mutated(template):
    """Return a strategy of arbitrary bytes.

    They are random bytes, the template as JSON with one field removed or
    changed, or deeply nested lists, which can exhaust the stack of a parser.
    """
    names = sorted(template)

    def change(name, value, drop):
        data = dict(template)
        if drop:
            data.pop(name)
        else:
            data[name] = value
        return json.dumps(data).encode()

    changed = st.builds(
        change, st.sampled_from(names), JSON_VALUES, st.booleans()
    )
    nested = st.integers(1, 3000).map(lambda n: b'[' * n + b']' * n)
    return st.binary(max_size=60) | changed | nested


def row(table, key, value):
    """Return a stored row."""
    return StoredRow(RowId(table, '', key), value, 1)


@given('endpoint rows with arbitrary content next to a valid row')
def generate_endpoint_rows(context):
    """Set the strategy for the value of an endpoint row."""
    logger.remove()
    context.values = mutated(VALID_SERVER)


@then('the valid endpoint is registered and no row raises an error')
def check_valid_endpoint(context):
    """Apply an arbitrary row before a valid one, in a full and a partial read.

    The order tests that a rejected row does not end the loop over the rows.
    """

    @DETERMINISTIC
    @for_all(context.values)
    def check(value):
        registry = EndpointRegistry()
        valid = json.dumps(VALID_SERVER).encode()
        rows = [row('servers', 'bad', value), row('servers', 'good', valid)]
        for whole in (True, False):
            PlatformRows().apply_endpoint_rows(rows, whole, registry, 0, False)
        assert 'good/17' in registry.entry_by_endpoint

    check()


@given('operator rows with arbitrary content next to a valid desired state')
def generate_operator_rows(context):
    """Set the strategy for the values of operator rows."""
    logger.remove()
    context.values = mutated(VALID_CONFIG)


@then('the valid desired state is in force and no row raises an error')
def check_valid_desired_state(context):
    """Apply arbitrary rows before a valid desired state."""

    @DETERMINISTIC
    @for_all(context.values)
    def check(value):
        desired = DesiredStateView()
        valid = json.dumps({**VALID_CONFIG, 'version': 10**40}).encode()
        rows = [
            row('op', 'config', value),
            row('op', 'version/m', value),
            row('op', 'config', valid),
        ]
        PlatformRows().apply_operator_rows(rows, desired, 0)
        assert desired.current.version == 10**40

    check()


@given('submissions with arbitrary content')
def generate_submissions(context):
    """Set the strategy for submissions, changed in a field or in an item."""
    item = VALID_JOB['requests'][0]
    items = mutated(item).map(
        lambda data: (
            json.dumps({**VALID_JOB, 'requests': [json.loads(data)]}).encode()
            if data.startswith(b'{')
            else data
        )
    )
    context.values = mutated(VALID_JOB) | items


@then('each is decoded to a job or refused with a reason')
def check_decoded_jobs(context):
    """Check that a submission is decoded or raises only JobFormatError."""
    room = DocumentRoom(MemoryRoom(FixedBounds(1 << 20)), 0)

    @DETERMINISTIC
    @for_all(context.values)
    def check(value):
        try:
            job = context.loop.run_until_complete(
                decode_job('j1', 'h.example', '/p/', value, room, 65_536)
            )
        except JobFormatError as error:
            assert str(error)
        else:
            assert all(i.path.startswith('/') for i in job.spec.items)

    check()


@given('settings files with arbitrary content')
def generate_settings_files(context):
    """Set the strategy for the text of a settings file."""
    text = st.text(max_size=200) | st.sampled_from(
        ['node-name = 3', '[listen]\nfrontend = 1', 'zone = "z"\n[platform]']
    )
    context.values = text


@then('each is loaded or refused with a reason')
def check_loaded_settings(context):
    """Check that a file is loaded or raises only SettingsError."""
    path = Path(context.folder) / 'settings.toml'

    @DETERMINISTIC
    @for_all(context.values)
    def check(value):
        path.write_text(value, encoding='utf-8', errors='replace')
        try:
            load_node_settings(path)
        except SettingsError as error:
            assert error.lines

    check()


@given('store responses with arbitrary content')
def generate_store_responses(context):
    """Set the strategy for the status and body of a store response."""
    context.values = st.tuples(
        st.sampled_from([200, 204, 302, 400, 404, 410, 412, 500]),
        mutated(VALID_STORE_PAGE),
    )


class FixedTransport:
    """Transport that returns the same response to every call."""

    def __init__(self, status, body):
        """Create the response."""
        self.reply = StoreReply(status, body)

    async def send(self, call):
        """Return the response."""
        return self.reply


@then('each is a page of rows or a store error')
def check_store_responses(context):
    """Check that a read returns a page or raises only errors of the store."""

    @DETERMINISTIC
    @for_all(context.values)
    def check(value):
        store = PlatformStore(FixedTransport(*value))
        try:
            page = asyncio.run(store.changes('t', 0, 0.0))
        except (StoreUnavailable, StoreAnswerLost, HistoryLost):
            return
        assert isinstance(page, RowPage)

    check()


STREAM_EVENTS = [(n, f'text {n}', 3 if n < 4 else 4) for n in range(1, 7)]


def encode_stream():
    """Return a complete stream in which the weight version changes."""
    lines = []
    for number, text, version in STREAM_EVENTS:
        if number == 4:
            lines.append(f'weight-versions: {version}')
        lines += [f'id: {number}', f'data: {text}', '']
    return '\n'.join([*lines, '']).encode()


@given('event streams with arbitrary truncation and changed bytes')
def generate_streams(context):
    """Set the strategy for the length of a stream and its changed bytes."""
    size = len(encode_stream())
    context.values = st.tuples(
        st.integers(0, size),
        st.lists(st.tuples(st.integers(0, size - 1), st.integers(0, 255))),
    )


async def read_lines(data):
    """Yield the lines of a stream as a connection does."""
    for line in data.splitlines(keepends=True):
        yield line


@then('decoded events are consecutive, with the original texts if unchanged')
def check_prefix(context):
    """Check that events are numbered without a gap or repetition.

    If no byte was changed, their texts and versions must also be correct.
    """

    @DETERMINISTIC
    @for_all(context.values)
    def check(value):
        length, changes = value
        data = bytearray(encode_stream())
        for position, byte in changes:
            data[position] = byte
        found = []

        async def read():
            async for event in read_events(
                read_lines(bytes(data[:length])), 0, 3
            ):
                found.append(event)

        try:
            asyncio.run(read())
        except (EndpointError, EventStreamError):
            pass
        numbers = [event.number for event in found]
        assert numbers == list(range(1, len(found) + 1))
        if not changes:
            texts = [(e.number, e.text, e.version) for e in found]
            assert texts == STREAM_EVENTS[: len(found)]

    check()


@given(
    'a desired state of {count:d} routes of {hosts:d} hosts, in random order'
)
def build_large_state(context, count, hosts):
    """Decode a state in which each host has nested prefixes."""
    routes = [
        {
            'name': f'r{number}',
            'host': f'h{number % hosts}.example',
            'prefix': '/' + 'p/' * (number // hosts + 1),
            'type': 'safe',
            'service': 'app',
        }
        for number in range(count)
    ]
    random.Random(3).shuffle(routes)
    value = json.dumps({'version': 3, 'routes': routes}).encode()
    context.state = decode_desired_state(value)
    context.host_count = hosts


@then(
    'each host has {count:d} routes, of which the longest matching prefix is '
    'used'
)
def check_longest_prefix(context, count):
    """Look paths of all lengths up at a few hosts."""
    state = context.state
    assert len(state.routes_by_host) == context.host_count
    for host in ('h0.example', 'h7.example', 'h499.example'):
        assert len(state.routes_by_host[host]) == count
        for depth in range(1, count + 1):
            route = state.find_route(host, '/' + 'p/' * depth + 'x')
            assert route.host == host
            assert route.prefix == '/' + 'p/' * depth


@then('a host or path that no route has is not found')
def check_not_found(context):
    """Look up what does not exist."""
    assert context.state.find_route('h500.example', '/p/x') is None
    assert context.state.find_route('h0.example', '/q/x') is None
