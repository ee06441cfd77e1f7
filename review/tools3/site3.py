"""A small loopback site: store, servers, daemons and clients for the cases.

The store, the servers and the clients speak what PROTOCOL.md says; the daemons
are the project's own program, started with the command of the deploy file.
Only the standard library is used.
"""

import asyncio
import base64
import itertools
import json
import os
import random
import secrets
import signal
import socket
import sys
import tempfile
import time
import tomllib
from pathlib import Path

ROOT = Path(__file__).resolve().parents[2]
FRONTEND, READY, REGISTRY, PEERS = 8161, 8167, 8164, 7720
STORE_PORT, SERVER_PORT = 8169, 8080
HOST = 'ficu95.example'
MODEL = 'daka510000'
HEARTBEAT_S = 1.2
BLOB_BYTES = 8_388_608
TX_S, BLOB_S, BLOB_BYTES_PER_S, STORE_ANSWER_S = 0.003, 0.025, 80e6, 0.004
START_S = time.monotonic()


def now():
    """Return the seconds since the start of the script."""
    return time.monotonic() - START_S


class Record:
    """The file `record.txt` of a case."""

    def __init__(self, folder):
        self._file = (Path(folder) / 'record.txt').open('w')

    def line(self, kind, **fields):
        text = ' '.join(f'{name}={value}' for name, value in fields.items())
        self._file.write(f'{now():8.3f} {kind:<9} {text}\n')
        self._file.flush()


class Request:
    """A parsed HTTP request."""

    def __init__(self, method, target, fields, body, writer, reader):
        self.method, self.target, self.fields = method, target, fields
        self.body, self.writer, self.reader = body, writer, reader

    def header(self, name):
        found = [v for n, v in self.fields if n.lower() == name.lower()]
        return found[0] if found else ''


async def read_head(reader):
    """Return the start line and the header fields, None at the end."""
    try:
        head = await reader.readuntil(b'\r\n\r\n')
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    lines = head.decode('latin-1').split('\r\n')
    fields = [tuple(x.split(':', 1)) for x in lines[1:] if ':' in x]
    return lines[0], [(n.strip(), v.strip()) for n, v in fields]


def field(fields, name):
    """Return the first value of a header field, '' without one."""
    found = [v for n, v in fields if n.lower() == name.lower()]
    return found[0] if found else ''


async def read_chunks(reader):
    """Yield the chunks of a chunked body."""
    while True:
        size = int((await reader.readline()).split(b';')[0], 16)
        data = await reader.readexactly(size + 2)
        if not size:
            return
        yield data[:-2]


async def read_body(reader, fields):
    """Return a body by its framing; chunks override a length."""
    if 'chunked' in field(fields, 'Transfer-Encoding').lower():
        return b''.join([chunk async for chunk in read_chunks(reader)])
    length = field(fields, 'Content-Length')
    return await reader.readexactly(int(length)) if length else b''


class HttpServer:
    """HTTP/1.1 server; `handle(request)` writes the answer itself."""

    def __init__(self, ip, port, handle):
        self.ip, self.port, self.handle = ip, port, handle
        self._server, self._writers = None, set()

    async def open(self):
        self._server = await asyncio.start_server(
            self._serve, self.ip, self.port, limit=1 << 26
        )

    def close(self):
        """Stop listening and reset every connection."""
        if self._server is not None:
            self._server.close()
        for writer in list(self._writers):
            writer.transport.abort()

    async def _serve(self, reader, writer):
        self._writers.add(writer)
        try:
            while (head := await read_head(reader)) is not None:
                method, target, _ = head[0].split(' ', 2)
                body = await read_body(reader, head[1])
                await self.handle(
                    Request(method, target, head[1], body, writer, reader)
                )
                await writer.drain()
        except (ConnectionError, asyncio.IncompleteReadError, ValueError):
            pass
        except asyncio.CancelledError:
            # The script ends; asyncio reports a cancelled handler.
            return
        finally:
            self._writers.discard(writer)
            writer.close()


