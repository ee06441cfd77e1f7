"""Steps with workspaces, their keys and their jobs."""

import asyncio
import json

import msgspec
from behave import given, then, when
from loguru import logger
from site_steps import run, wait_for

from anvilcove.cli.explain import read_log
from anvilcove.jobs.records import JobRecords, head_row_id, spec_object_name
from anvilcove.jobs.types import Item, JobHead, JobSpec
from anvilcove.platform.engines import generation_headers
from anvilcove.platform.names import TENANT
from anvilcove.platform.rows import decode_desired_state
from anvilcove.platform.standin_wire import (
    ItemSpec,
    WorkspaceSpec,
    config_row,
    job_path,
    key_headers,
    request_headers,
    results_path,
    reward_id,
    submission,
)
from anvilcove.ports.engines import Generation
from anvilcove.ports.store import RowTransaction, RowWrite
from anvilcove.soak.proxy import PASS, SILENT
from anvilcove.soak.site import (
    CALLERS_PORT,
    HOST,
    JOBS,
    MODEL,
    PEERS_PORT,
    REWARDS,
    SHOP,
    DaemonProcess,
    LoopbackSite,
)
from anvilcove.standins.memory_store import MemoryStore
from anvilcove.standins.virtual_loop import VirtualLoop
from anvilcove.telemetry.metrics import NodeMetrics

ITEMS = 8


def workspaces(table):
    """Return the workspaces of a table."""
    return [
        WorkspaceSpec(
            row['name'],
            [key for key in row['keys'].split(', ') if key],
            int(row.get('priority') or 0) or None,
        )
        for row in table
    ]


@given('{count:d} daemons with the workspaces')
def start_site(context, count):
    """Start daemons, an engine and a server."""
    specs = workspaces(context.table)

    async def start():
        context.site = LoopbackSite(
            context.folder, count, engines=1, servers=2
        )
        context.site.workspaces = specs
        await context.site.start()
        await context.site.wait_until_ready()
        await wait_for(lambda: serves(context))

    run(context, start())


async def serves(context):
    """Return whether each daemon reaches the server."""
    key = context.site.workspaces[0].keys[0]
    line = f'Authorization: Bearer {key}'
    for daemon in context.site.daemons:
        if (await send_all(daemon, [(SHOP, [line])], 'ready'))[0] != 200:
            return False
    return True


@when('the workspaces become, in version {version:d}')
def change_workspaces(context, version):
    """Write a desired state."""
    context.site.workspaces = workspaces(context.table)
    context.site.write_config(version)


@when('{seconds:g} s of real time goes by')
def pass_real_time(context, seconds):
    """Wait."""
    run(context, asyncio.sleep(seconds))


def head_bytes(path, request_id, lines, length=1):
    """Return the head of a request; _ stands for a space at the end."""
    head = [
        f'POST {path}{request_id} HTTP/1.1',
        f'Host: {HOST}',
        f'Attempt-Id: {request_id}',
        'Deadline-Ms: 2000',
        f'Content-Length: {length}',
        *(line.replace('_', ' ').replace('8KB', 'k' * 8192) for line in lines),
    ]
    return '\r\n'.join([*head, '', '']).encode()


async def read_status(reader):
    """Read an answer and return its status."""
    head = await asyncio.wait_for(reader.readuntil(b'\r\n\r\n'), 5)
    length = next(
        int(line.partition(b':')[2])
        for line in head.lower().split(b'\r\n')
        if line.startswith(b'content-length')
    )
    await reader.readexactly(length)
    return int(head.split()[1])


async def send_all(daemon, calls, name):
    """Send calls on one connection; return their statuses."""
    reader, writer = await asyncio.open_connection(daemon.ip, CALLERS_PORT)
    statuses = []
    for number, (path, lines) in enumerate(calls):
        request_id = f'{name}-{daemon.name}-{number}'
        writer.write(head_bytes(path, request_id, lines) + b'x')
        try:
            statuses.append(await read_status(reader))
        except TimeoutError:
            statuses.append(0)
    writer.close()
    return statuses


async def compare(context, name):
    """Send the calls of the table; return what differs from it."""
    rows = context.table.rows
    calls = [
        (row.get('path') or SHOP, [x for x in row['headers'].split('; ') if x])
        for row in rows
    ]
    differences = []
    for daemon in context.site.daemons:
        statuses = await send_all(daemon, calls, name)
        named = {
            run[0]: names
            for server in context.site.servers
            for run, names in zip(
                server.runs, server.run_workspaces, strict=True
            )
        }
        for number, row in enumerate(rows):
            got = statuses[number], named.get(f'{name}-{daemon.name}-{number}')
            expected = [row['workspace']] if row['workspace'] else []
            if got != (
                int(row['status']),
                expected if row['status'] == '200' else None,
            ):
                differences.append((daemon.name, row['headers'], got))
    return differences


