"""Property tests of the decoders of the platform's adapter."""

import asyncio
import json
from pathlib import Path

from behave import given, then
from hypothesis import given as for_all
from hypothesis import settings as hypothesis_settings
from hypothesis import strategies as st
from loguru import logger

from anvilcove.control.desired import DesiredStateView
from anvilcove.control.endpoints import EndpointRegistry
from anvilcove.platform.engines import read_events
from anvilcove.platform.family import PlatformRows
from anvilcove.platform.jobs import JobFormatError, decode_job
from anvilcove.platform.settings import load_node_settings
from anvilcove.platform.store import PlatformStore
from anvilcove.ports.errors import (
    EndpointError,
    StoreAnswerLost,
    StoreUnavailable,
)
from anvilcove.ports.store import HistoryLost, RowId, RowPage, StoredRow
from anvilcove.ports.transport import StoreReply
from anvilcove.settings.loader import SettingsError

FIXED = hypothesis_settings(
    derandomize=True, database=None, deadline=None, max_examples=120
)
SERVER = {
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
CONFIG = {
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
JOB = {
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
STORE_ANSWER = {
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
VALUES = st.recursive(
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
    """Return a strategy of bytes: any, or JSON with a field changed."""
    names = sorted(template)

    def change(name, value, drop):
        data = dict(template)
        if drop:
            data.pop(name)
        else:
            data[name] = value
        return json.dumps(data).encode()

    changed = st.builds(change, st.sampled_from(names), VALUES, st.booleans())
    nested = st.integers(1, 3000).map(lambda n: b'[' * n + b']' * n)
    return st.binary(max_size=60) | changed | nested


def row(table, key, value):
    """Return a stored row."""
    return StoredRow(RowId(table, '', key), value, 1)


@given('rows of endpoints with any content beside a good one')
def endpoint_rows(context):
    """Keep the strategy."""
    logger.remove()
    context.values = mutated(SERVER)


@then('the good endpoint is known and no row raised an error')
def good_endpoint(context):
    """Apply bad rows together with a good one."""

    @FIXED
    @for_all(context.values)
    def check(value):
        registry = EndpointRegistry()
        good = json.dumps(SERVER).encode()
        rows = [row('servers', 'bad', value), row('servers', 'good', good)]
        for whole in (True, False):
            PlatformRows().apply_endpoint_rows(rows, whole, registry, 0, False)
        assert 'good/17' in registry.entry_by_endpoint

    check()


@given('operator rows with any content beside a good desired state')
def operator_rows(context):
    """Keep the strategies."""
    logger.remove()
    context.values = mutated(CONFIG)


@then('the good desired state is in force and no row raised an error')
def good_state(context):
    """Apply bad rows together with a good one."""

    @FIXED
    @for_all(context.values)
    def check(value):
        desired = DesiredStateView()
        good = json.dumps({**CONFIG, 'version': 10**40}).encode()
        rows = [
            row('op', 'config', value),
            row('op', 'version/m', value),
            row('op', 'config', good),
        ]
        PlatformRows().apply_operator_rows(rows, desired, 0)
        assert desired.current.version == 10**40

    check()


@given('submissions with any content')
def submissions(context):
    """Keep the strategy."""
    item = JOB['requests'][0]
    items = mutated(item).map(
        lambda data: (
            json.dumps({**JOB, 'requests': [json.loads(data)]}).encode()
            if data.startswith(b'{')
            else data
        )
    )
    context.values = mutated(JOB) | items


@then('each is a job or is refused with a reason')
def job_or_reason(context):
    """Decode every submission."""

    @FIXED
    @for_all(context.values)
    def check(value):
        try:
            spec = decode_job('j1', 'h.example', '/p/', value)
        except JobFormatError as error:
            assert str(error)
        else:
            assert all(i.path.startswith('/') for i in spec.items)

    check()


@given('settings files with any content')
def settings_files(context):
    """Keep the strategy."""
    text = st.text(max_size=200) | st.sampled_from(
        ['node-name = 3', '[listen]\nfrontend = 1', 'zone = "z"\n[platform]']
    )
    context.values = text


@then('each is read or refused with a reason')
def settings_or_reason(context):
    """Load every file."""
    path = Path(context.folder) / 'settings.toml'

    @FIXED
    @for_all(context.values)
    def check(value):
        path.write_text(value, encoding='utf-8', errors='replace')
        try:
            load_node_settings(path)
        except SettingsError as error:
            assert error.lines

    check()


@given('answers of the store with any content')
def store_answers(context):
    """Keep the strategy."""
    context.values = st.tuples(
        st.sampled_from([200, 204, 302, 400, 404, 410, 412, 500]),
        mutated(STORE_ANSWER),
    )


class FixedTransport:
    """Transport that always gives one answer."""

    def __init__(self, status, body):
        """Keep the answer."""
        self.reply = StoreReply(status, body)

    async def send(self, call):
        """Return the answer."""
        return self.reply


@then('each is a page or an error of the store')
def page_or_error(context):
    """Read a page out of every answer."""

    @FIXED
    @for_all(context.values)
    def check(value):
        store = PlatformStore(FixedTransport(*value))
        try:
            page = asyncio.run(store.changes('t', 0, 0.0))
        except (StoreUnavailable, StoreAnswerLost, HistoryLost):
            return
        assert isinstance(page, RowPage)

    check()


WHOLE = [(n, f'text {n}', 3 if n < 4 else 4) for n in range(1, 7)]


def stream_bytes():
    """Return a whole stream with a change of version."""
    lines = []
    for number, text, version in WHOLE:
        if number == 4:
            lines.append(f'weight-versions: {version}')
        lines += [f'id: {number}', f'data: {text}', '']
    return '\n'.join([*lines, '']).encode()


@given('streams of events cut and changed anywhere')
def streams(context):
    """Keep a strategy of cuts, changed bytes and sizes of chunks."""
    size = len(stream_bytes())
    context.values = st.tuples(
        st.integers(0, size),
        st.lists(st.tuples(st.integers(0, size - 1), st.integers(0, 255))),
    )


async def lines_of(data):
    """Yield lines like a connection does."""
    for line in data.splitlines(keepends=True):
        yield line


@then('every text is a beginning of the whole text')
def beginning(context):
    """Read every stream; only changed texts may differ, never their order."""

    @FIXED
    @for_all(context.values)
    def check(value):
        cut, changes = value
        data = bytearray(stream_bytes())
        for position, byte in changes:
            data[position] = byte
        found = []

        async def read():
            async for event in read_events(lines_of(bytes(data[:cut])), 0, 3):
                found.append(event)

        try:
            asyncio.run(read())
        except EndpointError:
            pass
        numbers = [event.number for event in found]
        assert numbers == list(range(1, len(found) + 1))
        if not changes:
            texts = [(e.number, e.text, e.version) for e in found]
            assert texts == WHOLE[: len(found)]

    check()