def answer(request, status, body=b'', headers=()):
    """Write an answer with a length."""
    lines = [f'HTTP/1.1 {status} S', f'Content-Length: {len(body)}']
    lines += [f'{n}: {v}' for n, v in headers]
    head = '\r\n'.join([*lines, '', '']).encode()
    request.writer.write(head + body)


class Store:
    """The platform's store: rows, their changes, and objects."""

    def __init__(self, ip, record):
        self.address = f'{ip}:{STORE_PORT}'
        self.record = record
        self.rows, self.objects = {}, {}
        self.version = 0
        self.changes = []
        self.changed = asyncio.Event()
        self.server = HttpServer(ip, STORE_PORT, self._handle)

    def apply(self, writes, removals=()):
        """Write and remove rows in one transaction."""
        self.version += 1
        for row_id, value in writes:
            self.rows[row_id] = (value, self.version)
            self.changes.append((self.version, row_id, value))
        for row_id in removals:
            if self.rows.pop(row_id, None) is not None:
                self.changes.append((self.version, row_id, None))
        changed, self.changed = self.changed, asyncio.Event()
        changed.set()
        return self.version

    def put(self, table, key, data):
        """Write a row of JSON; return its version."""
        value = base64.b64encode(json.dumps(data).encode()).decode()
        return self.apply([((table, '', key), value)])

    def drop(self, table, key):
        """Remove a row."""
        self.apply([], [(table, '', key)])

    async def _handle(self, request):
        path, _, query = request.target.partition('?')
        pairs = [x.split('=', 1) for x in query.split('&') if '=' in x]
        from urllib.parse import unquote_plus

        wanted = {n: unquote_plus(v) for n, v in pairs}
        call, _, name = path.removeprefix('/-/').partition('/')
        await asyncio.sleep(STORE_ANSWER_S)
        if call.startswith('blob-'):
            return await self._object(request, call, name)
        if call == 'rows-tx':
            await asyncio.sleep(TX_S)
            return self._transact(request)
        if call == 'rows-get':
            rows = [
                self._row(i, v, n)
                for i, (v, n) in sorted(self.rows.items())
                if i[0] == wanted['table']
                and i[1] == wanted.get('part', '')
                and i[2] >= wanted.get('from', '')
                and ('to' not in wanted or i[2] < wanted['to'])
            ]
            return self._reply(request, 200, rows[:500], len(rows) > 500)
        if call == 'rows-feed':
            return await self._feed(request, wanted)
        answer(request, 404)

    async def _feed(self, request, wanted):
        after, table = int(wanted['after']), wanted['table']
        end_s = now() + int(wanted.get('wait-ms', 0)) / 1000
        while True:
            newest = {
                i: self._row(i, v, n)
                for n, i, v in self.changes
                if n > after and i[0] == table
            }
            if newest or now() >= end_s:
                rows = sorted(newest.values(), key=lambda r: r['row-version'])
                return self._reply(request, 200, rows)
            try:
                await asyncio.wait_for(self.changed.wait(), end_s - now())
            except TimeoutError:
                pass

    def _transact(self, request):
        data = json.loads(request.body)

        def row_id(row):
            return (row['table'], row['part'], row['key'])

        wrong = [
            row_id(row)
            for row in data.get('expected', [])
            if self.rows.get(row_id(row), ('', 0))[1] != row['row-version']
        ]
        if wrong:
            found = [self._row(i, *self.rows.get(i, (None, 0))) for i in wrong]
            return self._reply(request, 412, found)
        self.apply(
            [(row_id(row), row['value']) for row in data.get('write', [])],
            [row_id(row) for row in data.get('remove', [])],
        )
        self._reply(request, 200, [])

    async def _object(self, request, call, name):
        await asyncio.sleep(
            BLOB_S
            + max(len(request.body), len(self.objects.get(name, b'')))
            / BLOB_BYTES_PER_S
        )
        if call == 'blob-put':
            if len(request.body) > BLOB_BYTES:
                return answer(request, 413)
            if name in self.objects and request.header('If-None-Match'):
                return answer(request, 412)
            self.objects[name] = request.body
            return answer(request, 200)
        if call == 'blob-get':
            if name not in self.objects:
                return answer(request, 404)
            return answer(request, 200, self.objects[name])
        self.objects.pop(name, None)
        answer(request, 200)

    @staticmethod
    def _row(row_id, value, version):
        row = {'table': row_id[0], 'part': row_id[1], 'key': row_id[2]}
        row['row-version'] = version
        return row | ({'value': value} if value else {'deleted': True})

    def _reply(self, request, status, rows, more=False):
        body = {'rows': rows, 'has-more': more, 'row-version': self.version}
        body['now-ms'] = int(now() * 1000) + 50_000
        headers = [('Content-Type', 'application/json')]
        answer(request, status, json.dumps(body).encode(), headers)