@then('these calls on one connection to each daemon get')
def check_calls(context):
    """Compare statuses and the workspaces that the server was told."""
    differences = run(context, compare(context, f'c{id(context.table)}'))
    assert not differences, differences


@then('within {seconds:g} s these calls get at each daemon')
def check_calls_within(context, seconds):
    """Repeat the calls until all are as in the table."""
    tries = iter(range(10**6))

    async def as_expected():
        return not await compare(context, f't{next(tries)}')

    async def wait():
        async with asyncio.timeout(seconds):
            await wait_for(as_expected)

    run(context, wait())


@then('these headers are answered with 400 without their text')
def check_malformed(context):
    """Send each header; 90KB stands for that many copies of the key."""

    async def send(daemon, header):
        reader, writer = await asyncio.open_connection(daemon.ip, CALLERS_PORT)
        header = header.replace('\\x01', '\x01').replace(
            '90KB', 'key-a1' * 15000
        )
        writer.write(f'GET / HTTP/1.1\r\n{header}\r\n\r\n'.encode())
        return await asyncio.wait_for(reader.read(2000), 5)

    for daemon in context.site.daemons:
        for row in context.table:
            answer = run(context, send(daemon, row['header']))
            assert answer.split()[1] == b'400', answer
            assert b'key-a1' not in answer, answer


@then('no server got a key')
def check_keyless(context):
    """Check the headers of all calls at the stand-ins."""
    for server in [*context.site.servers, *context.site.engines]:
        assert not server.keyed_calls, server.keyed_calls


@then('no key is in a log or in a row of the daemons')
def check_secrets(context):
    """Search logs, rows and objects; the configuration has the keys."""
    keys = [key for w in context.site.workspaces for key in w.keys]
    texts = [path.read_bytes() for path in context.folder.glob('*.log')]
    store = context.site.store
    texts += [
        value
        for row, (value, _) in store.rows.items()
        if row != config_row() and value
    ]
    assert len(texts) > 4
    for key in keys:
        assert not any(key.encode() in text for text in texts), key


@given('a call with {key} at each daemon whose body has not arrived')
def begin_calls(context, key):
    """Send heads without bodies."""

    async def begin():
        line = f'Authorization: Bearer {key}'
        context.begun = []
        for daemon in context.site.daemons:
            streams = await asyncio.open_connection(daemon.ip, CALLERS_PORT)
            streams[1].write(head_bytes(SHOP, 'slow', [line]))
            context.begun.append(streams)
        await asyncio.sleep(0.3)

    run(context, begin())


@then('the call is answered with {status:d} when its body arrives')
def finish_calls(context, status):
    """Send the bodies; nothing may have run."""

    async def finish():
        for reader, writer in context.begun:
            writer.write(b'x')
            assert await read_status(reader) == status
            writer.close()

    run(context, finish())
    ran = [run[0] for server in context.site.servers for run in server.runs]
    assert 'slow' not in ran, ran


@then('a call with {key} is answered with {status:d} before its body')
def check_early_refusal(context, key, status):
    """Send heads only."""
    begin_calls(context, key)

    async def read():
        for reader, writer in context.begun:
            assert await read_status(reader) == status
            writer.close()

    run(context, read())


@given('a daemon that starts when the store has no configuration')
def start_ignorant(context):
    """Remove the row, and replace all daemons by one that knows nothing."""

    async def start():
        daemon = DaemonProcess(context.site, len(context.site.daemons))
        context.site.daemons.append(daemon)
        await daemon.store_proxy.start()
        for other in context.site.daemons[:-1]:
            await other.kill()
        removal = RowTransaction(removals=[config_row()])
        context.site.store.apply(removal)
        await daemon.start()
        await wait_for(lambda: is_listening(daemon))

    run(context, start())


async def is_listening(daemon):
    """Return whether a daemon accepts connections of callers."""
    try:
        _, writer = await asyncio.open_connection(daemon.ip, CALLERS_PORT)
    except OSError:
        return False
    writer.close()
    return True


@then('it answers {status:d} to calls, reads and ends, with a key and without')
def check_unjudged(context, status):
    """Send each kind of call twice."""
    number = len(context.site.daemons) - 1
    for key in ('none', 'key-a1'):
        for method, path in (
            ('POST', f'{SHOP}x'),
            ('POST', f'{JOBS}x'),
            ('GET', results_path('j1', 0)),
            ('GET', '/-/items/j1?id=j1-0'),
            ('DELETE', job_path('j1')),
        ):
            found, _ = run(context, fetch(context, method, number, path, key))
            assert found == status, (key, method, path, found)


