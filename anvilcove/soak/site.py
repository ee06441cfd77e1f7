"""Simulated platform and daemon processes on loopback addresses."""

import asyncio
import math
import os
import random
import signal
import sys
from collections import Counter
from collections.abc import Awaitable, Callable
from functools import partial
from pathlib import Path

from aiohttp import ClientError, ClientSession, web
from msgspec import Struct, field
from msgspec.structs import replace

from anvilcove.control.desired import JOB, SAFE, STREAM, UNSAFE
from anvilcove.platform.standin import (
    ServerStandin,
    StoreStandin,
    serve,
)
from anvilcove.platform.standin_duties import DutyStandin
from anvilcove.platform.standin_wire import (
    HostAddresses,
    RouteSpec,
    WorkspaceSpec,
    config_row,
    desired_state,
    draining_row_value,
    endpoint_row,
    named_version,
    reclaimable_row_value,
    settings_environment,
    settings_text,
    version_row,
)
from anvilcove.ports.store import RowId, RowTransaction, RowWrite
from anvilcove.soak.key_ring import KeyRing
from anvilcove.soak.proxy import FaultProxy
from anvilcove.standins.loopback import LoopbackSubnet
from anvilcove.standins.memory_store import MemoryStore

HOST = 'h.example'
MODEL = 'm'
SHOP, ONCE, REWARDS, JOBS, EXTRA, STREAMS, RESUMABLE, PUBLIC = (
    '/shop/',
    '/once/',
    '/reward/',
    '/job/',
    '/extra/',
    '/stream/',
    '/resume/',
    '/public/',
)
CALLERS_PORT, READY_PORT, LOOKUP_PORT, PEERS_PORT = 8101, 8102, 8103, 7720
STORE_PORT, SERVER_PORT, PROXY_PORT = 8200, 8300, 8400
MODEL_SERVICE, ZONE = 'llm', 'z'
# Suffix of the second service of a kind.
SECOND = '-b'
DUTIES_PORT = 8500
DUTY_CALLS_PER_S = 50.0
DUTY_LEASE_S = 3.0
GRACE_S = 8.0
SLOTS = 8
# Price of a reclaimable engine, as a fraction of that of another.
RECLAIMABLE_PRICE = 0.3
# Prefix of items whose reward call fails.
UNSCORED = 'unscored-'
# Items of a group, which share a prompt.
GROUP_SIZE = 4
ITEM_LIFETIME_S, MAX_ITEM_ATTEMPTS, MAX_REWARD_ATTEMPTS = 60.0, 3, 4
STATUS_S = 120.0
# Timeout of the route whose streams the callers read.
STREAM_TIMEOUT_MS = 2500
# The clocks of the daemons and the store start below, near or above this.
STORE_ORIGIN_S = 1e6
# Time after which the row of a crashed server expires.
ROW_EXPIRY_S = 1.5
READY_TIMEOUT_S, READY_POLL_S = 30.0, 0.1
ROUTES = (
    RouteSpec('shop', SHOP, SAFE, 'app', 300, 2),
    RouteSpec('once', ONCE, UNSAFE, 'app', 300, 2),
    RouteSpec('reward', REWARDS, SAFE, 'app', 500, MAX_REWARD_ATTEMPTS),
    RouteSpec('job', JOBS, JOB, 'llm', 400, MAX_ITEM_ATTEMPTS),
    RouteSpec('stream', STREAMS, STREAM, 'llm', 400, 2),
    RouteSpec(
        'resume',
        RESUMABLE,
        STREAM,
        'llm',
        400,
        4,
        resumable=True,
        timeout_ms=STREAM_TIMEOUT_MS,
    ),
    RouteSpec('public', PUBLIC, SAFE, 'app', 300, 2, public=True),
)


def random_clock_offset_s(rng: random.Random) -> float:
    """Return an offset far below, near or far above that of the store."""
    near = rng.uniform(STORE_ORIGIN_S - 300, STORE_ORIGIN_S + 300)
    return rng.choice([rng.uniform(0, 1e4), near, rng.uniform(2e6, 3e6)])


# Memory that a daemon may use, in MiB; the platform ends one that uses more.
MEMORY_MB = 180