class Server:
    """A plain server, or with a model a model server, that lists itself."""

    numbers = itertools.count(1)

    def __init__(self, site, service, slots=6, model=False, work_s=0.02):
        self.site, self.service, self.slots = site, service, slots
        self.number = next(Server.numbers)
        self.id = f'i-{self.number:08x}'
        self.ip = f'{site.subnet}.{100 + self.number}'
        self.address = f'{self.ip}:{SERVER_PORT}'
        self.model, self.work_s = model, work_s
        self.version, self.running, self.orders = 1, 0, 0
        self.state, self.listed, self.leaving = 'ready', True, False
        self.born = int(time.time() * 1000)
        # Of items: the number of events, the time for each, and their text.
        self.events, self.event_s = lambda item: 6, 0.05
        self.text = lambda item, number: f'{item}:{number}'
        # Called with each request that begins to run.
        self.on_run = lambda request: None
        # Called with the id of each request that no longer runs.
        self.on_end = lambda attempt: None
        self.server = HttpServer(self.ip, SERVER_PORT, self._handle)
        self._task = None

    async def start(self):
        await self.server.open()
        self._task = asyncio.create_task(self._announce())

    def announce(self):
        """Write the entry of the server."""
        entry = {
            'service': self.service,
            'address': self.address,
            'zone': 'casa-ain',
            'version': 'v1',
            'batch-size': self.slots,
            'state': self.state,
            'cold-remaining-ms': 0,
            'sequence': 1,
            'born': self.born,
        }
        if self.model:
            entry['phase'] = 'dual'
            entry['models'] = [
                {'name': MODEL, 'version': self.version, 'adapters': []}
            ]
        self.site.store.put('servers', self.id, entry)

    async def _announce(self):
        while self.listed:
            self.announce()
            await asyncio.sleep(HEARTBEAT_S)

    async def leave(self, drain_s=2.0):
        """Report draining, serve on, then end and remove the entry."""
        self.state, self.leaving = 'draining', True
        self.announce()
        self.site.record.line('server', id=self.id, event='draining')
        await asyncio.sleep(drain_s + 0.2)
        while self.running:
            await asyncio.sleep(0.05)
        self.end('left')

    def crash(self):
        """End at once and for good; the entry goes after three heartbeats."""
        self.listed = False
        self.server.close()
        self.site.record.line('server', id=self.id, event='crashed for good')
        loop = asyncio.get_running_loop()
        loop.call_later(3 * HEARTBEAT_S, self._unlist)

    def _unlist(self):
        self.site.store.drop('servers', self.id)
        self.site.record.line('server', id=self.id, event='entry removed')

    def end(self, event):
        self.listed = False
        self.server.close()
        self.site.store.drop('servers', self.id)
        self.site.record.line('server', id=self.id, event=event)

    async def _handle(self, request):
        attempt = request.header('Attempt-Id')
        extra = [('Attempt-Id', attempt)] if attempt else []
        if self.leaving:
            extra.append(('Server-Leaving', '1'))
        if request.target == '/-/report':
            return self._report(request)
        expected = request.header('Expect-Instance')
        if expected and expected != self.id:
            extra.append(('Instance-Id', self.id))
            return answer(request, 421, b'', extra)
        if request.target == '/healthz':
            extra.append(('Instance-Id', self.id))
            return answer(request, 503 if self.leaving else 200, b'', extra)
        if request.target == '/-/order':
            self.orders += 1
            return answer(request, 200, b'', extra)
        if not attempt:
            extra.append(('Not-Executed', '1'))
            return answer(request, 400, b'', extra)
        if self.running >= self.slots:
            extra.append(('Not-Executed', '1'))
            return answer(request, 503, b'', extra)
        self.running += 1
        stamp = f'{self.id}.{secrets.token_hex(4)}'
        self.site.record.line(
            'run',
            server=self.id,
            service=self.service,
            id=attempt,
            method=request.method,
            target=request.target,
            after=request.header('Last-Event-Id') or 0,
            body=len(request.body),
        )
        self.on_run(request)
        extra.append(('Server-Stamp', stamp))
        extra.append(('Server-Load', f'{self.running},0,{self.slots}'))
        try:
            if self.model:
                await self._generate(request, attempt, extra)
            else:
                await asyncio.sleep(self.work_s)
                answer(request, 200, b'done ' + attempt.encode(), extra)
        finally:
            self.running -= 1
            self.on_end(attempt)
            self.site.record.line('run-ended', server=self.id, id=attempt)

    async def _generate(self, request, item, extra):
        first = int(request.header('Last-Event-Id') or 0) + 1
        lines = [
            'HTTP/1.1 200 OK',
            'Content-Type: text/event-stream',
            'Transfer-Encoding: chunked',
            *(f'{n}: {v}' for n, v in extra),
        ]
        count = self.events(item)
        if first <= count:
            lines.append(f'Weight-Versions: {self.version}')
        writer = request.writer
        writer.write('\r\n'.join([*lines, '', '']).encode())
        for number in range(first, count + 1):
            await asyncio.sleep(self.event_s)
            if writer.transport.is_closing() or request.reader.at_eof():
                # The client has closed its channel: the run is dropped.
                raise ConnectionError
            data = f'id: {number}\ndata: {self.text(item, number)}\n\n'.encode()
            writer.write(b'%x\r\n%s\r\n' % (len(data), data))
            await writer.drain()
        writer.write(b'0\r\n\r\n')
        self.site.record.line('finished', server=self.id, id=item)

    def _report(self, request):
        models = [{'name': MODEL, 'version': self.version, 'adapters': []}]
        body = {'phase': 'dual', 'models': models, 'busy': False}
        body |= {'sequence': self.orders, 'queued': 0, 'active': self.running}
        answer(request, 200, json.dumps(body).encode())