@when('daemon {number:d} is cut from the store for {seconds:g} s')
def cut_store(context, number, seconds):
    """Let its connections to the store be silent, and wait."""
    proxy = context.site.daemons[number].store_proxy
    proxy.mode = SILENT
    context.add_cleanup(setattr, proxy, 'mode', PASS)
    run(context, asyncio.sleep(seconds))


@given('daemon {number:d} is cut from all servers')
def cut_from_servers(context, number):
    """Lose its packets to all servers."""
    for proxy in context.site.server_proxies.values():
        proxy.cut({context.site.daemons[number].ip}, keep_open=False)


async def fetch(context, method, number, path, key, body=None, request_id=''):
    """Call a daemon; return status and body."""
    daemon = context.site.daemons[number]
    headers = request_headers(HOST, request_id)
    if key != 'none':
        headers |= key_headers(key)
    async with context.session.request(
        method,
        f'http://{daemon.ip}:{CALLERS_PORT}{path}',
        headers=headers,
        data=body,
    ) as response:
        return response.status, await response.read()


@when('job {job} is submitted with {key}')
def submit(context, job, key):
    """Submit a job at the first daemon; its items name a workspace."""
    items = [
        ItemSpec(f'{job}-{n}', f'{JOBS}{n}', 'g', f'{REWARDS}{n}')
        for n in range(ITEMS)
    ]
    context.items = [item.item_id for item in items]
    data = json.loads(submission(HOST, MODEL, 1, 1, items))
    for item in data['requests']:
        item['headers'] |= {TENANT: 'c', **key_headers(key)}
    context.status, _ = run(
        context,
        fetch(
            context,
            'POST',
            0,
            f'{JOBS}{job}',
            key,
            json.dumps(data).encode(),
            job,
        ),
    )


@then('the answer is {status:d}')
def check_status(context, status):
    """Compare the status of the submission."""
    assert context.status == status, context.status


@then('job {job} is answered to each key at each daemon with')
def check_job_access(context, job):
    """Read results and a body, and end the job, with each key."""

    async def check():
        for row in context.table:
            for number in range(len(context.site.daemons)):
                for column, method, path in (
                    ('read', 'GET', results_path(job, 0)),
                    ('body', 'GET', f'/-/items/{job}?id={job}-0'),
                    ('end', 'DELETE', job_path(job)),
                ):
                    if row[column] == '-':
                        continue
                    status, _ = await fetch(
                        context, method, number, path, row['key']
                    )
                    expected = int(row[column])
                    assert status == expected, (row, number, column, status)

    run(context, check())


@then('job {job} gets its {count:d} results with {key}')
def check_results(context, job, count, key):
    """Read until all results are there."""

    results = []

    async def complete():
        status, body = await fetch(
            context, 'GET', 1, results_path(job, len(results)), key
        )
        results.extend(json.loads(body)['results'] if status == 200 else [])
        return len(results) == count

    run(context, wait_for(complete))


@then('its items ran for workspace {name}, its reward calls for none')
def check_workspaces_of_items(context, name):
    """Compare what engines and servers were told."""
    rewards = {reward_id(item) for item in context.items}
    for servers, ids, expected in (
        (context.site.engines, set(context.items), [name]),
        (context.site.servers, rewards, []),
    ):
        told = [
            (run[0], names)
            for server in servers
            for run, names in zip(
                server.runs, server.run_workspaces, strict=True
            )
            if run[0] in ids
        ]
        assert {run[0] for run in told} == ids, told
        assert all(names == expected for _, names in told), told


@when('the row of job {job} is written without its workspace')
def write_older_row(context, job):
    """Drop the workspace and what follows it, as an older build does."""
    store, row = context.site.store, head_row_id(job)
    fields = msgspec.msgpack.decode(store.rows[row][0])
    assert fields[14:15] == ['a'], fields
    value = msgspec.msgpack.encode(fields[:14])
    store.apply(RowTransaction(writes=[RowWrite(row, value)]))
    run(context, asyncio.sleep(1))


@given(
    'the submission of job {job} by workspace {name} is stored without a row'
)
def store_submission(context, job, name):
    """Store the object only."""
    spec = JobSpec(job, HOST, f'{JOBS}x', 0, MODEL, 1, 1, [], name)
    run(
        context,
        context.site.store.put_object(
            spec_object_name(job), msgspec.msgpack.encode(spec)
        ),
    )