class DaemonProcess:
    """A daemon process that can be stopped and restarted."""

    def __init__(self, site: 'LoopbackSite', number: int) -> None:
        """Assign an address and a store proxy to the daemon."""
        self.name = f'd{number}'
        self.ip = f'{site.subnet}.{10 + number}'
        self.store_proxy = FaultProxy(
            f'{self.ip}:{PROXY_PORT}', f'{site.subnet}.2:{STORE_PORT}'
        )
        self.ready_url = f'http://{self.ip}:{READY_PORT}/-/readyz'
        # Folder of the build that the next start runs, '' for this one.
        self.build = site.build
        self.process: asyncio.subprocess.Process | None = None
        # All processes that were started, so that none outlives the site.
        self.processes: list[asyncio.subprocess.Process] = []
        self.starts = 0
        # Number of exits that were not requested.
        self.unexpected_exits = 0
        self._site = site
        self._exit_expected = False
        # Overlapping faults must not interleave their starts and stops.
        self._transition_lock = asyncio.Lock()

    async def start(self) -> None:
        """Start the process unless it is running already."""
        async with self._transition_lock:
            if self.process is None or self.process.returncode is not None:
                await self._spawn()

    async def _spawn(self) -> None:
        self.starts += 1
        self._exit_expected = False
        settings = self._site.folder / f'{self.name}.toml'
        settings.write_text(self._settings())
        log = (self._site.folder / f'{self.name}.log').open('ab')
        with log:
            self.process = await asyncio.create_subprocess_exec(
                sys.executable,
                '-m',
                'anvilcove',
                'node',
                stdout=log,
                stderr=log,
                # Modules of the working directory come before those of
                # PYTHONPATH.
                cwd=self.build or None,
                env={
                    **os.environ,
                    **settings_environment(str(settings)),
                    **({'PYTHONPATH': self.build} if self.build else {}),
                },
                pass_fds=self._site.addresses.descriptors(),
            )
        self.processes.append(self.process)

    def expect_exit(self) -> None:
        """Record that the exit of the process is requested."""
        self._exit_expected = True

    def signal(self, number: int) -> None:
        """Send a signal to the process if it is running."""
        if self.process is not None and self.process.returncode is None:
            self.process.send_signal(number)

    async def kill(self) -> None:
        """Kill the process and wait for its exit."""
        async with self._transition_lock:
            await self._kill()

    async def stop(self) -> None:
        """Send SIGTERM; kill the process if it outlives its grace period."""
        async with self._transition_lock:
            await self._stop()

    async def replace(self, build: str) -> None:
        """Stop as planned and start a build, also after other faults."""
        async with self._transition_lock:
            self.build = build
            await self._stop()
            await self._spawn()

    async def _stop(self) -> None:
        self._exit_expected = True
        self.signal(signal.SIGTERM)
        if self.process is None:
            return
        try:
            async with asyncio.timeout(GRACE_S):
                await self.process.wait()
        except TimeoutError:
            await self._kill()

    async def _kill(self) -> None:
        self._exit_expected = True
        self.signal(signal.SIGCONT)
        self.signal(signal.SIGKILL)
        if self.process is not None:
            await self.process.wait()

    def exited_unexpectedly(self) -> bool:
        """Return whether the process exited without a request."""
        process = self.process
        ended = process is not None and process.returncode is not None
        return ended and not self._exit_expected

    def peak_memory_mb(self) -> float:
        """Return the peak of the resident memory, 0 if it is not running."""
        if self.process is None or self.process.returncode is not None:
            return 0.0
        try:
            status = Path(f'/proc/{self.process.pid}/status').read_text()
        except OSError:
            return 0.0
        lines = [x for x in status.splitlines() if x.startswith('VmHWM:')]
        return int(lines[0].split()[1]) / 1024 if lines else 0.0

    def _settings(self) -> str:
        seeds = [f'{d.ip}:{PEERS_PORT}' for d in self._site.daemons[:3]]
        return settings_text(
            HostAddresses(
                name=self.name,
                ip=self.ip,
                store=self.store_proxy.listen,
                seeds=seeds,
                callers_port=CALLERS_PORT,
                ready_port=READY_PORT,
                lookup_port=LOOKUP_PORT,
                peers_port=PEERS_PORT,
                grace_s=GRACE_S,
                clock_offset_s=random_clock_offset_s(self._site.rng),
                source_ip=self.ip,
                has_workspaces=self._site.workspaces is not None,
                duties=self._site.duties_address,
                held_mb=self._site.held_mb,
                memory_mb=self._site.memory_mb,
                max_descriptors=self._site.max_descriptors,
            )
        )