SETTINGS = """
node-name = "{name}"
role = "daemon"
machine-class = "edge"
serves = ["edge", "registry", "control_plane"]
ip = "{ip}"
zone = "casa-ain"
region = "casa"
internal-ports = [{peers}, {peers_end}]
seed-nodes = [{seeds}]
bootstrap = true
heartbeat-ms = 1200
contracts = ["base", "drain", "config", "cost", "recover", "samples", "stream", "engine", "batch", "platform"]
[zones]
casa-ain = "casa"
[listen]
frontend = "{ip}:{frontend}"
ready = "{ip}:{ready}"
control-plane = "{ip}:8166"
registry = "{ip}:{registry}"
[limits]
cpu-fraction = 0.717
cpu-cores = 3
memory-mb = {memory}
max-fds = 8200
link-mbps = 1000.0
[bounds]
seed-lag-s = 3
reuse-after-s = 2
contact-ms = 3000
ack-ms = 4000
drain-ms = 2000
grace-s = 8
loss-slack-ms = 200
config-apply-ms = 2000
recover-s = 12
finish-s = 10
status-s = 120
cancel-ms = 3000
settle-ms = 1000
fencing-required = false
lease-ms = 3000
thaw-ms = 300
ttl_max_s = 5
[platform]
address = "{store}"
form = "table"
writes-per-s = 800
reads-per-s = 2000
tx-ms = 3.0
part-writes-per-s = 300
row-bytes = 65536
cross-shard = true
history-s = 20
blob-bytes = 8388608
blob-ms = 25.0
blob-mb-per-s = 80.0
"""