@given(
    'the submission of job {job} by an earlier build is stored without a row'
)
def store_older_submission(context, job):
    """Store the object as it was sent, without the field for a workspace."""
    headers = {TENANT: 'c', **key_headers('key-a1')}
    items = [
        Item(f'{job}-{n}', f'{JOBS}{n}', headers, b'{}', 9, 'g', model=MODEL)
        for n in range(ITEMS)
    ]
    spec = JobSpec(job, HOST, f'{JOBS}x', 0, MODEL, 1, 1, items)
    fields = msgspec.msgpack.decode(msgspec.msgpack.encode(spec))
    value = msgspec.msgpack.encode(fields[:-1])
    run(
        context,
        context.site.store.put_object(spec_object_name(job), value),
    )


@then('no engine got a key or the name that its items chose')
def check_untold(context):
    """Check the headers of all runs at the engines."""
    runs = [n for e in context.site.engines for n in e.run_workspaces]
    assert runs and all(names in ([], ['a']) for names in runs), runs
    check_keyless(context)


@then('items that are stored with a key are sent without it')
def check_stored_headers(context):
    """Compare the headers with and without workspaces."""
    own = {TENANT.lower(): 'c', 'x': 'y', **key_headers('key-a1')}
    for has_workspaces, kept in ((True, {'x'}), (False, set(own))):
        generation = Generation('i', HOST, '/', own, b'', 1.0)
        generation.has_workspaces = has_workspaces
        sent = generation_headers(generation, 'e')
        assert set(sent) & set(own) == kept, sent


@then('a stored job {whose} has {fields:d} fields and its row {columns:d}')
def check_stored_fields(context, whose, fields, columns):
    """Store a job, and read it again."""
    name = 'a' if whose == 'of workspace a' else ''
    loop = VirtualLoop()
    store = MemoryStore(loop)
    spec = JobSpec('j', HOST, '/', 0, MODEL, 1, 1, [], name)
    head = JobHead('j', 'h', 'n', 1, 'c', 0, 0, 0.0, HOST, '/', MODEL, 9)
    head.workspace = name
    records = JobRecords(store)
    loop.run_until_complete(records.create(spec, head))
    assert loop.run_until_complete(records.load('j')) == spec
    found, _ = loop.run_until_complete(records.find('j'))
    assert found.head == head
    loop.close()
    values = [
        store.objects[spec_object_name('j')],
        store.rows[head_row_id('j')][0],
    ]
    counts = [len(msgspec.msgpack.decode(value)) for value in values]
    assert counts == [fields, columns], counts


@then('job {job} has no row')
def check_no_row(context, job):
    """Look for the row in the store."""
    assert head_row_id(job) not in context.site.store.rows


@then('the metrics of each daemon contain')
def check_metrics(context):
    """Search the metrics for lines; a start sends calls of its own."""

    async def check():
        for daemon in context.site.daemons:
            url = f'http://{daemon.ip}:{PEERS_PORT + 1}/metrics'
            async with context.session.get(url) as response:
                text = await response.text()
            for row in context.table:
                series = row['line'].rpartition(' ')[0]
                assert series in text, (series, text)

    run(context, check())


@then('the log explains a denied call without its key')
def check_explained(context):
    """Find the decision of the denied call in the log."""
    path = context.folder / 'd0.log'
    denied = [
        record
        for line in path.read_text().splitlines()
        if '"access denied"' in line
        for record in [json.loads(line)]
    ]
    assert denied, path.read_text()[-2000:]
    records = list(read_log(path, denied[0]['request']))
    assert [r['reason'] for r in records] == ['unknown key'], records


@when('the workspaces are read from {text}')
def read_workspaces(context, text):
    """Decode a desired state and keep the log."""
    context.lines = []
    sink = logger.add(context.lines.append, level='DEBUG', format='{extra}')
    try:
        state = decode_desired_state(
            b'{"version": 1, "tenants": %s}' % text.encode()
        )
    finally:
        logger.remove(sink)
    context.directory = state.workspaces


@then('key {first} opens {one} and key {second} opens {other}')
def check_opens(context, first, one, second, other):
    """Look up two keys."""
    for key, name in ((first, one), (second, other)):
        found = context.directory.find(key)
        assert (found.name if found else 'none') == name, (key, found)


@then('{count:d} lines are logged, without a key')
def check_lines(context, count):
    """Count the lines of the log."""
    assert len(context.lines) == count, context.lines
    assert not any('k1' in line for line in context.lines), context.lines


@when('requests of {count:d} workspaces are counted')
def count_requests(context, count):
    """Count one request of each."""
    context.metrics = NodeMetrics()
    for number in range(count):
        context.metrics.request_of_workspace(f'w{number}', 200)


@then('there are {count:d} label values, one of them other')
def check_labels(context, count):
    """Count the series of the metric."""
    text = context.metrics.render().decode()
    lines = [
        line
        for line in text.splitlines()
        if line.startswith('anvilcove_requests_by_workspace_total{')
    ]
    assert len(lines) == count, len(lines)
    assert any('workspace="other"' in line for line in lines)