class FaultPeriod(Struct):
    """Kind of a fault and the time in which it was active."""

    kind: str
    started_s: float
    ended_s: float = math.inf
    # Addresses of the hosts that it concerns, if it is not the whole site.
    sources: set[str] = field(default_factory=set)


class KeptStop(Struct):
    """Stop of a daemon, by its address for callers, at a time.

    Requests that come late in it take `longer` than those before.
    """

    address: str
    at_s: float
    longer: bool = False


class NamedLimit(Struct):
    """Limit that a start of a server named, and the time in which it did."""

    instance: str
    limit_per_s: float
    started_s: float
    ended_s: float = math.inf


class HarmfulJob(Struct):
    """Job that the trainer submits and ends after a time.

    Every `spacing`-th item begins with the marker of its fault.
    """

    marker: str
    for_s: float
    spacing: int


class ExtraJob(Struct):
    """Job of a number of items with bodies of a size, 0 for short ones.

    Each item lists the next one of the `headers`, in turn.
    """

    items: int
    body_bytes: int
    headers: tuple[dict[str, str], ...]


class LoopbackSite:
    """Store, servers and daemons of one soak run."""

    def __init__(
        self,
        folder: Path,
        daemons: int,
        engines: int,
        servers: int,
        seed: int = 0,
        spare_engines: int = 0,
        build: str = '',
        reclaimable_engines: int = 0,
        held_mb: float = 0.0,
        memory_mb: int = MEMORY_MB,
        max_descriptors: int = 0,
        max_body_bytes: int = 0,
        has_splits: bool = False,
    ) -> None:
        """Create the parts of the site without starting them.

        The desired states name `max_body_bytes`, nothing for 0. With
        `has_splits`, every other server belongs to the second service of its
        kind, and most routes are split between the two.
        """
        self.folder = folder
        # Folder of the build that the daemons run at first, '' for this one.
        self.build = build
        self.replacements = 0
        self.rng = random.Random(seed)
        self.addresses = LoopbackSubnet()
        self.subnet = f'127.0.{self.addresses.number}'
        self.store = MemoryStore(asyncio.get_running_loop())
        self.store.origin_ms = STORE_ORIGIN_S * 1000
        self.duties = DutyStandin(DUTY_CALLS_PER_S)
        self.duties_address = f'{self.subnet}.3:{DUTIES_PORT}'
        # Last stop of a daemon that callers meet with kept connections.
        self.kept_stop: KeptStop | None = None
        # Held while requests take long.
        self.slow_requests = asyncio.Lock()
        self._started_s = math.inf
        self.daemons: list[DaemonProcess] = []
        for number in range(daemons):
            self.daemons.append(DaemonProcess(self, number))
        self.engines = [
            ServerStandin(f'e{n}', model=MODEL)
            for n in range(engines + spare_engines + reclaimable_engines)
        ]
        # Names of the engines that run only when they are ordered.
        first_reclaimable = engines + spare_engines
        spare = self.engines[engines:first_reclaimable]
        self.spare = {engine.name for engine in spare}
        self.reclaimable = {e.name for e in self.engines[first_reclaimable:]}
        # Time at which the reclaimable engines leave that were taken, by name.
        self.leaves_at_s: dict[str, float] = {}
        self.taken = 0
        self.cut_runs = 0
        self.take_reclaimable: Callable[[], Awaitable[None]] = _take_none
        # Memory that a daemon may hold for slow readers, 0 for its default.
        self.held_mb = held_mb
        self.memory_mb = memory_mb
        # Descriptors that a daemon may open, 0 if it is not told.
        self.max_descriptors = max_descriptors
        self.max_body_bytes = max_body_bytes
        self.has_splits = has_splits
        # Weights of the two services of split routes.
        self.weights = (50, 50)
        # Jobs for the trainer to submit beside its steps.
        self.extra_jobs: asyncio.Queue[ExtraJob] = asyncio.Queue()
        self.scaling: dict[str, object] | None = None
        if self.spare or self.reclaimable:
            self.scaling = {
                'min': engines + 1,
                'max': engines + spare_engines + reclaimable_engines,
                'boot-s': 1,
                'zone-prices': {ZONE: 1.0},
            }
        if self.scaling is not None and self.reclaimable:
            self.scaling['preemptible-price'] = RECLAIMABLE_PRICE
        self.servers = [ServerStandin(f's{n}') for n in range(servers)]
        self.server_proxies: dict[str, FaultProxy] = {}
        # Names of the servers that have crashed and are not back yet.
        self.crashed: set[str] = set()
        self.fault_periods: list[FaultPeriod] = []
        self.limits: list[NamedLimit] = []
        self.crash_count_by_path: Counter[str] = Counter()
        for server in [*self.engines, *self.servers]:
            server.crash_count_by_path = self.crash_count_by_path
        # Names of contents that callers send again and again.
        self.crashing_contents: set[str] = set()
        # Prefixes of items for the trainer to submit, and their time.
        self.harmful_items: asyncio.Queue[HarmfulJob] = asyncio.Queue()
        # Markers of requests that callers send once each, as they fail.
        self.failing_markers: set[str] = set()
        self.draining: set[str] = set()
        # Workspaces of the next desired state, None for none.
        self.workspaces: list[WorkspaceSpec] | None = None
        self.key_ring: KeyRing | None = None
        self.config_version = 1
        # Whether the desired state contains the extra route.
        self.config_extra = False
        self._store_lock = asyncio.Lock()
        self._store_runner: web.ServerRunner | None = None
        self._runners: list[web.ServerRunner] = []
        self._tasks: list[asyncio.Task[None]] = []

    async def start(self) -> None:
        """Start the platform, then the daemons."""
        self._started_s = asyncio.get_running_loop().time()
        await self._start_store()
        self._runners.append(
            await serve(self.duties.handle, self.duties_address)
        )
        backends = [*self.engines, *self.servers]
        for number, server in enumerate(backends):
            ip = f'{self.subnet}.{100 + number}'
            self._runners.append(
                await serve(server.handle, f'{ip}:{SERVER_PORT}')
            )
            proxy = FaultProxy(f'{ip}:{PROXY_PORT}', f'{ip}:{SERVER_PORT}')
            self.server_proxies[server.name] = proxy
            server.on_crash = partial(self._on_crash, server)
            if server.name not in self.spare:
                await proxy.start()
        self.write_config(1)
        self._tasks.append(asyncio.create_task(self._announce()))
        for daemon in self.daemons:
            await daemon.store_proxy.start()
            await daemon.start()

    def age_s(self) -> float:
        """Return the time since the start."""
        return asyncio.get_running_loop().time() - self._started_s

    async def wait_until_ready(self) -> None:
        """Wait until all daemons are ready."""
        async with (
            asyncio.timeout(READY_TIMEOUT_S),
            ClientSession() as session,
        ):
            for daemon in self.daemons:
                while not await is_ready(session, daemon.ready_url):
                    await asyncio.sleep(READY_POLL_S)

    async def stop(self) -> None:
        """Stop all daemons, proxies and servers of the site."""
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        await asyncio.gather(*(daemon.kill() for daemon in self.daemons))
        for proxy in [
            *self.server_proxies.values(),
            *(d.store_proxy for d in self.daemons),
        ]:
            await proxy.stop()
        for runner in [self._store_runner, *self._runners]:
            if runner is not None:
                await runner.cleanup()
        self.addresses.release()

    async def _start_store(self) -> None:
        address = f'{self.subnet}.2:{STORE_PORT}'
        self._store_runner = await serve(
            StoreStandin(self.store).handle, address
        )

    async def restart_store(self, rng: random.Random, away_s: float) -> None:
        """Restart the store, which keeps its rows but not its clock."""
        async with self._store_lock:
            for daemon in self.daemons:
                daemon.store_proxy.reset_connections()
            assert self._store_runner is not None
            await self._store_runner.cleanup()
            await asyncio.sleep(away_s)
            self.store.origin_ms = random_clock_offset_s(rng) * 1000
            await self._start_store()

    def _on_crash(self, server: ServerStandin) -> None:
        if server.name not in self.crashed:
            self.crashed.add(server.name)
            self._tasks.append(asyncio.create_task(self._crash(server)))

    async def restart_server(self, server: ServerStandin) -> None:
        """End a server like a crash and start it again."""
        if server.name not in self.crashed | self.spare:
            self.crashed.add(server.name)
            await self._crash(server)

    async def _crash(self, server: ServerStandin) -> None:
        """Reset the connections of a server and restart it later."""
        row = endpoint_row(server.instance)
        proxy = self.server_proxies[server.name]
        await proxy.stop()
        await asyncio.sleep(ROW_EXPIRY_S)
        self.store.apply(RowTransaction(removals=[row]))
        await asyncio.sleep(self.rng.uniform(0.5, 2.0))
        server.restart()
        await proxy.start()
        self.crashed.discard(server.name)

    def write_config(self, version: int, extra: bool = False) -> None:
        """Write a desired state, with one more route if `extra` is set.

        Later desired states must keep that route: the checks report a daemon
        that stops serving it.
        """
        routes = list(ROUTES)
        if extra:
            routes.append(RouteSpec('extra', EXTRA, SAFE, 'app', 300, 2))
        self.config_version = max(self.config_version, version)
        self.config_extra = extra
        if self.has_splits:
            routes = [self._split(route) for route in routes]
        state = desired_state(
            version,
            HOST,
            routes,
            MODEL,
            SLOTS,
            self.workspaces,
            self.scaling,
            self.max_body_bytes,
        )
        self._put(config_row(), state)

    def _split(self, route: RouteSpec) -> RouteSpec:
        """Return a route that is split, unless its streams are resumed."""
        if route.resumable:
            return route
        first, second = self.weights
        services = {route.service: first, route.service + SECOND: second}
        return replace(route, weight_by_service=services)

    def use_keys(self, ring: KeyRing) -> None:
        """Let the desired states have workspaces with these keys."""
        self.key_ring = ring
        self.workspaces = ring.specs()

    def change_key(self) -> None:
        """Take a key away and add another in a new desired state."""
        assert self.key_ring is not None
        self.key_ring.change_one(asyncio.get_running_loop().time())
        self.workspaces = self.key_ring.specs()
        self.write_config(self.config_version + 1, self.config_extra)

    def access_headers(self, request_id: str) -> dict[str, str]:
        """Return the headers with the key for a request or job, if any."""
        return self.key_ring.headers(request_id) if self.key_ring else {}

    def name_version(self, version: int) -> None:
        """Write the newest model version, as the trainer does."""
        self._put(version_row(MODEL), named_version(MODEL, version))

    async def _announce(self) -> None:
        while True:
            for server in [*self.engines, *self.servers]:
                if server.name in self.crashed | self.spare:
                    continue
                service = self._service_of(server)
                address = self.server_proxies[server.name].listen
                entry = server.endpoint_row_value(service, address, ZONE)
                if server.instance in self.draining:
                    entry = draining_row_value(entry)
                if server.name in self.reclaimable:
                    entry = self._reclaimable_row(server.name, entry)
                row = endpoint_row(server.instance)
                known = self.store.rows.get(row)
                if known is None or known[0] != entry:
                    self._put(row, entry)
            await asyncio.sleep(0.5)

    def _service_of(self, server: ServerStandin) -> str:
        """Return the service in which a server announces itself."""
        service, peers = MODEL_SERVICE, self.engines
        if not server.model:
            service, peers = 'app', self.servers
        is_second = self.has_splits and peers.index(server) % 2
        return service + SECOND if is_second else service

    def _reclaimable_row(self, name: str, entry: bytes) -> bytes:
        leaves_at_s = self.leaves_at_s.get(name)
        if leaves_at_s is None:
            return reclaimable_row_value(entry, None)
        left_s = leaves_at_s - asyncio.get_running_loop().time()
        return reclaimable_row_value(entry, left_s)

    def _put(self, row: RowId, value: bytes) -> None:
        change = RowTransaction(writes=[RowWrite(row, value)])
        self.store.apply(change)


async def _take_none() -> None:
    """Take no engine of a site that has none to order."""


async def is_ready(session: ClientSession, url: str) -> bool:
    """Tell whether a daemon says at a URL that it is ready."""
    try:
        async with session.get(url) as response:
            return response.status == 200
    except (ClientError, OSError):
        return False