class Daemon:
    """One process of the project on a loopback address."""

    def __init__(self, site, number):
        self.site, self.name = site, f'edge-casa-ain-{number}'
        self.ip = f'{site.subnet}.{10 + number}'
        self.frontend = f'{self.ip}:{FRONTEND}'
        self.process = None

    async def start(self):
        settings = self.site.folder / f'{self.name}.toml'
        seeds = ', '.join(f'"{d.ip}:8166"' for d in self.site.daemons[:3])
        settings.write_text(
            SETTINGS.format(
                name=self.name,
                ip=self.ip,
                seeds=seeds,
                memory=self.site.memory_mb,
                store=self.site.store.address,
                frontend=FRONTEND,
                ready=READY,
                registry=REGISTRY,
                peers=PEERS,
                peers_end=PEERS + 15,
            )
        )
        deploy = tomllib.loads((ROOT / 'deploy/system.toml').read_text())
        words = deploy['roles']['daemon']['run'].split()
        environment = {
            name: os.environ[name]
            for name in ('PATH', 'HOME', 'LANG')
            if name in os.environ
        }
        environment['ANVILCOVE_BOOT'] = str(settings)
        environment['PYTHONPATH'] = str(ROOT / 'target/deps')
        environment['PYTHONDONTWRITEBYTECODE'] = '1'
        if words[0] == 'python3':
            words[0] = sys.executable
        with (self.site.folder / f'{self.name}.log').open('ab') as log:
            self.process = await asyncio.create_subprocess_exec(
                *words, cwd=ROOT, env=environment, stdout=log, stderr=log
            )
        self.site.processes.append(self.process)
        self.site.record.line('daemon', name=self.name, event='started')

    def signal(self, number):
        if self.process.returncode is None:
            self.process.send_signal(number)

    async def ready(self):
        """Tell whether the readiness check answers 200."""
        try:
            status, _, _ = await call(
                f'{self.ip}:{READY}', 'GET', '/-/readyz', [('Host', self.ip)],
                timeout_s=1,
            )
        except (OSError, TimeoutError):
            return False
        return status == 200


async def call(
    address, method, target, headers=(), body=b'', timeout_s=5.0, raw=None
):
    """Make one call on a channel of its own; return status, fields, body.

    Raises ConnectionError if the channel ends without a whole answer, and
    TimeoutError. `raw` replaces the bytes that are sent.
    """
    ip, _, port = address.rpartition(':')
    async with asyncio.timeout(timeout_s):
        reader, writer = await asyncio.open_connection(
            ip, int(port), limit=1 << 26
        )
        try:
            lines = [f'{method} {target} HTTP/1.1']
            lines += [f'{n}: {v}' for n, v in headers]
            if body or method == 'POST':
                lines.append(f'Content-Length: {len(body)}')
            head = '\r\n'.join([*lines, '', '']).encode()
            writer.write(raw if raw is not None else head + body)
            await writer.drain()
            found = await read_head(reader)
            if found is None:
                raise ConnectionError('no answer')
            try:
                data = await read_body(reader, found[1])
            except asyncio.IncompleteReadError as error:
                raise ConnectionError('answer is cut') from error
            return int(found[0].split(' ')[1]), found[1], data
        finally:
            writer.transport.abort()


class Site:
    """Store, servers and daemons of one script."""

    def __init__(self, folder, daemons=3):
        self.case = Path(folder)
        self.record = Record(folder)
        self._temporary = tempfile.TemporaryDirectory()
        self.folder = Path(self._temporary.name)
        self.processes = []
        self.subnet = self._free_subnet()
        self.store = Store(f'{self.subnet}.2', self.record)
        self.daemons = [Daemon(self, n) for n in range(1, daemons + 1)]
        self.servers = []
        self.config_version = 0
        self.memory_mb = 310

    @staticmethod
    def _free_subnet():
        for _ in range(50):
            subnet = f'127.{random.randint(20, 250)}.{random.randint(1, 250)}'
            try:
                for last, port in ((2, STORE_PORT), (11, FRONTEND)):
                    with socket.socket() as probe:
                        probe.bind((f'{subnet}.{last}', port))
            except OSError:
                continue
            return subnet
        raise OSError('no free loopback addresses')

    def add(self, *arguments, **options):
        """Create a server that starts with the site."""
        server = Server(self, *arguments, **options)
        self.servers.append(server)
        return server

    def configure(self, routes, services):
        """Write a desired state; the answer of the store is its ack."""
        self.config_version += random.randint(1, 5)
        self.store.put(
            'op',
            'config',
            {
                'version': self.config_version,
                'routes': routes,
                'services': services,
                'limits': {
                    'max-header-bytes': 16384,
                    'max-body-bytes': 33554432,
                    'header-timeout-ms': 3000,
                    'idle-timeout-ms': 15000,
                },
            },
        )
        self.record.line(
            'config',
            version=self.config_version,
            routes=[
                (r['prefix'], r.get('service') or r.get('backends'))
                for r in routes
            ],
        )

    async def start(self, wait_s=25.0):
        """Start everything; return whether all daemons are ready."""
        await self.store.server.open()
        for server in self.servers:
            await server.start()
        await asyncio.gather(*(daemon.start() for daemon in self.daemons))
        end_s = now() + wait_s
        while now() < end_s:
            ready = [await daemon.ready() for daemon in self.daemons]
            if all(ready):
                # Leases and lists settle before traffic starts.
                await asyncio.sleep(4.0)
                return True
            await asyncio.sleep(0.2)
        return False

    async def stop(self):
        """End the processes that this script started."""
        for process in self.processes:
            if process.returncode is None:
                process.send_signal(signal.SIGCONT)
                process.kill()
        for process in self.processes:
            await process.wait()
        keep = os.environ.get('KEEP_LOGS')
        if keep:
            for log in self.folder.glob('*.log'):
                (Path(keep) / log.name).write_bytes(log.read_bytes())
        self._temporary.cleanup()


def service(name, engine_slots=0):
    """Return a service of a desired state."""
    data = {'name': name, 'health-path': '/healthz', 'max-conns': 170}
    data |= {'protocol': 'h1', 'tls': False}
    if engine_slots:
        data['engine'] = {
            'batch-size': engine_slots,
            'kv-capacity': 97473,
            'models': [{'name': MODEL}],
        }
    return data


def route(name, prefix, kind, target, **more):
    """Return a route; `target` is a service or a list of backends."""
    data = {'name': name, 'host': HOST, 'prefix': prefix, 'type': kind}
    data |= {'timeout-ms': 2000, 'latency-goal-ms': 400, 'priority': 2}
    data['max-attempts'] = 3
    where = 'service' if isinstance(target, str) else 'backends'
    data[where] = target
    if kind == 'rollout':
        data |= {'result-goal-ms': 7500, 'item-ttl-s': 40, 'sticky': True}
    return data | more


class Trainer:
    """A trainer that submits one batch job and reads its results."""

    def __init__(self, site, prefix, reward_prefix, rng):
        self.site, self.prefix, self.rng = site, prefix, rng
        self.reward_prefix = reward_prefix
        self.job = f'{rng.getrandbits(64):016x}'
        self.items, self.results, self.total = [], [], None
        self.accepted_s = None

    def add_items(self, groups, size, headers=None, body=None, most=None):
        """List the items of the job; `body(number)` returns their bytes.

        `most(number)` returns the maximum number of their output tokens.
        """
        for group in range(groups):
            for _ in range(size):
                number = len(self.items)
                item = f'{self.rng.getrandbits(64):016x}'
                data = body(number) if body else f'prompt {item}'.encode()
                output = most(number) if most else 400
                shared = {
                    'Model': MODEL,
                    'Token-Count': f'1016,{output}',
                    'Prompt-Prefix': f'{group + 1:06x}:1000,{item[:6]}:16',
                }
                self.items.append(
                    {
                        'id': item,
                        'path': f'{self.prefix}{group}/{item[:4]}',
                        'headers': shared | (headers(number, data) if headers else {}),
                        'body': base64.b64encode(data).decode(),
                        'token-count': 1016 + output,
                        'group-id': f'g{group}',
                        'scorer-url': {
                            'id': f'{self.rng.getrandbits(64):016x}',
                            'host': HOST,
                            'path': f'{self.reward_prefix}{item[:6]}',
                            'body': base64.b64encode(b'score').decode(),
                        },
                    }
                )

    async def submit(self, daemons):
        """Submit the job at one daemon after the other until it is taken."""
        body = json.dumps(
            {
                'step': 0,
                'model': MODEL,
                'min-version': 1,
                'target-groups': len({i['group-id'] for i in self.items}),
                'requests': self.items,
            }
        ).encode()
        headers = [('Host', HOST), ('Attempt-Id', self.job)]
        headers.append(('Content-Type', 'application/json'))
        for daemon in daemons:
            try:
                status, _, _ = await call(
                    daemon.frontend, 'POST', f'{self.prefix}{self.job[:6]}',
                    headers, body, 4.0,
                )
            except (OSError, TimeoutError) as error:
                status = repr(error)
            self.site.record.line(
                'submit', daemon=daemon.name, job=self.job, status=status,
                items=len(self.items),
            )
            if status == 202:
                self.accepted_s = now()
                return True
            await asyncio.sleep(0.3)
        return False

    async def read(self, daemon, after=None, wait_ms=1000):
        """Read results once; return how many came, None for a failure."""
        position = len(self.results) if after is None else after
        headers = [('Host', HOST)]
        if wait_ms:
            headers.append(('Wait-Ms', str(wait_ms)))
        started_s = now()
        size = 0
        try:
            # A requester waits 1.5 s longer than it allows.
            status, _, body = await call(
                daemon.frontend, 'GET', f'/-/lots/{self.job}?after={position}',
                headers, b'', 1.5 + wait_ms / 1000,
            )
            size = len(body)
        except (OSError, TimeoutError) as error:
            status, body = type(error).__name__, b''
        found = None
        if status == 200:
            page = json.loads(body)
            self.total, found = page['total'], page['results']
            if after is None:
                self.results += found
        self.site.record.line(
            'read', daemon=daemon.name, after=position, status=status,
            results=len(found) if found is not None else '-', bytes=size,
            took=f'{now() - started_s:.2f}',
        )
        return found

    async def read_until(self, daemons, end_s, done=lambda: False):
        """Read about twice per second until all is listed or a time."""
        daemons = itertools.cycle(daemons)
        while now() < end_s and not done():
            await self.read(next(daemons))
            if self.total is not None and len(self.results) >= self.total:
                return True
            await asyncio.sleep(0.5)
        return False

    async def end(self, daemon):
        """End the job."""
        try:
            status, _, _ = await call(
                daemon.frontend, 'DELETE', f'/-/lots/{self.job}',
                [('Host', HOST)], b'', 3.0,
            )
        except (OSError, TimeoutError) as error:
            status = repr(error)
        self.site.record.line('end', daemon=daemon.name, status=status)


def run_case(folder, play, daemons=3):
    """Run `play(site, trouble)` and exit with its verdict.

    It returns 1 if the rule was broken, 0 if it held, 2 if it could not run.
    """
    trouble = os.environ.get('TROUBLE', '1') != '0'

    async def main():
        site = Site(folder, daemons)
        site.record.line('case', trouble=trouble)
        try:
            verdict = await asyncio.wait_for(play(site, trouble), 100)
        except Exception as error:
            site.record.line('error', reason=repr(error))
            print(f'could not run: {error!r}')
            verdict = 2
        finally:
            await site.stop()
        site.record.line('verdict', exit=verdict)
        return verdict

    sys.exit(asyncio.run(main()))
